#include "platform/leaf_pool.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <deque>

#include "platform/frames.hpp"
#include "platform/range_words.hpp"

namespace winchhall::platform {

using core::AttemptNumber;
using core::Outcome;

namespace {
constexpr double kIdleShare = 0.8;            // of the leaf's idle time: we close first
constexpr std::size_t kOutMost = 256 * 1024;  // bytes serialized ahead of a leaf that reads slowly
constexpr net::Millis kSweep = 1000;          // ms between looks for idle connections
constexpr net::Millis kWholeFrame = 250;      // ms from a frame's first byte until it must be there whole
constexpr std::size_t kGivenUpMost = 256;  // names remembered of given-up parts before a connection retires
}  // namespace

class LeafPool::Connection : public net::Stream::Owner {
 public:
  Connection(LeafPool& pool, std::string server, std::string endpoint)
      : server_(std::move(server)), endpoint_(std::move(endpoint)), pool_(pool), used_at_(pool.loop_.now()) {}

  bool begin() {
    auto to = net::parse_address(endpoint_);
    int error = 0;
    if (to) stream_ = net::Stream::connect(pool_.loop_, *to, *this, error);
    if (!stream_) {
      spdlog::warn("no socket for {} at {}: errno {}", server_, endpoint_, error);
      return false;
    }
    // Guards against a machine that is cut off: its side of the connection never comes up, without a sign.
    connect_timer_ = pool_.loop_.at(pool_.loop_.now() + pool_.limits_.connect_timeout, [this] {
      connect_timer_ = {};
      spdlog::debug("no connection to {} in time", server_);
      ended();
    });
    return true;
  }

  void add(Call call) {
    for (const core::Order& o : call) {
      live_[o.attempt] = {o.part, 0, 0, !o.span.empty()};
      by_part_[o.part] = o.attempt;
      pool_.where_[o.attempt] = this;
    }
    waiting_.push_back(std::move(call));
    used_at_ = pool_.loop_.now();
    pump();
  }

  void abandon(AttemptNumber attempt) {
    auto it = live_.find(attempt);
    if (it == live_.end()) return;
    if (it->second.frame_end > 0) {
      by_part_[it->second.part] = 0;  // its answer may still come, and means nothing then
      silence_.given_up(it->second.written_at, pool_.loop_.now());
      if (silence_.silent() && !std::exchange(retired_, true))
        spdlog::debug("a connection to {} is silent, not used again", server_);
      // Guards against names kept for ever: not every leaf answers what was given up.
      if (by_part_.size() - live_.size() > kGivenUpMost) retired_ = true;
      stream_->write(make_frame('K', it->second.part));
    } else {
      by_part_.erase(it->second.part);
      for (Call& call : waiting_) std::erase_if(call, [&](const auto& o) { return o.attempt == attempt; });
    }
    live_.erase(it);
    used_at_ = pool_.loop_.now();
  }

  void probe() {
    probes_.push_back(pool_.loop_.now());
    stream_->write(make_frame('U', ""));
  }

  bool takes(const core::Order& order, std::size_t parts) const {
    return !retired_ && server_ == order.server && endpoint_ == order.endpoint && stream_->open() &&
           live_.size() + parts <= pool_.limits_.streams && !by_part_.count(order.part);
  }
  bool idle() const { return live_.empty() && probes_.empty(); }
  bool idle_since(net::Millis when) const { return idle() && used_at_ <= when; }
  void retire() { retired_ = true; }
  bool retired() const { return retired_; }
  std::size_t live() const { return live_.size(); }
  void close() {
    pool_.loop_.cancel(connect_timer_);
    pool_.loop_.cancel(frame_timer_);
    if (stream_) stream_->close();
  }

  void connected() override {
    pool_.loop_.cancel(connect_timer_);
    pump();
  }
  void drained() override { pump(); }

