#include "cluster/worker_agent/worker_agent.hpp"

#include <utility>

namespace winchhall::cluster {
namespace {

constexpr Millis kBusyResponseDelay{
    40};  // of an answer, while the leaf's work moves: a report may bring new orders
constexpr Millis kIdleResponseDelay{200};  // while the leaf has nothing: new orders reach it at once
constexpr Millis kShutdownFlushTime{100};  // of the last answer, at a planned end
constexpr Millis kMaxResponseDelay{700};   // later answers are likely to be dropped: they carry no orders

LeafResponse refusal(const InvalidInput& error) { return LeafResponse{400, error_json(error)}; }

}  // namespace

WorkerAgent::WorkerAgent(Runtime& runtime, const NodeSettings& settings)
    : runtime_(runtime),
      session_(settings, runtime.random()),
      reporter_(runtime, settings, session_, [this] { respond_if_urgent(); }) {}

void WorkerAgent::start() { reporter_.start(); }

void WorkerAgent::on_heartbeat(const std::string& leaf_id, const std::string& body, LeafReplier reply) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(heartbeat, parse_heartbeat(leaf_id, body));
        process_heartbeat(std::move(heartbeat), std::move(reply));
        return {};
      },
      [&](const InvalidInput& error) { reply(refusal(error)); },
      [&] {
        reply(refusal(InvalidInput{"Instances.Heartbeat", "body", "", "a readable heartbeat"}));
      });
}

void WorkerAgent::process_heartbeat(Heartbeat heartbeat, LeafReplier reply) {
  const HeartbeatOutcome outcome = session_.process_heartbeat(std::move(heartbeat), runtime_.now());
  if (outcome.stale) return reply(LeafResponse{200, "{}"});
  defer_response(std::move(reply));
  if (shutting_down_) return send_deferred_response();
  if (outcome.report_needed) reporter_.report_now();
  respond_if_urgent();
}

// The leaf has given up on an earlier call: its answer must not be written any more.
void WorkerAgent::defer_response(LeafReplier reply) {
  deferred_reply_ = std::move(reply);
  deferred_at_ = runtime_.now();
  response_delay_timer_ =
      runtime_.after(session_.has_listed_tasks() ? kBusyResponseDelay : kIdleResponseDelay,
                     [this] { send_deferred_response(); });
}

void WorkerAgent::respond_if_urgent() {
  if (deferred_reply_ && session_.needs_prompt_response(runtime_.now())) send_deferred_response();
}

void WorkerAgent::send_deferred_response() {
  response_delay_timer_.reset();
  if (!deferred_reply_) return;
  const LeafReplier reply = std::exchange(deferred_reply_, nullptr);
  const bool in_time = runtime_.now() - deferred_at_ < kMaxResponseDelay;
  const HeartbeatResponse answer = session_.answer(runtime_.now(), in_time && !shutting_down_);
  reply(LeafResponse{200, heartbeat_response_json(answer)});
}

void WorkerAgent::on_deregister(const std::string& leaf_id, const LeafReplier& reply) {
  if (session_.deregister(leaf_id)) reporter_.report_now();
  reply(LeafResponse{200, "{}"});
}

bool WorkerAgent::handle(const wire::Envelope&, const ReplyCallback&) { return false; }

void WorkerAgent::shut_down(std::function<void()> done) {
  shutting_down_ = true;
  send_deferred_response();
  reporter_.stop();
  shut_down_timer_ = runtime_.after(kShutdownFlushTime, std::move(done));
}

}  // namespace winchhall::cluster
