#include "cluster/ingress/configuration_subscription.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr Millis kWait{1000};
constexpr Millis kCallTimeout{1500};
constexpr Millis kPollPause{50};
constexpr Millis kUnusablePause{1000};
// Answers without news that come faster than this are spaced.
constexpr Millis kFastAnswer{20};
constexpr Millis kAgentSilence{3000};

constexpr char kAgentSource[] = "agent";

}  // namespace

ConfigurationSubscription::ConfigurationSubscription(Runtime& runtime, Address agent, OnNewer on_newer)
    : runtime_(runtime),
      agent_(std::move(agent)),
      on_newer_(std::move(on_newer)),
      fetcher_(runtime, replica_, [this] { on_taken(); }) {}

void ConfigurationSubscription::start() { poll(); }

bool ConfigurationSubscription::in_touch() const {
  return agent_in_touch_ && last_answer_ && runtime_.now() - *last_answer_ <= kAgentSilence;
}

void ConfigurationSubscription::poll() {
  timer_.reset();
  wire::Envelope request;
  auto& watch = *request.mutable_configuration_watch();
  // What the agent has offered is being fetched: only what is newer is news.
  watch.set_version(std::max(replica_.version(), fetcher_.announced_version(agent_)));
  watch.set_fetches(true);
  watch.set_wait_ms(static_cast<std::uint32_t>(kWait.count()));
  const TimePoint sent = runtime_.now();
  runtime_.call(agent_, std::move(request), kCallTimeout,
                [this, sent](const CallResult& result) { on_answer(result, sent); });
}

void ConfigurationSubscription::poll_after(Millis pause) {
  if (pause == Millis::zero()) return poll();
  timer_ = runtime_.after(pause, [this] { poll(); });
}

void ConfigurationSubscription::on_answer(const CallResult& result, TimePoint sent) {
  if (!result.answer || !result.answer->has_configuration_update()) return poll_after(kPollPause);
  last_answer_ = runtime_.now();
  poll_after(take_update(result.answer->configuration_update(), sent));
}

Millis ConfigurationSubscription::take_update(const wire::ConfigurationUpdate& update, TimePoint sent) {
  agent_in_touch_ = update.in_touch();
  const bool newer = update.version() > replica_.version();
  if (newer && !update.configuration().empty()) return adopt(update) ? Millis::zero() : kUnusablePause;
  if (newer) fetcher_.on_version_announced(agent_, update.version());
  return runtime_.now() - sent < kFastAnswer ? kPollPause : Millis::zero();
}

bool ConfigurationSubscription::adopt(const wire::ConfigurationUpdate& update) {
  if (replica_.apply_json(update.configuration(), kAgentSource) != ApplyOutcome::applied) return false;
  on_taken();
  return true;
}

void ConfigurationSubscription::on_taken() { on_newer_(*replica_.configuration()); }

}  // namespace winchhall::cluster
