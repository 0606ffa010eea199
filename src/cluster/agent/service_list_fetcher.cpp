#include "cluster/agent/service_list_fetcher.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace winchhall::cluster {

namespace {

// A control node answers within one read of the shards and one of the configuration.
constexpr Millis kCallTimeout{1100};
constexpr Millis kRetryDelay{50};

wire::Envelope list_request(std::uint64_t version) {
  wire::Envelope request;
  wire::ConfigurationWatch& watch = *request.mutable_configuration_watch();
  watch.set_version(version);
  watch.set_fetches(true);
  watch.set_wants_services(true);
  return request;
}

}  // namespace

ServiceListFetcher::ServiceListFetcher(Runtime& runtime, const ClusterView& view, ControlDirectory& directory,
                                       UpdateListener on_update)
    : runtime_(runtime), view_(view), directory_(directory), on_update_(std::move(on_update)) {}

void ServiceListFetcher::fetch(TimePoint deadline, Done done) {
  const std::uint64_t number = ++last_fetch_;
  const auto time_left = std::chrono::duration_cast<Millis>(deadline - runtime_.now());
  Fetch& fetch = fetches_[number];
  fetch.done = std::move(done);
  fetch.deadline = runtime_.after(std::max(time_left, Millis(1)), [this, number] { expire(number); });
  if (!calling_ && !retry_timer_) begin_call();
}

void ServiceListFetcher::expire(std::uint64_t number) {
  const auto expired = fetches_.extract(number);
  expired.mapped().done(ServiceListResult());
}

void ServiceListFetcher::begin_call() {
  retry_timer_.reset();
  if (fetches_.empty()) return;
  const Address peer = directory_.choose_any(failed_);
  if (peer.empty()) return retry(Address());
  calling_ = true;
  last_served_ = last_fetch_;
  runtime_.call(peer, list_request(view_.version()), kCallTimeout,
                [this, peer](const CallResult& result) { on_answer(peer, result); });
}

void ServiceListFetcher::on_answer(const Address& peer, const CallResult& result) {
  const bool answered = result.answer && result.answer->has_configuration_update();
  if (answered) on_update_(peer, result.answer->configuration_update());
  calling_ = false;
  if (!answered) {
    directory_.record_failure(peer);
    return retry(peer);
  }
  const wire::ConfigurationUpdate& update = result.answer->configuration_update();
  if (!update.has_services()) {
    finish({ServiceListKind::unsupported, {}});
  } else if (update.services().complete()) {
    finish({ServiceListKind::listed, update.services()});
  } else {
    return retry(peer);
  }
  if (!calling_ && !retry_timer_) begin_call();
}

void ServiceListFetcher::finish(const ServiceListResult& result) {
  failed_.clear();
  std::vector<Done> served;
  while (!fetches_.empty() && fetches_.begin()->first <= last_served_) {
    served.push_back(std::move(fetches_.begin()->second.done));
    fetches_.erase(fetches_.begin());
  }
  for (const Done& done : served) done(result);
}

void ServiceListFetcher::retry(const Address& failed) {
  failed_ = failed;
  retry_timer_ = runtime_.after(kRetryDelay, [this] { begin_call(); });
}

}  // namespace winchhall::cluster
