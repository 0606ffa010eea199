#include "aggregator/flight/flight_pool.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "aggregator/flight/arrow.hpp"
#include "aggregator/flight/grpc.hpp"
#include "aggregator/http/frames.hpp"
#include "command.pb.h"
#include "flight.pb.h"

namespace winchhall::flight {

using core::AttemptNumber;
using core::Outcome;

namespace {
constexpr double kIdleShare = 0.8;
constexpr net::Millis kSweep = 1000;
constexpr std::size_t kPartMost = 512 * 1024;  // bytes of one part's rows
}  // namespace

class FlightPool::Connection : public Http2::Handler {
 public:
  Connection(FlightPool& pool, const core::Order& order)
      : server_(order.server),
        endpoint_(order.endpoint),
        pool_(pool),
        http2_(pool.loop_, *this, false),
        used_at_(pool.loop_.now()) {}

  bool begin() {
    auto to = net::parse_address(endpoint_);
    if (!to || !http2_.connect(*to)) return false;
    // Guards against a machine that is cut off: its side never comes up, without a sign.
    connect_timer_ = pool_.loop_.at(pool_.loop_.now() + pool_.limits_.connect_timeout, [this] {
      connect_timer_ = {};
      down();
    });
    return true;
  }

  bool takes(const core::Order& o) const {
    return !retired_ && server_ == o.server && endpoint_ == o.endpoint && http2_.open() &&
           calls_.size() < pool_.limits_.streams;
  }

  void add(const core::Order& o) {
    PartCommand command;
    command.set_part(o.part);
    command.set_shard(o.shard);
    command.set_text(*o.text);
    if (!o.span.empty()) {
      auto* interval = command.mutable_interval();
      interval->set_from(o.span.from);
      interval->set_to(o.span.to);
      interval->set_range(o.range);
      interval->set_incarnation(o.revision.incarnation);
      interval->set_revision(o.revision.number);
    }
    arrow::flight::protocol::Ticket ticket;
    ticket.set_ticket(command.SerializeAsString());
    Headers headers{{":method", "POST"},
                    {":scheme", "http"},
                    {":path", "/arrow.flight.protocol.FlightService/DoGet"},
                    {":authority", endpoint_},
                    {"te", "trailers"},
                    {"content-type", "application/grpc"},
                    {"grpc-timeout", write_timeout(o.until - pool_.loop_.now())}};
    std::int32_t id = http2_.request(headers, frame_message(ticket.SerializeAsString()));
    if (id < 0)
      return pool_.exchange_.attempt_ended(o.attempt, {.outcome = Outcome::unsent, .written = false});
    Call& call = calls_[id];
    call.attempt = o.attempt;
    call.sent = pool_.loop_.now();
    call.shard = o.shard;
    call.span = o.span;
    call.send_by = o.send_by;
    pool_.where_[o.attempt] = this;
    used_at_ = pool_.loop_.now();
  }

  void pump() { http2_.pump(); }

  void abandon(AttemptNumber attempt) {
    auto it =
        std::find_if(calls_.begin(), calls_.end(), [&](auto& c) { return c.second.attempt == attempt; });
    if (it == calls_.end()) return;
    silence_.given_up(it->second.sent, pool_.loop_.now());
    retired_ = retired_ || silence_.silent();
    http2_.reset(it->first, NGHTTP2_CANCEL);
    calls_.erase(it);
    used_at_ = pool_.loop_.now();
    http2_.pump();
  }

  void recall(AttemptNumber attempt) {
    std::erase_if(calls_, [&](const auto& c) {
      if (c.second.attempt == attempt) http2_.reset(c.first, NGHTTP2_CANCEL);
      return c.second.attempt == attempt;
    });
  }
  bool up_once() const { return up_; }

  bool idle() const { return calls_.empty(); }
  bool idle_since(net::Millis when) const { return idle() && used_at_ <= when; }
  bool retired() const { return retired_; }
  void retire() { retired_ = true; }
  void close() {
    pool_.loop_.cancel(connect_timer_);
    http2_.close();
  }

