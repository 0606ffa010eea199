#include "cluster/agent/edge_agent.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kLinkCheckInterval{500};
constexpr Millis kShutdownCheckInterval{100};
// Kept back of the grace period for the process' end; less than the ingress keeps, which ends first.
constexpr Millis kShutdownReserve{500};
// While ending, polls of the ingress are held this long, so that its silence shows soon.
constexpr Millis kMaxWaitWhileDraining{300};
constexpr Millis kIngressIdleTimeout{1000};

}  // namespace

EdgeAgent::EdgeAgent(Runtime& runtime, const NodeSettings& settings)
    : runtime_(runtime),
      settings_(settings),
      directory_(runtime, settings),
      watcher_(runtime, view_, directory_, [this](const ViewChanges& changes) { on_change(changes); }),
      watch_server_(runtime, view_),
      budget_(runtime.now()),
      relay_(LeaderCallContext{runtime, view_, watcher_, budget_}),
      last_ingress_call_(runtime.now()) {}

void EdgeAgent::start() {
  watcher_.start();
  check_control_link();
}

bool EdgeAgent::handle(const wire::Envelope& request, const ReplyCallback& reply) {
  if (request.has_configuration_watch()) {
    last_ingress_call_ = runtime_.now();
    watch_server_.watch(request.configuration_watch(), reply);
    return true;
  }
  if (request.has_configuration_fetch()) {
    last_ingress_call_ = runtime_.now();
    watch_server_.fetch(request.configuration_fetch(), reply);
    return true;
  }
  if (request.has_job_request()) {
    last_ingress_call_ = runtime_.now();
    relay_.handle(request.job_request(), reply);
    return true;
  }
  return false;
}

void EdgeAgent::shut_down(std::function<void()> done) {
  if (done_) return;
  done_ = std::move(done);
  end_ = runtime_.now() + std::max(settings_.bounds.grace_period - kShutdownReserve, Millis(0));
  last_ingress_call_ = runtime_.now();
  watch_server_.set_max_wait(kMaxWaitWhileDraining);
  check_shutdown();
}

void EdgeAgent::on_change(const ViewChanges& changes) {
  update_control_link();
  if (changes.configuration) {
    log_event(LogLevel::info, "configuration", {{"version", static_cast<std::int64_t>(view_.version())}});
    watch_server_.on_newer_configuration();
  }
  if (changes.leaders) relay_.on_leaders_changed();
}

void EdgeAgent::update_control_link() {
  const bool in_touch = watcher_.in_touch();
  if (std::exchange(in_touch_, in_touch) == in_touch) return;
  log_event(LogLevel::info, in_touch ? "control_group_found" : "control_group_lost");
  watch_server_.set_in_touch(in_touch);
}

void EdgeAgent::check_control_link() {
  update_control_link();
  link_timer_ = runtime_.after(kLinkCheckInterval, [this] { check_control_link(); });
}

void EdgeAgent::check_shutdown() {
  if (is_ingress_idle() || runtime_.now() >= end_) {
    const auto finished = std::move(done_);
    return finished();
  }
  end_timer_ = runtime_.after(kShutdownCheckInterval, [this] { check_shutdown(); });
}

bool EdgeAgent::is_ingress_idle() const {
  return relay_.open() == 0 && runtime_.now() - last_ingress_call_ >= kIngressIdleTimeout;
}

}  // namespace winchhall::cluster
