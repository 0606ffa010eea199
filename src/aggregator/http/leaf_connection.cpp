#include "aggregator/http/leaf_connection.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "aggregator/http/range_protocol.hpp"

namespace winchhall::http {

using coordination::AttemptNumber;
using coordination::Outcome;

namespace {
constexpr event_loop::Millis kFrameTimeout = 250;  // ms from the first byte of a frame to its last
constexpr std::size_t kMaxAbandonedParts = 256;    // remembered per connection, which is then retired
constexpr double kSlowConnectShare =
    0.2;  // of the connect timeout, after which another connection is opened in parallel
constexpr event_loop::Millis kLingerTimeout = 250;  // ms for the leaf to close its side after we closed ours
}  // namespace

LeafPool::Connection::Connection(LeafPool& pool, std::string server, std::string endpoint)
    : server_(std::move(server)),
      endpoint_(std::move(endpoint)),
      pool_(pool),
      last_used_at_(pool.loop_.now()) {}

bool LeafPool::Connection::start() {
  auto to = event_loop::parse_address(endpoint_);
  int error = 0;
  if (to) stream_ = event_loop::Stream::connect(pool_.loop_, *to, *this, error);
  if (!stream_) {
    spdlog::warn("leaf {}: no connection started to {}, errno {} (0: invalid address)", server_, endpoint_,
                 error);
    return false;
  }
  event_loop::Millis now = pool_.loop_.now();
  slow_connect_timer_ = pool_.loop_.run_at(now + kSlowConnectShare * pool_.limits_.connect_timeout,
                                           [this] { on_connect_slow(); });
  // An unreachable machine does not refuse the connection; the attempt would stay pending.
  connect_timer_ = pool_.loop_.run_at(now + pool_.limits_.connect_timeout, [this] {
    connect_timer_ = {};
    spdlog::debug("leaf {}: connection not established within the connect timeout", server_);
    // If there is another established connection, the server is up and only this connection was slow.
    fail_all(pool_.has_other_established(*this) ? Outcome::unsent : Outcome::connect_failed);
  });
  return true;
}

// A connection may be established late or never, while a second one would be ready at once. The first to be
// established takes over the queued parts.
void LeafPool::Connection::on_connect_slow() {
  slow_connect_timer_ = {};
  if (!queue_.empty()) pool_.open_additional(*this);
}

void LeafPool::Connection::connected() {
  pool_.loop_.cancel(connect_timer_);
  pool_.loop_.cancel(slow_connect_timer_);
  write_queued();
  pool_.on_established(*this);
}

void LeafPool::Connection::add(Batch batch) {
  for (const coordination::AttemptRequest& request : batch) {
    attempts_[request.attempt] = {request.part, 0, 0, !request.span.empty()};
    attempt_by_part_[request.part] = request.attempt;
    pool_.connection_of_attempt_[request.attempt] = this;
  }
  queue_.push_back(std::move(batch));
  last_used_at_ = pool_.loop_.now();
  write_queued();
}

std::vector<LeafPool::Batch> LeafPool::Connection::take_queued() {
  std::vector<Batch> batches(std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end()));
  queue_.clear();
  for (const Batch& batch : batches)
    for (const coordination::AttemptRequest& request : batch) {
      attempts_.erase(request.attempt);
      attempt_by_part_.erase(request.part);
      pool_.connection_of_attempt_.erase(request.attempt);
    }
  return batches;
}

void LeafPool::Connection::abandon(AttemptNumber attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end() || recall(attempt)) return;
  attempt_by_part_[it->second.part] = 0;  // a response may still arrive and is ignored
  unresponsiveness_.on_attempt_abandoned(it->second.written_at, pool_.loop_.now());
  if (unresponsiveness_.is_unresponsive() && !std::exchange(retired_, true))
    spdlog::debug("leaf {}: connection unresponsive, not used for further parts", server_);
  // Not every leaf answers abandoned parts, so their names could accumulate without a limit.
  if (attempt_by_part_.size() - attempts_.size() > kMaxAbandonedParts) retired_ = true;
  stream_->write(make_frame('K', it->second.part));
  attempts_.erase(it);
  last_used_at_ = pool_.loop_.now();
}

