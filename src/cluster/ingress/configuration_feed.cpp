#include "cluster/ingress/configuration_feed.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kWait{1000};
constexpr Millis kCallTimeout{1500};
constexpr Millis kPollPause{50};
constexpr Millis kUnusablePause{1000};
// Answers without news that come faster than this are spaced.
constexpr Millis kFastAnswer{20};
constexpr Millis kAgentSilence{3000};

std::shared_ptr<const Configuration> parse(const std::string& json) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::shared_ptr<const Configuration>> {
        BOOST_LEAF_AUTO(configuration, parse_configuration(json, "agent"));
        return std::make_shared<const Configuration>(std::move(configuration));
      },
      []() -> std::shared_ptr<const Configuration> { return nullptr; });
}

}  // namespace

ConfigurationFeed::ConfigurationFeed(Runtime& runtime, Address agent, OnNewer on_newer)
    : runtime_(runtime), agent_(std::move(agent)), on_newer_(std::move(on_newer)) {}

void ConfigurationFeed::start() { poll(); }

bool ConfigurationFeed::in_touch() const {
  return agent_in_touch_ && last_answer_ && runtime_.now() - *last_answer_ <= kAgentSilence;
}

void ConfigurationFeed::poll() {
  timer_.reset();
  wire::Envelope request;
  auto& watch = *request.mutable_configuration_watch();
  watch.set_version(current_ ? current_->version : 0);
  watch.set_wait_ms(static_cast<std::uint32_t>(kWait.count()));
  const TimePoint sent = runtime_.now();
  runtime_.call(agent_, std::move(request), kCallTimeout,
                [this, sent](const CallResult& result) { on_answer(result, sent); });
}

void ConfigurationFeed::poll_after(Millis pause) {
  if (pause == Millis::zero()) return poll();
  timer_ = runtime_.after(pause, [this] { poll(); });
}

void ConfigurationFeed::on_answer(const CallResult& result, TimePoint sent) {
  if (!result.answer || !result.answer->has_configuration_update()) return poll_after(kPollPause);
  last_answer_ = runtime_.now();
  poll_after(take_update(result.answer->configuration_update(), sent));
}

Millis ConfigurationFeed::take_update(const wire::ConfigurationUpdate& update, TimePoint sent) {
  agent_in_touch_ = update.in_touch();
  const bool newer = update.version() > (current_ ? current_->version : 0);
  if (newer && !update.configuration().empty()) return adopt(update) ? Millis::zero() : kUnusablePause;
  return runtime_.now() - sent < kFastAnswer ? kPollPause : Millis::zero();
}

bool ConfigurationFeed::adopt(const wire::ConfigurationUpdate& update) {
  auto configuration = parse(update.configuration());
  if (!configuration) return false;
  current_ = std::move(configuration);
  on_newer_(*current_);
  return true;
}

}  // namespace winchhall::cluster
