#include "cluster/worker_agent/worker_agent.hpp"

#include <utility>

namespace winchhall::cluster {
namespace {

// How long a response is deferred. It is short while the leaf lists tasks, so that the next heartbeat follows
// soon, and long otherwise, so that a new order is likely to find a deferred response.
constexpr Millis kBusyResponseDelay{40};
constexpr Millis kIdleResponseDelay{200};
// A leaf drops a response that arrives after its timeout, so a response later than this carries no orders.
constexpr Millis kMaxDelayWithOrders{700};
constexpr Millis kShutdownFlushTime{100};
// How long the response to an unconfirmed heartbeat waits for the epoch of a leader. Together with the pause
// before the next heartbeat it stays below the gap that LeafHandshake allows.
constexpr Millis kMaxUnconfirmedDelay{600};

LeafResponse error_response(const InvalidInput& error) { return LeafResponse{400, error_json(error)}; }

}  // namespace

WorkerAgent::WorkerAgent(Runtime& runtime, const NodeSettings& settings)
    : runtime_(runtime),
      session_(settings, runtime.random()),
      reporter_(runtime, settings, session_, [this] { respond_if_urgent(); }) {}

void WorkerAgent::start() { reporter_.start(); }

void WorkerAgent::on_heartbeat(const std::string& leaf_id, const std::string& body, LeafReplyCallback reply) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(heartbeat, parse_heartbeat(leaf_id, body));
        process_heartbeat(std::move(heartbeat), std::move(reply));
        return {};
      },
      [&](const InvalidInput& error) { reply(error_response(error)); },
      [&] {
        reply(error_response(InvalidInput{"Instances.Heartbeat", "body", "", "a readable heartbeat"}));
      });
}

void WorkerAgent::process_heartbeat(Heartbeat heartbeat, LeafReplyCallback reply) {
  const HeartbeatOutcome outcome = session_.process_heartbeat(std::move(heartbeat), runtime_.now());
  if (outcome == HeartbeatOutcome::stale) return reply(LeafResponse{200, "{}"});
  if (outcome == HeartbeatOutcome::unconfirmed) return respond_to_unconfirmed(std::move(reply));
  defer_response(std::move(reply));
  if (shutting_down_) return send_deferred_response();
  if (outcome == HeartbeatOutcome::report_needed) reporter_.report_now();
  respond_if_urgent();
}

// Replaces the deferred reply of an earlier call, which must not be used any more: the leaf has given up on
// that call.
void WorkerAgent::defer_response(LeafReplyCallback reply) {
  deferred_reply_ = std::move(reply);
  deferred_at_ = runtime_.now();
  const Millis delay = session_.has_listed_tasks() ? kBusyResponseDelay : kIdleResponseDelay;
  response_delay_timer_ = runtime_.after(delay, [this] { send_deferred_response(); });
}

void WorkerAgent::respond_to_unconfirmed(LeafReplyCallback reply) {
  unconfirmed_reply_ = std::move(reply);
  if (session_.knows_epoch() || shutting_down_) return send_unconfirmed_response();
  unconfirmed_timer_ = runtime_.after(kMaxUnconfirmedDelay, [this] { send_unconfirmed_response(); });
  reporter_.search();
}

void WorkerAgent::send_unconfirmed_response() {
  unconfirmed_timer_.reset();
  const LeafReplyCallback reply = std::exchange(unconfirmed_reply_, nullptr);
  reply(LeafResponse{200, heartbeat_response_json(session_.make_unconfirmed_response())});
}

void WorkerAgent::respond_if_urgent() {
  if (unconfirmed_reply_ && session_.knows_epoch()) send_unconfirmed_response();
  if (deferred_reply_ && session_.needs_prompt_response(runtime_.now())) send_deferred_response();
}

void WorkerAgent::send_deferred_response() {
  response_delay_timer_.reset();
  if (!deferred_reply_) return;
  const LeafReplyCallback reply = std::exchange(deferred_reply_, nullptr);
  // The timer fires late if the process was suspended.
  const bool in_time = runtime_.now() - deferred_at_ < kMaxDelayWithOrders;
  const HeartbeatResponse response = session_.make_response(runtime_.now(), in_time && !shutting_down_);
  reply(LeafResponse{200, heartbeat_response_json(response)});
}

void WorkerAgent::on_deregister(const std::string& leaf_id, const LeafReplyCallback& reply) {
  if (session_.deregister(leaf_id)) reporter_.report_now();
  reply(LeafResponse{200, "{}"});
}

void WorkerAgent::shut_down(std::function<void()> done) {
  shutting_down_ = true;
  if (unconfirmed_reply_) send_unconfirmed_response();
  send_deferred_response();
  reporter_.stop();
  shutdown_timer_ = runtime_.after(kShutdownFlushTime, std::move(done));
}

}  // namespace winchhall::cluster
