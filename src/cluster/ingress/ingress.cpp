#include "cluster/ingress/ingress.hpp"

#include <algorithm>

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

namespace {

// The platform removes an ingress after two failed readiness probes, one second apart.
constexpr Millis kUnreadinessDetectionTime{2500};
constexpr Millis kDrainCheckInterval{50};
// Part of the grace period that is reserved for the end of the process.
constexpr Millis kExitReserve{1000};
// Time before kExitReserve that is reserved for writing the last responses.
constexpr Millis kLastResponsesReserve{300};
// Limit for the readiness server, whose probes all come from one client.
constexpr std::size_t kMaxProbeConnections = 64;

}  // namespace

Ingress::Ingress(Runtime& runtime, const NodeSettings& settings, boost::asio::io_context& loop)
    : runtime_(runtime),
      settings_(settings),
      loop_(loop),
      subscription_(runtime, settings.agent_listener_address(),
                    [this](const Configuration& configuration) {
                      log_event(LogLevel::info, "configuration",
                                {{"version", static_cast<std::int64_t>(configuration.version)}});
                      if (front_) front_->set_limits(configuration.limits);
                    }),
      gateway_(runtime, settings.agent_listener_address()) {}

void Ingress::start() {
  if (!accepts_jobs()) {
    log_event(LogLevel::error, "setting_not_supported",
              {{"field", "commands"}, {"value", "invocation"}, {"allowed", "heartbeat"}});
  }
  front_ =
      make_http_server(loop_, settings_.front, [this](const HttpRequest& request, HttpReplyCallback reply) {
        gateway_.handle(accepts_jobs() ? subscription_.current() : nullptr, request, std::move(reply));
      });
  probes_ = make_http_server(
      loop_, settings_.ready,
      [this](const HttpRequest& request, const HttpReplyCallback& reply) { on_probe(request, reply); },
      kMaxProbeConnections);
  subscription_.start();
}

bool Ingress::ready() const {
  return accepts_jobs() && !shutting_down_ && subscription_.current() && subscription_.is_connected();
}

void Ingress::on_probe(const HttpRequest& request, const HttpReplyCallback& reply) const {
  const bool found = request.target() == "/v1/readiness";
  if (!found) return reply(json_response(404, "{}"));
  reply(json_response(ready() ? 200 : 503, "{}"));
}

void Ingress::shut_down(std::function<void()> done) {
  if (shutting_down_) return;
  shutting_down_ = true;
  done_ = std::move(done);
  const Millis available = std::max(settings_.bounds.grace_period - kExitReserve, Millis(0));
  shutdown_deadline_ = runtime_.now() + available;
  drain_timer_ =
      runtime_.after(std::min(kUnreadinessDetectionTime, available / 2), [this] { start_drain(); });
  fail_pending_timer_ = runtime_.after(std::max(available - kLastResponsesReserve, Millis(0)),
                                       [this] { gateway_.fail_all_pending(); });
}

void Ingress::start_drain() {
  front_->stop_accepting();
  front_->drain();
  check_drained();
}

void Ingress::check_drained() {
  const bool drained = front_->open_connections() == 0 && gateway_.pending_calls() == 0;
  if (drained || runtime_.now() >= shutdown_deadline_) return finish();
  drain_timer_ = runtime_.after(kDrainCheckInterval, [this] { check_drained(); });
}

void Ingress::finish() {
  const auto done = std::move(done_);
  if (done) done();
}

}  // namespace winchhall::cluster
