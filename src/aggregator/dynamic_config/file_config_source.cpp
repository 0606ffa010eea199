#include "aggregator/dynamic_config/file_config_source.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace winchhall::dynamic_config {
namespace {

using dynamic_config::Fault;
using dynamic_config::ValidationOutcome;
using ListKind = winchhall::ServerList::Kind;
constexpr event_loop::Millis kOrdersEvery = 500;  // ms between reads of operators' commands from the store
constexpr std::size_t kLoggedMost = 10;  // faults logged of one candidate; `winchhall files check` shows all
}  // namespace

// Result of one scan. Owned by the worker's thread until its completion is posted to the event loop.
struct FileConfigSource::Read {
  FolderContents scan{};
  std::uint64_t digest = 0;
  bool known = false;  // equal to the previous scan: not parsed again
  dynamic_config::ConfigGenerationPtr checked{};
  std::vector<Fault> faults{};
};

FileConfigSource::FileConfigSource(event_loop::Loop& loop, coordination::RequestRouter& router,
                                   FileConfigOptions options)
    : loop_(loop),
      router_(router),
      options_(std::move(options)),
      generation_manager_(options_.bounds, options_.limits),
      worker_(loop) {}

FileConfigSource::~FileConfigSource() {
  loop_.cancel(timer_);
  loop_.cancel(removal_timer_);
  loop_.cancel(orders_timer_);
}

void FileConfigSource::start() {
  if (!options_.store.empty()) restore();
  folder_ = std::make_unique<FolderWatch>(loop_, options_.folder, [this] {
    debouncer_.event(loop_.now());
    arm();
  });
  if (!folder_->working())
    spdlog::warn("files: no word of changes to be had, {} is looked at now and then", options_.folder);
  scan();
}

dynamic_config::ConfigGenerationPtr FileConfigSource::parse(const FileConfigOptions& options,
                                                            const dynamic_config::Bytes& bytes,
                                                            std::uint64_t digest) {
  dynamic_config::Rows rows;
  std::vector<Fault> faults;
  options.read(bytes, rows, faults);
  return faults.empty() ? dynamic_config::check(rows, digest, options.bounds, faults) : nullptr;
}

// The worker runs its jobs in order, so the stored generation is active again before any file is read.
void FileConfigSource::restore() {
  store_ = std::make_shared<dynamic_config::OpenedStore>();
  auto found = std::make_shared<dynamic_config::ConfigGenerationPtr>();
  worker_.run(
      [opened = store_, found, options = &options_] {
        *opened = dynamic_config::open(options->store);
        if (!opened->store) return;
        if (auto stored = opened->store->newest_taken())
          *found = parse(*options, stored->bytes, stored->digest);
      },
      [this, opened = store_, found] {
        if (!opened->set_aside.empty())
          spdlog::warn("store: {} was spoilt and is now {}; a new one is begun", options_.store,
                       opened->set_aside);
        if (!opened->store)
          return spdlog::warn("store: {}: {}; nothing outlives this process", options_.store, opened->why);
        fetch_operator_commands();
        if (!*found) return;
        generation_manager_.restore(*found, loop_.now());
        last_digest_ = (*found)->digest;
        spdlog::info("files restored: generation {}, {} nodes, from the store",
                     dynamic_config::digest_text(last_digest_), (*found)->members.size());
        publish_members();
      });
}

void FileConfigSource::keep(const dynamic_config::ValidationResult& found, dynamic_config::Bytes bytes) {
  if (!store_ || found.verdict == ValidationOutcome::same) return;
  auto stored = std::make_shared<dynamic_config::StoredSet>();
  stored->digest = found.digest;
  stored->at = loop_.now();
  stored->verdict = name_of(found.verdict);
  stored->why = found.faults.empty() ? found.why : found.faults[0].text();
  if (found.verdict != ValidationOutcome::refused) stored->bytes = std::move(bytes);
  auto fault = std::make_shared<std::string>();
  worker_.run(
      [opened = store_, stored, fault] {
        if (opened->store && !opened->store->put(*stored)) *fault = opened->store->fault();
      },
      [this, fault] {
        ++(fault->empty() ? figures_.stored : figures_.not_stored);
        if (!fault->empty())
          spdlog::warn("store: {}: a generation was not kept: {}; it serves all the same", options_.store,
                       *fault);
      });
}

// Operators' commands come through the store, where `winchhall files accept` and `rollback` leave them.
void FileConfigSource::fetch_operator_commands() {
  auto orders = std::make_shared<std::vector<dynamic_config::OperatorCommand>>();
  auto wanted = std::make_shared<std::vector<dynamic_config::ConfigGenerationPtr>>();
  worker_.run(
      [opened = store_, orders, wanted, options = &options_] {
        *orders = opened->store->open_orders();
        for (const dynamic_config::OperatorCommand& o : *orders) {
          auto stored = o.word == "rollback" ? opened->store->find(o.digest) : std::nullopt;
          wanted->push_back(stored ? parse(*options, stored->bytes, stored->digest) : nullptr);
        }
      },
      [this, orders, wanted] {
        if (!orders->empty()) carry_out(*orders, *wanted);
        orders_timer_ = loop_.at(loop_.now() + kOrdersEvery, [this] {
          orders_timer_ = {};
          fetch_operator_commands();
        });
      });
}