bool LeafPool::Connection::recall(AttemptNumber attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.frame_end_offset > 0) return false;
  attempt_by_part_.erase(it->second.part);
  for (Batch& batch : queue_)
    std::erase_if(batch, [&](const auto& request) { return request.attempt == attempt; });
  attempts_.erase(it);
  last_used_at_ = pool_.loop_.now();
  return true;
}

void LeafPool::Connection::probe() {
  probes_.push_back(pool_.loop_.now());
  stream_->write(make_frame('U', ""));
}

void LeafPool::Connection::close() {
  for (event_loop::TimerId* timer : {&connect_timer_, &slow_connect_timer_, &frame_timer_})
    pool_.loop_.cancel(*timer);
  if (stream_) stream_->close();
}

std::shared_ptr<event_loop::Stream> LeafPool::Connection::linger() {
  for (event_loop::TimerId* timer : {&connect_timer_, &slow_connect_timer_, &frame_timer_})
    pool_.loop_.cancel(*timer);
  if (stream_) stream_->linger(kLingerTimeout, kLingerTimeout);
  return stream_;
}

void LeafPool::Connection::received(std::string& in) {
  unresponsiveness_.on_activity(pool_.loop_.now());
  bool bad = false;
  while (auto frame = take_frame(in, bad)) {
    pool_.loop_.cancel(frame_timer_);
    last_used_at_ = pool_.loop_.now();
    if (frame->type == 'O') {
      auto answer = read_answer(frame->payload);
      if (!answer ||
          (answer->status == kMisdirected && !(pool_.limits_.spans && requests_span(answer->part))))
        return on_protocol_error("malformed response", frame->payload.substr(0, frame->payload.find(' ')));
      // The leaf answers each part once, so the part that this response was meant for would wait in vain.
      if (!complete_attempt(*answer) && !idle()) return on_protocol_error("response to an unknown part");
    } else if ((frame->type == 'U' || frame->type == 'I') && !probes_.empty()) {
      bool ok = frame->payload.substr(0, 3) != "500";
      pool_.router_.probe_ended(server_, ok ? Outcome::ok : Outcome::error, last_used_at_ - probes_.front(),
                                read_load(frame->payload));
      probes_.pop_front();
    } else {
      if (frame->type == 'Z') return on_frame_rejected(frame->payload);
      return on_protocol_error("unexpected frame type");
    }
  }
  if (bad && !idle()) return on_protocol_error("invalid frame header");
  // Surplus bytes after the last response would be parsed as the beginning of a later frame.
  if (!in.empty() && idle()) {
    spdlog::debug("leaf {}: connection closed after surplus bytes behind its last response", server_);
    return pool_.drop(*this);
  }
  // If the length in a frame is too large, the missing bytes never arrive, and those of later frames would be
  // taken for them.
  if (in.empty()) pool_.loop_.cancel(frame_timer_);
  if (!in.empty() && frame_timer_ == event_loop::TimerId{})
    frame_timer_ = pool_.loop_.run_at(pool_.loop_.now() + kFrameTimeout, [this] {
      frame_timer_ = {};
      on_protocol_error("incomplete frame");
    });
}

void LeafPool::Connection::on_frame_rejected(const std::string& message) {
  spdlog::warn("leaf {}: rejected a frame: {}", server_, message.substr(0, 200));
  fail_all(Outcome::connect_failed);
}

// A part that was not completely written was never executed; any other may have been.
void LeafPool::Connection::fail_all(Outcome unwritten) {
  close();
  for (const auto& [attempt, state] : std::exchange(attempts_, {})) {
    bool written = state.frame_end_offset > 0 && state.frame_end_offset <= stream_->flushed();
    pool_.connection_of_attempt_.erase(attempt);
    pool_.router_.attempt_ended(attempt,
                                {.outcome = written ? Outcome::reset : unwritten, .written = written});
  }
  for (event_loop::Millis sent : std::exchange(probes_, {}))
    pool_.router_.probe_ended(server_, Outcome::reset, pool_.loop_.now() - sent, {});
  pool_.drop(*this);
}

bool LeafPool::Connection::requests_span(const std::string& part) const {
  auto it = attempt_by_part_.find(part);
  if (it == attempt_by_part_.end() || it->second == 0) return true;  // abandoned: its response is ignored
  return attempts_.at(it->second).span;
}

