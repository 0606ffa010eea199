#include "cluster/ingress/ingress.hpp"

#include <algorithm>

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

namespace {

// The platform takes an aggregator out after two probes, a second apart, without a 200.
constexpr Millis kSeenNotReady{2500};
constexpr Millis kDrainCheck{50};
// Kept back of the grace period for the process' end.
constexpr Millis kEndReserve{1000};
// Kept back before that for the last answers to be written.
constexpr Millis kLastAnswers{300};
// Probes come from one place.
constexpr std::size_t kMaxProbeConnections = 64;

}  // namespace

Ingress::Ingress(Runtime& runtime, const NodeSettings& settings, boost::asio::io_context& loop)
    : runtime_(runtime),
      settings_(settings),
      loop_(loop),
      feed_(runtime, settings.agent_listener_address(),
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
        gateway_.handle(accepts_jobs() ? feed_.current() : nullptr, request, std::move(reply));
      });
  probes_ = make_http_server(
      loop_, settings_.ready,
      [this](const HttpRequest& request, const HttpReplyCallback& reply) { on_probe(request, reply); },
      kMaxProbeConnections);
  feed_.start();
}

bool Ingress::ready() const {
  return accepts_jobs() && !shutting_down_ && feed_.current() && feed_.in_touch();
}

void Ingress::on_probe(const HttpRequest& request, const HttpReplyCallback& reply) const {
  const bool known = request.target() == "/v1/readiness";
  if (!known) return reply(json_response(404, "{}"));
  reply(json_response(ready() ? 200 : 503, "{}"));
}

void Ingress::shut_down(std::function<void()> done) {
  if (shutting_down_) return;
  shutting_down_ = true;
  done_ = std::move(done);
  const Millis total = std::max(settings_.bounds.grace_period - kEndReserve, Millis(0));
  end_ = runtime_.now() + total;
  drain_timer_ = runtime_.after(std::min(kSeenNotReady, total / 2), [this] { stop_serving(); });
  give_up_timer_ = runtime_.after(std::max(total - kLastAnswers, Millis(0)), [this] { give_up(); });
}

void Ingress::stop_serving() {
  front_->stop_accepting();
  front_->drain();
  watch_drain();
}

void Ingress::watch_drain() {
  const bool empty = front_->open_connections() == 0 && gateway_.open() == 0;
  if (empty || runtime_.now() >= end_) return finish();
  drain_timer_ = runtime_.after(kDrainCheck, [this] { watch_drain(); });
}

void Ingress::give_up() { gateway_.fail_all_pending(); }

void Ingress::finish() {
  const auto done = std::move(done_);
  if (done) done();
}

}  // namespace winchhall::cluster