void FileConfigSource::carry_out(std::vector<dynamic_config::OperatorCommand> orders,
                                 std::vector<dynamic_config::ConfigGenerationPtr> wanted) {
  event_loop::Millis now = loop_.now();
  for (std::size_t i = 0; i < orders.size(); ++i) {
    dynamic_config::OperatorCommand& o = orders[i];
    std::string digest = dynamic_config::digest_text(o.digest);
    bool done = o.word == "accept"     ? generation_manager_.accept(o.digest, now)
                : o.word == "rollback" ? generation_manager_.rollback(wanted[i], now)
                                       : false;
    o.answer = done                   ? "done"
               : o.word == "accept"   ? "no generation of that digest is held"
               : o.word != "rollback" ? "no such order"
               : wanted[i]            ? "that generation is in use"
                                      : "the store has no sound generation of that digest";
    spdlog::info("files: an operator's word: {} {}: {}", o.word, digest, o.answer);
    if (!done) continue;
    ++figures_.taken;
    publish_members();
    // Stored once more as applied: a restart begins with it, and the earlier entry stays in the history.
    worker_.run(
        [opened = store_, digest_number = o.digest, at = now, word = o.word] {
          if (auto stored = opened->store->find(digest_number)) {
            stored->verdict = "taken";
            stored->why = word + " by an operator";
            stored->at = at;
            opened->store->put(*stored);
          }
        },
        [] {});
  }
  worker_.run(
      [opened = store_, orders] {
        for (const dynamic_config::OperatorCommand& o : orders) opened->store->answer(o.id, o.answer);
      },
      [] {});
}

void FileConfigSource::arm() {
  loop_.cancel(timer_);
  if (scanning_) return;
  timer_ = loop_.at(std::max(debouncer_.due(), loop_.now()), [this] {
    timer_ = {};
    scan();
  });
}

void FileConfigSource::scan() {
  if (scanning_) return;
  scanning_ = true;
  ++figures_.scans;
  event_loop::Millis now = loop_.now(), first = debouncer_.first_event() < 0 ? now : debouncer_.first_event();
  folder_->rearm();
  debouncer_.on_scan_started(now);
  auto found = std::make_shared<Read>();
  worker_.run(
      [found, options = &options_, last = last_digest_] {
        found->scan = read_config_folder(options->folder, options->most_bytes);
        if (found->scan.disturbed || !found->scan.there) return;
        found->digest = dynamic_config::digest_of(found->scan.bytes);
        found->faults = found->scan.faults;
        found->known = found->digest == last && found->faults.empty();
        if (found->known || !found->faults.empty()) return;
        dynamic_config::Rows rows;
        options->read(found->scan.bytes, rows, found->faults);
        if (found->faults.empty())
          found->checked = dynamic_config::check(rows, found->digest, options->bounds, found->faults);
      },
      [this, found, first] {
        scanning_ = false;
        on_scanned(*found, first);
        arm();
      });
}

void FileConfigSource::on_scanned(Read& read, event_loop::Millis first_event) {
  event_loop::Millis now = loop_.now();
  if (!read.scan.there) {
    if (std::exchange(there_, false))
      spdlog::warn("files: {} is gone, what is in use stays", options_.folder);
    return;
  }
  if (!std::exchange(there_, true)) spdlog::info("files: {} is back", options_.folder);
  if (read.scan.disturbed) {
    ++figures_.disturbed;
    return debouncer_.disturbed(now);
  }
  if (read.known) return;
  last_digest_ = read.digest;
  dynamic_config::ValidationResult found =
      generation_manager_.evaluate(read.checked, read.digest, read.faults, now);
  std::string digest = dynamic_config::digest_text(found.digest);
  keep(found, std::move(read.scan.bytes));
  switch (found.verdict) {
    case ValidationOutcome::same:
      return;
    case ValidationOutcome::refused:
      ++figures_.refused;
      for (std::size_t i = 0; i < std::min(found.faults.size(), kLoggedMost); ++i)
        spdlog::warn("files refused: {}/{}", options_.folder, found.faults[i].text());
      if (found.faults.size() > kLoggedMost)
        spdlog::warn("files refused: {} further faults", found.faults.size() - kLoggedMost);
      if (found.doubtful) debouncer_.doubtful(now);
      return;
    case ValidationOutcome::held:
      ++figures_.held;
      spdlog::warn("files held: generation {}: {}; what is in use stays", digest, found.why);
      return;
    case ValidationOutcome::taken:
      ++figures_.taken;
      figures_.slowest_take = std::max(figures_.slowest_take, now - first_event);
      spdlog::info(
          "files taken: generation {} number {}, {} nodes, {} ranges, {:.0f} ms after the first write",
          digest, generation_manager_.number(), generation_manager_.current()->members.size(),
          generation_manager_.current()->map ? generation_manager_.current()->map->size() : 0,
          now - first_event);
      return publish_members();
  }
}

// Members and range map are passed on within one turn of the event loop, so that no query is planned between
// them.
void FileConfigSource::publish_members() {
  event_loop::Millis now = loop_.now();
  router_.update_endpoints(ListKind::complete, generation_manager_.members(now));
  if (generation_manager_.number() != std::exchange(last_number_, generation_manager_.number()))
    if (auto map = generation_manager_.map()) router_.update_ranges(std::move(*map));
  loop_.cancel(removal_timer_);
  if (event_loop::Millis at = generation_manager_.next_removal(); std::isfinite(at))
    removal_timer_ = loop_.at(at, [this] {
      removal_timer_ = {};
      publish_members();
    });
}

void FileConfigSource::watch(bool on) {
  // Each call is answered by at least one list; before the first generation that is an empty change.
  if (on && generation_manager_.current()) publish_members();
  if (on && !generation_manager_.current()) router_.update_endpoints(ListKind::changes, {});
}

void FileConfigSource::fetch() { watch(true); }

void FileConfigSource::refresh() {
  debouncer_.event(loop_.now());
  arm();
}

}  // namespace winchhall::dynamic_config