// A batch is written only when everything before it is in the kernel: batches queued for a leaf that reads
// slowly can still be recalled.
void LeafPool::Connection::write_queued() {
  while (stream_->usable() && !stream_->connecting() && !queue_.empty() && stream_->unsent() == 0) {
    Batch batch = std::move(queue_.front());
    queue_.pop_front();
    event_loop::Millis now = pool_.loop_.now();
    // A part may have been selected in time and yet be written too late: after the window for its repeat, or
    // when its server may already be draining.
    for (const coordination::AttemptRequest& request : batch)
      if (now > request.send_by) report_unsent(request);
    std::erase_if(batch, [&](const auto& request) { return now > request.send_by; });
    if (batch.empty()) continue;
    std::string lines;
    for (const coordination::AttemptRequest& request : batch) {
      double wait = std::max(1.0, std::floor(request.until - now));
      lines += request.span.empty()
                   ? encode_part(request.part, request.shard, static_cast<long long>(wait), *request.text)
                   : encode_span_part(request.part, request, static_cast<long long>(wait));
    }
    std::string frame = make_frame('D', lines);
    for (const coordination::AttemptRequest& request : batch) {
      attempts_[request.attempt].frame_end_offset = stream_->queued() + frame.size();
      attempts_[request.attempt].written_at = now;
    }
    stream_->write(frame);
  }
}

void LeafPool::Connection::report_unsent(const coordination::AttemptRequest& request) {
  attempts_.erase(request.attempt);
  attempt_by_part_.erase(request.part);
  pool_.connection_of_attempt_.erase(request.attempt);
  pool_.router_.attempt_ended(request.attempt, {.outcome = Outcome::unsent, .written = false});
}

bool LeafPool::Connection::complete_attempt(PartAnswer& answer) {
  auto it = attempt_by_part_.find(answer.part);
  if (it == attempt_by_part_.end()) return false;
  AttemptNumber attempt = it->second;
  attempt_by_part_.erase(it);
  if (attempt == 0) return true;
  attempts_.erase(attempt);
  pool_.connection_of_attempt_.erase(attempt);
  coordination::AttemptResult r;
  r.outcome = answer.status == 200            ? Outcome::ok
              : answer.status == 503          ? Outcome::full
              : answer.status == kMisdirected ? Outcome::not_mine
                                              : Outcome::error;
  if (r.outcome == Outcome::not_mine)
    r.denial = std::make_shared<const ranges::Denial>(read_denial(answer.value));
  if (r.outcome == Outcome::ok) r.values.push_back(std::move(answer.value));
  r.load = answer.load;
  pool_.router_.attempt_ended(attempt, std::move(r));
  return true;
}

// One response is damaged, so the connection can't be used any more, but the leaf is up: treating it as a
// failed server would exclude it from selection, which costs far more than the parts on this connection. The
// part whose response it was ends with an error, or the oldest one if that is unknown; the others end as
// cancelled, or as unsent if they were not written.
void LeafPool::Connection::on_protocol_error(const std::string& what, const std::string& part) {
  spdlog::warn("leaf {}: protocol error, connection closed: {}", server_, what);
  auto named = attempt_by_part_.find(part);
  AttemptNumber failed_attempt = named != attempt_by_part_.end() ? named->second : 0;
  for (const auto& [attempt, state] : std::exchange(attempts_, {})) {
    bool written = state.frame_end_offset > 0 && state.frame_end_offset <= stream_->flushed();
    if (failed_attempt == 0 && written) failed_attempt = attempt;
    Outcome outcome = !written                    ? Outcome::unsent
                      : attempt == failed_attempt ? Outcome::error
                                                  : Outcome::cancelled;
    pool_.connection_of_attempt_.erase(attempt);
    pool_.router_.attempt_ended(attempt, {.outcome = outcome, .written = written});
  }
  for (event_loop::Millis sent : std::exchange(probes_, {}))
    pool_.router_.probe_ended(server_, Outcome::error, pool_.loop_.now() - sent, {});
  pool_.drop(*this);
}

}  // namespace winchhall::http