  void received(std::string& in) override {
    silence_.heard(pool_.loop_.now());
    bool bad = false;
    while (auto frame = take_frame(in, bad)) {
      pool_.loop_.cancel(frame_timer_);
      used_at_ = pool_.loop_.now();
      if (frame->letter == 'O') {
        auto answer = read_answer(frame->rest);
        if (!answer || (answer->end == kNotMine && !(pool_.limits_.spans && asked_for_span(answer->part))))
          return refuse("an answer that cannot be read", frame->rest.substr(0, frame->rest.find(' ')));
        // Guards against waiting for an answer that has come under another name: the leaf sends no second.
        if (!take(*answer) && !idle()) return refuse("an answer to nothing that it was asked");
      } else if ((frame->letter == 'U' || frame->letter == 'I') && !probes_.empty()) {
        bool ok = frame->rest.substr(0, 3) != "500";
        pool_.exchange_.probe_ended(server_, ok ? Outcome::ok : Outcome::error, used_at_ - probes_.front(),
                                    read_load(frame->rest));
        probes_.pop_front();
      } else {
        if (frame->letter == 'Z') return complain(frame->rest);
        return refuse("a frame of no known kind");
      }
    }
    if (bad && !idle()) return refuse("what can be no frame");
    // Guards against bytes behind a good answer that would be read as the front of a later one's frame.
    if (!in.empty() && idle()) {
      spdlog::debug("leaf {} sent more than belongs to its answers", server_);
      return pool_.drop(*this);
    }
    // Guards against a length that does not fit: the rest never comes, and what follows would be taken for
    // it.
    if (in.empty()) pool_.loop_.cancel(frame_timer_);
    if (!in.empty() && frame_timer_ == net::TimerId{})
      frame_timer_ = pool_.loop_.at(pool_.loop_.now() + kWholeFrame, [this] {
        frame_timer_ = {};
        refuse("a frame that does not end");
      });
  }

  void complain(const std::string& words) {
    spdlog::warn("leaf {} could not use a frame: {}", server_, words.substr(0, 200));
    ended();
  }

  void ended() override {
    close();
    // What was not written whole never ran; whatever was out after that may have.
    for (const auto& [attempt, state] : std::exchange(live_, {})) {
      bool written = state.frame_end > 0 && state.frame_end <= stream_->flushed();
      pool_.where_.erase(attempt);
      pool_.exchange_.attempt_ended(attempt, {.outcome = written ? Outcome::reset : Outcome::connect_failed});
    }
    for (net::Millis sent : std::exchange(probes_, {}))
      pool_.exchange_.probe_ended(server_, Outcome::reset, pool_.loop_.now() - sent, {});
    pool_.drop(*this);
  }

  const std::string server_, endpoint_;

 private:
  struct Live {
    std::string part;
    std::uint64_t frame_end;  // where its frame ends in all that was ever queued here; 0: not serialized
    net::Millis written_at;
    bool span;  // a part of a span, which its leaf may say not to have
  };

  bool asked_for_span(const std::string& part) const {
    auto it = by_part_.find(part);
    if (it == by_part_.end() || it->second == 0) return true;  // given up: nothing is taken from it
    return live_.at(it->second).span;
  }

  void pump() {
    while (stream_->open() && !stream_->connecting() && !waiting_.empty() && stream_->unsent() < kOutMost) {
      Call call = std::move(waiting_.front());
      waiting_.pop_front();
      if (call.empty()) continue;
      std::string lines;
      for (const core::Order& o : call) {
        double wait = std::max(1.0, std::floor(o.until - pool_.loop_.now()));
        lines += o.span.empty() ? part_lines(o.part, o.shard, static_cast<long long>(wait), *o.text)
                                : span_lines(o.part, o, static_cast<long long>(wait));
      }
      std::string frame = make_frame('D', lines);
      for (const core::Order& o : call) {
        live_[o.attempt].frame_end = stream_->queued() + frame.size();
        live_[o.attempt].written_at = pool_.loop_.now();
      }
      stream_->write(frame);
    }
  }

  // False if nothing of that name is out here.
  bool take(PartAnswer& answer) {
    auto it = by_part_.find(answer.part);
    if (it == by_part_.end()) return false;
    AttemptNumber attempt = it->second;
    by_part_.erase(it);
    if (attempt == 0) return true;
    live_.erase(attempt);
    pool_.where_.erase(attempt);
    core::Result r;
    r.outcome = answer.end == 200        ? Outcome::ok
                : answer.end == 503      ? Outcome::full
                : answer.end == kNotMine ? Outcome::not_mine
                                         : Outcome::error;
    if (r.outcome == Outcome::not_mine)
      r.denial = std::make_shared<const ranges::NotMine>(read_denial(answer.value));
    if (r.outcome == Outcome::ok) r.values.push_back(std::move(answer.value));
    r.load = answer.load;
    pool_.exchange_.attempt_ended(attempt, std::move(r));
    return true;
  }

  // Nothing more can be read here, though the leaf is sound: one answer is spoilt. Guards against taking it
  // for a fallen server, which would set the leaf aside and cost far more than the parts on this connection.
  // The part whose answer it was ends with an error, or the oldest where that can't be told; the others are
  // only taken from here.
  void refuse(const std::string& what, const std::string& part = "") {
    spdlog::warn("leaf {} sent {}", server_, what);
    close();
    auto named = by_part_.find(part);
    AttemptNumber spoilt = named != by_part_.end() ? named->second : 0;
    for (const auto& [attempt, state] : std::exchange(live_, {})) {
      bool written = state.frame_end > 0 && state.frame_end <= stream_->flushed();
      if (spoilt == 0 && written) spoilt = attempt;
      Outcome outcome = !written ? Outcome::unsent : attempt == spoilt ? Outcome::error : Outcome::cancelled;
      pool_.where_.erase(attempt);
      pool_.exchange_.attempt_ended(attempt, {.outcome = outcome});
    }
    for (net::Millis sent : std::exchange(probes_, {}))
      pool_.exchange_.probe_ended(server_, Outcome::error, pool_.loop_.now() - sent, {});
    pool_.drop(*this);
  }