  void up() override {
    up_ = true;
    pool_.loop_.cancel(connect_timer_);
    // Guards against a part that was chosen in time and is written too late.
    std::vector<AttemptNumber> late;
    for (const auto& [id, call] : calls_)
      if (pool_.loop_.now() > call.send_by) late.push_back(call.attempt);
    for (AttemptNumber attempt : late) {
      pool_.where_.erase(attempt);
      recall(attempt);
      pool_.exchange_.attempt_ended(attempt, {.outcome = Outcome::unsent, .written = false});
    }
  }

  void head(std::int32_t id, const Headers& headers) override {
    silence_.heard(pool_.loop_.now());
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    for (const auto& header : headers) it->second.headers.push_back(header);
  }

  void data(std::int32_t id, std::string_view bytes) override {
    silence_.heard(pool_.loop_.now());
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    Call& call = it->second;
    call.in.append(bytes);
    call.size += bytes.size();
    bool bad = call.size > kPartMost;
    while (!bad) {
      auto message = take_message(call.in, kPartMost, bad);
      if (!message) break;
      arrow::flight::protocol::FlightData part;
      bad = !part.ParseFromString(*message);
      ArrowKind kind =
          bad ? ArrowKind::bad : read_arrow(part.data_header(), part.data_body(), call.rows, call.layout());
      // The schema comes first, and once.
      bad = bad || kind == ArrowKind::bad || (kind == ArrowKind::schema) == call.schema;
      call.schema = true;
    }
    if (!bad) return;
    spdlog::warn("node {} sent what is no answer of ours", server_);
    http2_.reset(id, NGHTTP2_CANCEL);
    finish(it, {.outcome = Outcome::error});
  }

  void peer_done(std::int32_t id) override {
    auto it = calls_.find(id);
    if (it != calls_.end()) finish(it, judge(it->second));
  }

  void closed(std::int32_t id, std::uint32_t error) override {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    // Guards against a stream that breaks halfway through a part: the rows that came are dropped with the
    // attempt, so a further attempt brings none twice. A refused stream was not looked at.
    finish(it, {.outcome = error == NGHTTP2_REFUSED_STREAM ? Outcome::full : Outcome::reset});
  }

  void going_away() override { retired_ = true; }

  void down() override {
    // As with frames: bytes that cannot be read are one error of a sound node, and no fallen one.
    bool blamed = !http2_.spoilt();
    for (auto& [id, call] : calls_) {
      bool written = http2_.written(id);
      Outcome outcome = written ? Outcome::reset : Outcome::connect_failed;
      if (http2_.spoilt())
        outcome = !written ? Outcome::unsent : blamed ? Outcome::cancelled : Outcome::error;
      blamed = blamed || written;
      pool_.where_.erase(call.attempt);
      pool_.exchange_.attempt_ended(call.attempt, {.outcome = outcome, .written = written});
    }
    calls_.clear();
    pool_.drop(*this);
  }

  const std::string server_, endpoint_;

 private:
  struct Call {
    AttemptNumber attempt = 0;
    net::Millis sent = 0, send_by = 0;
    int shard = 0;
    ranges::Span span;
    Layout layout() const { return span.empty() ? Layout::shards : Layout::spans; }
    Headers headers;
    std::string in;
    std::size_t size = 0;
    bool schema = false;
    std::vector<ArrowRow> rows;
  };

  core::Result judge(Call& call) const {
    core::Result r;
    if (const std::string* load = find_header(call.headers, "node-load")) r.load = platform::read_load(*load);
    const std::string* status = find_header(call.headers, "grpc-status");
    r.outcome = Outcome::error;
    if (!status) return r;
    if (*status == std::to_string(static_cast<int>(Status::ok))) {
      bool ours = call.schema && call.in.empty();
      for (const ArrowRow& row : call.rows)
        ours = ours && (call.span.empty() ? row.shard == call.shard : row.span == call.span);
      if (!ours) return r;
      for (ArrowRow& row : call.rows) r.values.push_back(std::move(row.data));
      r.outcome = Outcome::ok;
    } else if (call.size == 0 && (*status == std::to_string(static_cast<int>(Status::unavailable)) ||
                                  *status == std::to_string(static_cast<int>(Status::resource_exhausted)))) {
      r.outcome = Outcome::full;
    } else if (!call.span.empty() && call.size == 0 &&
               *status == std::to_string(static_cast<int>(Status::failed_precondition))) {
      r.outcome = Outcome::not_mine;
      r.denial = std::make_shared<const ranges::NotMine>(read_denial(call.headers));
    } else if (*status == std::to_string(static_cast<int>(Status::deadline_exceeded))) {
      r.outcome = Outcome::timeout;
    }
    return r;
  }

