#include "cluster/agent/edge_agent.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kContactCheckInterval{500};
constexpr Millis kShutdownCheckInterval{100};
// Part of the grace period that is reserved for the exit of the process. Less than the ingress reserves,
// because the ingress exits first.
constexpr Millis kShutdownReserve{500};
// Limit on the wait of polls during a shutdown. A running ingress then calls often, so that one which has
// stopped calling is soon recognized as idle.
constexpr Millis kMaxWaitDuringShutdown{300};
constexpr Millis kIngressIdleTimeout{1000};

}  // namespace

EdgeAgent::EdgeAgent(Runtime& runtime, const NodeSettings& settings)
    : runtime_(runtime),
      settings_(settings),
      directory_(runtime, settings),
      watcher_(runtime, view_, directory_, [this](const ViewChanges& changes) { on_change(changes); }),
      watch_server_(runtime, view_),
      budget_(runtime.now()),
      service_lists_(runtime, view_, directory_,
                     [this](const Address& peer, const wire::ConfigurationUpdate& update) {
                       watcher_.on_update(peer, update);
                     }),
      relay_(LeaderCallContext{runtime, view_, watcher_, budget_}, service_lists_),
      last_ingress_call_(runtime.now()) {}

void EdgeAgent::start() {
  watcher_.start();
  check_quorum_contact();
}

bool EdgeAgent::handle(const wire::Envelope& request, const ReplyCallback& reply) {
  if (request.has_configuration_watch()) {
    watch_server_.watch(request.configuration_watch(), reply);
  } else if (request.has_configuration_fetch()) {
    watch_server_.fetch(request.configuration_fetch(), reply);
  } else if (request.has_job_request()) {
    relay_.handle(request.job_request(), reply);
  } else {
    return false;
  }
  last_ingress_call_ = runtime_.now();
  return true;
}

void EdgeAgent::shut_down(std::function<void()> done) {
  if (shutdown_done_) return;
  shutdown_done_ = std::move(done);
  shutdown_deadline_ = runtime_.now() + std::max(settings_.bounds.grace_period - kShutdownReserve, Millis(0));
  last_ingress_call_ = runtime_.now();
  watch_server_.set_max_wait(kMaxWaitDuringShutdown);
  check_shutdown();
}

void EdgeAgent::on_change(const ViewChanges& changes) {
  update_quorum_contact();
  if (changes.configuration) {
    log_event(LogLevel::info, "configuration", {{"version", static_cast<std::int64_t>(view_.version())}});
    watch_server_.on_newer_configuration();
    relay_.on_configuration_changed();
  }
  if (changes.leaders) relay_.on_leaders_changed();
}

void EdgeAgent::update_quorum_contact() {
  const bool has_contact = watcher_.has_quorum_contact();
  if (std::exchange(had_quorum_contact_, has_contact) == has_contact) return;
  log_event(LogLevel::info, has_contact ? "control_group_found" : "control_group_lost");
  watch_server_.set_quorum_contact(has_contact);
}

void EdgeAgent::check_quorum_contact() {
  update_quorum_contact();
  contact_timer_ = runtime_.after(kContactCheckInterval, [this] { check_quorum_contact(); });
}

void EdgeAgent::check_shutdown() {
  if (is_ingress_idle() || runtime_.now() >= shutdown_deadline_) {
    const auto done = std::move(shutdown_done_);
    return done();
  }
  shutdown_timer_ = runtime_.after(kShutdownCheckInterval, [this] { check_shutdown(); });
}

bool EdgeAgent::is_ingress_idle() const {
  return !relay_.has_open_requests() && runtime_.now() - last_ingress_call_ >= kIngressIdleTimeout;
}

}  // namespace winchhall::cluster
