#include "aggregator/http/leaf_connection.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "aggregator/http/range_protocol.hpp"

namespace winchhall::http {

using coordination::AttemptNumber;
using coordination::Outcome;

namespace {
constexpr event_loop::Millis kWholeFrame = 250;  // ms from a frame's first byte until it must be there whole
constexpr std::size_t kGivenUpMost = 256;  // names remembered of given-up parts before a connection retires
constexpr double kLateShare =
    0.2;  // of the connect timeout: one that is not up by then gets another beside it
constexpr event_loop::Millis kLinger =
    250;  // ms to a leaf's own end of a connection, once we have ended ours
}  // namespace

LeafPool::Connection::Connection(LeafPool& pool, std::string server, std::string endpoint)
    : server_(std::move(server)), endpoint_(std::move(endpoint)), pool_(pool), used_at_(pool.loop_.now()) {}

bool LeafPool::Connection::begin() {
  auto to = event_loop::parse_address(endpoint_);
  int error = 0;
  if (to) stream_ = event_loop::Stream::connect(pool_.loop_, *to, *this, error);
  if (!stream_) {
    spdlog::warn("no socket for {} at {}: errno {}", server_, endpoint_, error);
    return false;
  }
  event_loop::Millis now = pool_.loop_.now();
  late_timer_ = pool_.loop_.at(now + kLateShare * pool_.limits_.connect_timeout, [this] { late(); });
  // Guards against a machine that is cut off: its side of the connection never comes up, without a sign.
  connect_timer_ = pool_.loop_.at(now + pool_.limits_.connect_timeout, [this] {
    connect_timer_ = {};
    spdlog::debug("no connection to {} in time", server_);
    // A server that holds another connection of ours is there: this one only came up late.
    over(pool_.has_up(*this) ? Outcome::unsent : Outcome::connect_failed);
  });
  return true;
}

// Guards against parts that wait for a connection that comes up late, if at all, while another would be there
// at once. What comes up first takes what waits.
void LeafPool::Connection::late() {
  late_timer_ = {};
  if (!waiting_.empty()) pool_.open_additional(*this);
}

void LeafPool::Connection::connected() {
  pool_.loop_.cancel(connect_timer_);
  pool_.loop_.cancel(late_timer_);
  pump();
  pool_.came_up(*this);
}

void LeafPool::Connection::add(Call call) {
  for (const coordination::AttemptRequest& o : call) {
    live_[o.attempt] = {o.part, 0, 0, !o.span.empty()};
    by_part_[o.part] = o.attempt;
    pool_.where_[o.attempt] = this;
  }
  waiting_.push_back(std::move(call));
  used_at_ = pool_.loop_.now();
  pump();
}

std::vector<LeafPool::Call> LeafPool::Connection::take_waiting() {
  std::vector<Call> calls(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(waiting_.end()));
  waiting_.clear();
  for (const Call& call : calls)
    for (const coordination::AttemptRequest& o : call) {
      live_.erase(o.attempt);
      by_part_.erase(o.part);
      pool_.where_.erase(o.attempt);
    }
  return calls;
}

void LeafPool::Connection::abandon(AttemptNumber attempt) {
  auto it = live_.find(attempt);
  if (it == live_.end() || recall(attempt)) return;
  by_part_[it->second.part] = 0;  // its answer may still come, and means nothing then
  unresponsiveness_.on_attempt_abandoned(it->second.written_at, pool_.loop_.now());
  if (unresponsiveness_.is_unresponsive() && !std::exchange(retired_, true))
    spdlog::debug("a connection to {} is silent, not used again", server_);
  // Guards against names kept for ever: not every leaf answers what was given up.
  if (by_part_.size() - live_.size() > kGivenUpMost) retired_ = true;
  stream_->write(make_frame('K', it->second.part));
  live_.erase(it);
  used_at_ = pool_.loop_.now();
}

bool LeafPool::Connection::recall(AttemptNumber attempt) {
  auto it = live_.find(attempt);
  if (it == live_.end() || it->second.frame_end > 0) return false;
  by_part_.erase(it->second.part);
  for (Call& call : waiting_) std::erase_if(call, [&](const auto& o) { return o.attempt == attempt; });
  live_.erase(it);
  used_at_ = pool_.loop_.now();
  return true;
}

void LeafPool::Connection::probe() {
  probes_.push_back(pool_.loop_.now());
  stream_->write(make_frame('U', ""));
}

void LeafPool::Connection::close() {
  for (event_loop::TimerId* timer : {&connect_timer_, &late_timer_, &frame_timer_})
    pool_.loop_.cancel(*timer);
  if (stream_) stream_->close();
}

std::shared_ptr<event_loop::Stream> LeafPool::Connection::linger() {
  for (event_loop::TimerId* timer : {&connect_timer_, &late_timer_, &frame_timer_})
    pool_.loop_.cancel(*timer);
  if (stream_) stream_->linger(kLinger, kLinger);
  return stream_;
}

void LeafPool::Connection::received(std::string& in) {
  unresponsiveness_.on_activity(pool_.loop_.now());
  bool bad = false;
  while (auto frame = take_frame(in, bad)) {
    pool_.loop_.cancel(frame_timer_);
    used_at_ = pool_.loop_.now();
    if (frame->message == 'O') {
      auto answer = read_answer(frame->rest);
      if (!answer || (answer->end == kNotMine && !(pool_.limits_.spans && requests_span(answer->part))))
        return refuse("an answer that cannot be read", frame->rest.substr(0, frame->rest.find(' ')));
      // Guards against waiting for an answer that has come under another name: the leaf sends no second.
      if (!take(*answer) && !idle()) return refuse("an answer to nothing that it was asked");
    } else if ((frame->message == 'U' || frame->message == 'I') && !probes_.empty()) {
      bool ok = frame->rest.substr(0, 3) != "500";
      pool_.router_.probe_ended(server_, ok ? Outcome::ok : Outcome::error, used_at_ - probes_.front(),
                                read_load(frame->rest));
      probes_.pop_front();
    } else {
      if (frame->message == 'Z') return complain(frame->rest);
      return refuse("a frame of no known kind");
    }
  }
  if (bad && !idle()) return refuse("what can be no frame");
  // Guards against bytes behind a good answer that would be read as the front of a later one's frame.
  if (!in.empty() && idle()) {
    spdlog::debug("leaf {} sent more than belongs to its answers", server_);
    return pool_.drop(*this);
  }
  // Guards against a length that does not fit: the rest never comes, and what follows would be taken for it.
  if (in.empty()) pool_.loop_.cancel(frame_timer_);
  if (!in.empty() && frame_timer_ == event_loop::TimerId{})
    frame_timer_ = pool_.loop_.at(pool_.loop_.now() + kWholeFrame, [this] {
      frame_timer_ = {};
      refuse("a frame that does not end");
    });
}

void LeafPool::Connection::complain(const std::string& words) {
  spdlog::warn("leaf {} could not use a frame: {}", server_, words.substr(0, 200));
  over(Outcome::connect_failed);
}

// What was not written whole never ran; whatever was out after that may have.
void LeafPool::Connection::over(Outcome unwritten) {
  close();
  for (const auto& [attempt, state] : std::exchange(live_, {})) {
    bool written = state.frame_end > 0 && state.frame_end <= stream_->flushed();
    pool_.where_.erase(attempt);
    pool_.router_.attempt_ended(attempt,
                                {.outcome = written ? Outcome::reset : unwritten, .written = written});
  }
  for (event_loop::Millis sent : std::exchange(probes_, {}))
    pool_.router_.probe_ended(server_, Outcome::reset, pool_.loop_.now() - sent, {});
  pool_.drop(*this);
}

bool LeafPool::Connection::requests_span(const std::string& part) const {
  auto it = by_part_.find(part);
  if (it == by_part_.end() || it->second == 0) return true;  // given up: nothing is taken from it
  return live_.at(it->second).span;
}

// A call is written once all before it is with the kernel: what still waits behind a leaf that reads slowly
// can be taken back whole.
void LeafPool::Connection::pump() {
  while (stream_->usable() && !stream_->connecting() && !waiting_.empty() && stream_->unsent() == 0) {
    Call call = std::move(waiting_.front());
    waiting_.pop_front();
    event_loop::Millis now = pool_.loop_.now();
    // Guards against a part that was chosen in time and is written too late: a repeat outside its window, or
    // one for a server that may drain by now.
    for (const coordination::AttemptRequest& o : call)
      if (now > o.send_by) not_sent(o);
    std::erase_if(call, [&](const auto& o) { return now > o.send_by; });
    if (call.empty()) continue;
    std::string lines;
    for (const coordination::AttemptRequest& o : call) {
      double wait = std::max(1.0, std::floor(o.until - now));
      lines += o.span.empty() ? part_lines(o.part, o.shard, static_cast<long long>(wait), *o.text)
                              : span_lines(o.part, o, static_cast<long long>(wait));
    }
    std::string frame = make_frame('D', lines);
    for (const coordination::AttemptRequest& o : call) {
      live_[o.attempt].frame_end = stream_->queued() + frame.size();
      live_[o.attempt].written_at = now;
    }
    stream_->write(frame);
  }
}

void LeafPool::Connection::not_sent(const coordination::AttemptRequest& order) {
  live_.erase(order.attempt);
  by_part_.erase(order.part);
  pool_.where_.erase(order.attempt);
  pool_.router_.attempt_ended(order.attempt, {.outcome = Outcome::unsent, .written = false});
}

// False if nothing of that name is out here.
bool LeafPool::Connection::take(PartAnswer& answer) {
  auto it = by_part_.find(answer.part);
  if (it == by_part_.end()) return false;
  AttemptNumber attempt = it->second;
  by_part_.erase(it);
  if (attempt == 0) return true;
  live_.erase(attempt);
  pool_.where_.erase(attempt);
  coordination::AttemptResult r;
  r.outcome = answer.end == 200        ? Outcome::ok
              : answer.end == 503      ? Outcome::full
              : answer.end == kNotMine ? Outcome::not_mine
                                       : Outcome::error;
  if (r.outcome == Outcome::not_mine)
    r.denial = std::make_shared<const ranges::NotMine>(read_denial(answer.value));
  if (r.outcome == Outcome::ok) r.values.push_back(std::move(answer.value));
  r.load = answer.load;
  pool_.router_.attempt_ended(attempt, std::move(r));
  return true;
}

// Nothing more can be read here, though the leaf is sound: one answer is spoilt. Guards against taking it for
// a fallen server, which would set the leaf aside and cost far more than the parts on this connection. The
// part whose answer it was ends with an error, or the oldest where that can't be told; the others are only
// taken from here.
void LeafPool::Connection::refuse(const std::string& what, const std::string& part) {
  spdlog::warn("leaf {} sent {}", server_, what);
  auto named = by_part_.find(part);
  AttemptNumber spoilt = named != by_part_.end() ? named->second : 0;
  for (const auto& [attempt, state] : std::exchange(live_, {})) {
    bool written = state.frame_end > 0 && state.frame_end <= stream_->flushed();
    if (spoilt == 0 && written) spoilt = attempt;
    Outcome outcome = !written ? Outcome::unsent : attempt == spoilt ? Outcome::error : Outcome::cancelled;
    pool_.where_.erase(attempt);
    pool_.router_.attempt_ended(attempt, {.outcome = outcome, .written = written});
  }
  for (event_loop::Millis sent : std::exchange(probes_, {}))
    pool_.router_.probe_ended(server_, Outcome::error, pool_.loop_.now() - sent, {});
  pool_.drop(*this);
}

}  // namespace winchhall::http