  void finish(std::map<std::int32_t, Call>::iterator it, core::Result result) {
    AttemptNumber attempt = it->second.attempt;
    calls_.erase(it);
    pool_.where_.erase(attempt);
    used_at_ = pool_.loop_.now();
    pool_.exchange_.attempt_ended(attempt, std::move(result));
  }

  FlightPool& pool_;
  Http2 http2_;
  net::TimerId connect_timer_{};
  std::map<std::int32_t, Call> calls_;
  net::Millis used_at_;
  core::Silence silence_;
  bool retired_ = false, up_ = false;
};

FlightPool::FlightPool(net::Loop& loop, core::Exchange& exchange, NodeLimits limits)
    : loop_(loop), exchange_(exchange), limits_(limits) {
  sweep();
}

FlightPool::~FlightPool() {
  loop_.cancel(sweep_);
  for (auto& c : connections_) c->close();
}

void FlightPool::launch(const core::Order& order) {
  Connection* room = nullptr;
  for (auto& c : connections_)
    if (!room && c->takes(order)) room = c.get();
  if (!room) room = open(order);
  if (room) return room->add(order);
  exchange_.attempt_ended(order.attempt, {.outcome = Outcome::unsent, .written = false});
}

FlightPool::Connection* FlightPool::open(const core::Order& order) {
  if (connections_.size() >= limits_.connections) {
    auto idle = std::find_if(connections_.begin(), connections_.end(), [](auto& c) { return c->idle(); });
    if (idle == connections_.end()) return nullptr;
    drop(**idle);
  }
  auto c = std::make_shared<Connection>(*this, order);
  if (!c->begin()) return nullptr;
  connections_.push_back(c);
  return c.get();
}

void FlightPool::flush() {
  auto copy = connections_;
  for (auto& c : copy) c->pump();
}

void FlightPool::drop(Connection& connection) {
  connection.close();
  auto it =
      std::find_if(connections_.begin(), connections_.end(), [&](auto& c) { return c.get() == &connection; });
  if (it == connections_.end()) return;
  loop_.destroy_later(std::move(*it));
  connections_.erase(it);
}

void FlightPool::abandon(AttemptNumber attempt) {
  auto it = where_.find(attempt);
  if (it == where_.end()) return;
  Connection* c = it->second;
  where_.erase(it);
  c->abandon(attempt);
}

// What waits for its connection is still whole in the codec, which drops it.
bool FlightPool::recall(AttemptNumber attempt) {
  auto it = where_.find(attempt);
  if (it == where_.end() || it->second->up_once()) return false;
  Connection* c = it->second;
  where_.erase(it);
  c->recall(attempt);
  return true;
}

// Flight has no call that asks only for load; answers carry it.
void FlightPool::probe(const std::string& server, const std::string&) {
  exchange_.probe_ended(server, Outcome::unsent, 0, {});
}

void FlightPool::close_idle(const std::string& server) {
  auto copy = connections_;
  for (auto& c : copy)
    if (c->server_ == server && c->idle()) drop(*c);
}

void FlightPool::retire(const std::string& server) {
  for (auto& c : connections_)
    if (c->server_ == server) c->retire();
  close_idle(server);
}

void FlightPool::sweep() {
  net::Millis now = loop_.now();
  auto copy = connections_;
  for (auto& c : copy)
    if (c->idle_since(now - kIdleShare * limits_.idle) || (c->retired() && c->idle())) drop(*c);
  sweep_ = loop_.at(now + kSweep, [this] { sweep(); });
}

}  // namespace winchhall::flight
