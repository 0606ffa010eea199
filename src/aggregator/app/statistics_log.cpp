#include "aggregator/app/statistics_log.hpp"

#include <spdlog/spdlog.h>
#include <sys/resource.h>

namespace winchhall::app {
namespace {

// The largest resident size of the process so far, in KiB (getrusage(2), ru_maxrss); -1 if unknown.
long peak_resident_kib() {
  rusage usage{};
  return getrusage(RUSAGE_SELF, &usage) == 0 ? usage.ru_maxrss : -1;
}

}  // namespace

void log_query_counters(const coordination::RequestRouter& router) {
  for (std::size_t i = 0; i < router.counters().size(); ++i) {
    const coordination::QueryCounters& f = router.counters()[i];
    spdlog::info("figures {}: taken {} whole {} partial {} refused {} failed {} withdrawn {} attempts {}",
                 router.counter_name(i), f.received, f.complete, f.partial, f.refused, f.failed, f.withdrawn,
                 f.attempts);
  }
}

void log_open_work(const coordination::RequestRouter& router, std::size_t client_connections,
                   std::size_t server_connections) {
  spdlog::info("open: queries {} attempts {} clients {} leafs {} peak {} KiB", router.open_queries(),
               router.attempts_in_flight(), client_connections, server_connections, peak_resident_kib());
}

void log_ranges(const coordination::RequestRouter& router, const http::RangeDirectory& directory) {
  const auto& moves = router.range_migrations();
  const auto& statistics = directory.statistics();
  spdlog::info(
      "ranges: revision {} of {} ranges; parts replaced {} joined {} elsewhere {} held back {} denied {} "
      "dropped {}; directory asked {} taken {} refused {} broken {}",
      ranges::text_of(router.map().revision()), router.map().size(), moves.replaced, moves.merged,
      moves.rerouted, moves.on_hold, moves.denied, moves.dropped, statistics.requests, statistics.updates,
      statistics.rejected, statistics.failures);
}

void log_files(dynamic_config::FileConfigSource& files) {
  const auto& f = files.figures();
  spdlog::info(
      "files: number {} generation {}; looks {} taken {} refused {} held {} disturbed {} kept {} not kept {}",
      files.generation_manager().number(),
      files.generation_manager().current()
          ? dynamic_config::digest_text(files.generation_manager().current()->digest)
          : "none",
      f.scans, f.taken, f.refused, f.held, f.disturbed, f.stored, f.not_stored);
}

}  // namespace winchhall::app