  LeafPool& pool_;
  std::shared_ptr<net::Stream> stream_;
  net::TimerId connect_timer_{}, frame_timer_{};
  std::deque<Call> waiting_;
  std::map<AttemptNumber, Live> live_;
  std::unordered_map<std::string, AttemptNumber> by_part_;  // 0: given up, answer not seen
  std::deque<net::Millis> probes_;
  net::Millis used_at_;
  core::Silence silence_;
  bool retired_ = false;
};

LeafPool::LeafPool(net::Loop& loop, core::Exchange& exchange, LeafLimits limits)
    : loop_(loop), exchange_(exchange), limits_(limits) {
  sweep();
}

LeafPool::~LeafPool() {
  loop_.cancel(sweep_);
  for (auto& c : connections_) c->close();
}

void LeafPool::launch(const core::Order& order) { gathered_[order.server].push_back(order); }

void LeafPool::flush() {
  for (auto& [server, orders] : std::exchange(gathered_, {})) {
    std::size_t most = std::min(limits_.batch, limits_.streams);
    for (std::size_t at = 0; at < orders.size(); at += most) {
      auto from = orders.begin() + static_cast<std::ptrdiff_t>(at);
      place(Call(from, from + static_cast<std::ptrdiff_t>(std::min(most, orders.size() - at))));
    }
  }
}

void LeafPool::place(Call call) {
  Connection* c = room(call.front(), call.size());
  if (!c) c = open(call.front().server, call.front().endpoint);
  if (c) return c->add(std::move(call));
  // Out of descriptors, or of the connections we allow ourselves: nothing was sent.
  for (const core::Order& o : call) exchange_.attempt_ended(o.attempt, {.outcome = Outcome::unsent});
}

LeafPool::Connection* LeafPool::room(const core::Order& first, std::size_t parts) {
  Connection* best = nullptr;  // the fullest that has room: spare connections fall idle and close
  for (auto& c : connections_)
    if (c->takes(first, parts) && (!best || c->live() > best->live())) best = c.get();
  return best;
}

LeafPool::Connection* LeafPool::open(const std::string& server, const std::string& endpoint) {
  if (connections_.size() >= limits_.connections) {
    auto idle = std::find_if(connections_.begin(), connections_.end(), [](auto& c) { return c->idle(); });
    if (idle == connections_.end()) return nullptr;
    drop(**idle);
  }
  auto c = std::make_shared<Connection>(*this, server, endpoint);
  if (!c->begin()) return nullptr;
  connections_.push_back(c);
  return c.get();
}

void LeafPool::drop(Connection& connection) {
  connection.close();
  auto it =
      std::find_if(connections_.begin(), connections_.end(), [&](auto& c) { return c.get() == &connection; });
  if (it == connections_.end()) return;
  loop_.bury(std::move(*it));
  connections_.erase(it);
}

void LeafPool::abandon(AttemptNumber attempt) {
  for (auto& [server, orders] : gathered_)
    std::erase_if(orders, [&](auto& o) { return o.attempt == attempt; });
  auto it = where_.find(attempt);
  if (it == where_.end()) return;
  it->second->abandon(attempt);
  where_.erase(it);
}

void LeafPool::probe(const std::string& server, const std::string& endpoint) {
  core::Order any{.server = server, .endpoint = endpoint};
  Connection* c = room(any, 0);
  if (!c) c = open(server, endpoint);
  if (c) return c->probe();
  exchange_.probe_ended(server, Outcome::unsent, 0, {});
}

void LeafPool::close_idle(const std::string& server) {
  auto copy = connections_;
  for (auto& c : copy)
    if (c->server_ == server && c->idle()) drop(*c);
}

void LeafPool::retire(const std::string& server) {
  for (auto& c : connections_)
    if (c->server_ == server) c->retire();
  close_idle(server);
}

// A leaf closes what stood idle for its time; a part written from then on would end as a reset.
void LeafPool::sweep() {
  net::Millis now = loop_.now();
  auto copy = connections_;
  for (auto& c : copy)
    if (c->idle_since(now - kIdleShare * limits_.idle) || (c->retired() && c->idle())) drop(*c);
  sweep_ = loop_.at(now + kSweep, [this] { sweep(); });
}

}  // namespace winchhall::platform
