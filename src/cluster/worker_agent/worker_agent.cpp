#include "cluster/worker_agent/worker_agent.hpp"

#include <utility>

namespace winchhall::cluster {
namespace {

constexpr Millis kBusyHold{40};   // of an answer, while the leaf's work moves: a report may bring new orders
constexpr Millis kIdleHold{200};  // while the leaf has nothing: new orders reach it at once
constexpr Millis kAnswerLeaveTime{100};  // of the last answer, at a planned end
constexpr Millis kAnswerLimit{700};      // later answers are likely to be dropped: they carry no orders

LeafAnswer refusal(const InvalidInput& error) { return LeafAnswer{400, error_json(error)}; }

}  // namespace

WorkerAgent::WorkerAgent(Runtime& runtime, const NodeSettings& settings)
    : runtime_(runtime),
      session_(settings, runtime.random()),
      link_(runtime, settings, session_, [this] { answer_if_news(); }) {}

void WorkerAgent::start() { link_.start(); }

void WorkerAgent::on_heartbeat(const std::string& leaf_id, const std::string& body, LeafReplier reply) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(heartbeat, parse_heartbeat(leaf_id, body));
        take_heartbeat(std::move(heartbeat), std::move(reply));
        return {};
      },
      [&](const InvalidInput& error) { reply(refusal(error)); },
      [&] {
        reply(refusal(InvalidInput{"Instances.Heartbeat", "body", "", "a readable heartbeat"}));
      });
}

void WorkerAgent::take_heartbeat(Heartbeat heartbeat, LeafReplier reply) {
  const HeartbeatVerdict verdict = session_.accept(std::move(heartbeat), runtime_.now());
  if (verdict.late) return reply(LeafAnswer{200, "{}"});
  hold_answer(std::move(reply));
  if (shutting_down_) return answer_held();
  if (verdict.news) link_.report_now();
  answer_if_news();
}

// The leaf has given up on an earlier call: its answer must not be written any more.
void WorkerAgent::hold_answer(LeafReplier reply) {
  held_reply_ = std::move(reply);
  held_since_ = runtime_.now();
  hold_timer_ = runtime_.after(session_.occupied() ? kBusyHold : kIdleHold, [this] { answer_held(); });
}

void WorkerAgent::answer_if_news() {
  if (held_reply_ && session_.has_news(runtime_.now())) answer_held();
}

void WorkerAgent::answer_held() {
  hold_timer_.reset();
  if (!held_reply_) return;
  const LeafReplier reply = std::exchange(held_reply_, nullptr);
  const bool in_time = runtime_.now() - held_since_ < kAnswerLimit;
  const HeartbeatAnswer answer = session_.answer(runtime_.now(), in_time && !shutting_down_);
  reply(LeafAnswer{200, heartbeat_answer_json(answer)});
}

void WorkerAgent::on_deregister(const std::string& leaf_id, const LeafReplier& reply) {
  if (session_.deregister(leaf_id)) link_.report_now();
  reply(LeafAnswer{200, "{}"});
}

bool WorkerAgent::handle(const wire::Envelope&, const Replier&) { return false; }

void WorkerAgent::shut_down(std::function<void()> done) {
  shutting_down_ = true;
  answer_held();
  link_.stop();
  shut_down_timer_ = runtime_.after(kAnswerLeaveTime, std::move(done));
}

}  // namespace winchhall::cluster
