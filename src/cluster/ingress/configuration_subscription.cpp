#include "cluster/ingress/configuration_subscription.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr Millis kLongPollWait{1000};
constexpr Millis kCallTimeout{1500};
constexpr Millis kPollDelay{50};
constexpr Millis kInvalidConfigurationDelay{1000};
// A response without an update that arrives faster than this is followed by a delay, so that an agent which
// does not hold long polls is not polled in a tight loop.
constexpr Millis kFastResponse{20};
// The ingress counts as disconnected if the agent has not responded for this long.
constexpr Millis kAgentTimeout{3000};

constexpr char kAgentSource[] = "agent";

}  // namespace

ConfigurationSubscription::ConfigurationSubscription(Runtime& runtime, Address agent,
                                                     UpdateCallback on_update)
    : runtime_(runtime),
      agent_(std::move(agent)),
      on_update_(std::move(on_update)),
      fetcher_(runtime, replica_, [this] { on_applied(); }) {}

void ConfigurationSubscription::start() { poll(); }

bool ConfigurationSubscription::is_connected() const {
  return agent_has_contact_ && last_response_at_ && runtime_.now() - *last_response_at_ <= kAgentTimeout;
}

void ConfigurationSubscription::poll() {
  poll_timer_.reset();
  wire::Envelope request;
  auto& watch = *request.mutable_configuration_watch();
  // The version that the agent announced last is being fetched: only a newer one is an update.
  watch.set_version(std::max(replica_.version(), fetcher_.announced_version(agent_)));
  watch.set_fetches(true);
  watch.set_wait_ms(static_cast<std::uint32_t>(kLongPollWait.count()));
  const TimePoint sent_at = runtime_.now();
  runtime_.call(agent_, std::move(request), kCallTimeout,
                [this, sent_at](const CallResult& result) { on_response(result, sent_at); });
}

void ConfigurationSubscription::poll_after(Millis delay) {
  if (delay == Millis::zero()) return poll();
  poll_timer_ = runtime_.after(delay, [this] { poll(); });
}

void ConfigurationSubscription::on_response(const CallResult& result, TimePoint sent_at) {
  if (!result.answer || !result.answer->has_configuration_update()) return poll_after(kPollDelay);
  last_response_at_ = runtime_.now();
  poll_after(process_update(result.answer->configuration_update(), sent_at));
}

Millis ConfigurationSubscription::process_update(const wire::ConfigurationUpdate& update, TimePoint sent_at) {
  agent_has_contact_ = update.in_touch();
  const bool newer = update.version() > replica_.version();
  if (newer && !update.configuration().empty()) {
    return apply(update) ? Millis::zero() : kInvalidConfigurationDelay;
  }
  if (newer) fetcher_.on_version_announced(agent_, update.version());
  return runtime_.now() - sent_at < kFastResponse ? kPollDelay : Millis::zero();
}

bool ConfigurationSubscription::apply(const wire::ConfigurationUpdate& update) {
  if (replica_.apply_json(update.configuration(), kAgentSource) != ApplyOutcome::applied) return false;
  on_applied();
  return true;
}

void ConfigurationSubscription::on_applied() { on_update_(*replica_.configuration()); }

}  // namespace winchhall::cluster
