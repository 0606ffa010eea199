#include "aggregator/http/http_server.hpp"

#include <spdlog/spdlog.h>

namespace winchhall::http {
namespace {
constexpr event_loop::Millis kFirstRequest = 2000;  // ms from connecting to the end of the first request
constexpr event_loop::Millis kHalfRequest = 2000;   // ms for the rest of a later one, from its first byte
constexpr event_loop::Millis kSlowReader = 15000;   // ms for a client to take its answer
constexpr event_loop::Millis kStandIdle = 120000;   // ms between requests where there is room ...
constexpr event_loop::Millis kMayClose = 2000;      // ... and where it is getting short
constexpr event_loop::Millis kReservedDescriptors =
    250;  // ms idle: in the way of a newcomer where room is short
constexpr event_loop::Millis kLinger =
    1000;  // ms from our end of a connection to the client's, while more comes
// Bytes behind a request that is open, from which on all of it is dropped: one whole request fits. Guards
// against a client that sends much at once and goes: its end stands behind what nobody reads.
constexpr std::size_t kBehindMost = kHeadMost + kBodyMost;
constexpr event_loop::Millis kNewConnectionTime =
    100;  // ms in which a request may still be on its way behind a connection
constexpr event_loop::Millis kSweep = 200;
constexpr event_loop::Millis kCrowded = 5;  // ms without accepting while every connection has a query open
constexpr event_loop::Millis kListedEvery = 10000;  // ms, and of a flood of bad requests ...
constexpr int kListedMost = 40;                     // ... so many are listed in that time, the others counted
}  // namespace

class HttpServer::Connection : public event_loop::Stream::Owner,
                               public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(HttpServer& front)
      : front_(front), since_(front.loop_.now()), due_(since_ + kFirstRequest) {}
  void begin(event_loop::UniqueFd fd) {
    stream_ = event_loop::Stream::adopt(front_.loop_, std::move(fd), *this);
  }
  // Guards against real clients crowded out by silent ones: a request that came with its connection counts
  // before the next connection is taken.
  void look() { stream_->read_now(); }

  void received(std::string& in) override {
    // One request at a time: what follows waits in the buffer until this one is answered.
    if (query_ != 0) {
      overrun_ = overrun_ || in.size() > kBehindMost;
      if (overrun_) in.clear();
      return;
    }
    bool is_new = !parser_.begun();
    parser_.feed(in);
    if (is_new && parser_.begun()) {
      since_ = front_.loop_.now();
      // From the first byte and from no later one, or a trickle would last for ever.
      if (asked_) due_ = since_ + kHalfRequest;
    }
    if (parser_.failed()) {
      in.clear();
      return reject_client(parser_.error(), "what cannot be read");
    }
    if (!parser_.done()) {
      const std::string* expect = parser_.message().header("expect");
      if (parser_.head_done() && expect && !continued_ && lower(*expect) == "100-continue") {
        continued_ = true;
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    }
    HttpMessage m = std::move(parser_.message());
    parser_.reset();
    asked_ = true;
    continued_ = false;
    serve(m);
  }

  void drained() override {
    if (query_ == 0 && !parser_.begun()) since_ = front_.loop_.now();
  }
  void ended() override {
    if (query_ != 0) front_.router_.withdraw(query_);
    release();
    front_.drop(*this);
  }

  // Between requests. One that has not asked yet is about to, or goes when its time for that is over.
  bool used_and_idle() const { return asked_ && query_ == 0 && !parser_.begun() && stream_->unsent() == 0; }
  // Which goes first where another one needs the place; 0: none of it. `full`: no descriptor is left.
  // `crowded`: because of connections that are in use, not of those that linger after their end.
  int is_worth_shedding(event_loop::Millis now, bool full, bool crowded) const {
    if (query_ != 0 || stream_->unsent() > 0) return 0;
    if (!asked_) return now - since_ > kNewConnectionTime ? 3 : full && crowded ? 1 : 0;
    return parser_.begun() || (!full && now - since_ < kReservedDescriptors) ? 0 : 2;
  }
  // Ends the connection if it is overdue. A process that is late has not read all that has arrived: that
  // counts first.
  void check(event_loop::Millis now) {
    if (!is_overdue(now)) return;
    look();
    if (!is_overdue(now)) return;
    if (parser_.begun() && stream_->unsent() == 0) return reject_client(408, "a request that does not end");
    front_.end(*this);
  }
  event_loop::Millis since() const { return since_; }
  void close() {
    if (query_ != 0) front_.router_.withdraw(query_);
    release();
    stream_->close();
  }
  // Nothing is owed any more, or what is owed is written.
  std::shared_ptr<event_loop::Stream> linger() {
    // Guards against clients that use a connection which we have ended before they look at it: a request that
    // is read and dropped is theirs no more, one that is not read they send again.
    bool rested = query_ == 0 && !parser_.begun() && stream_->unsent() == 0 &&
                  (!asked_ || front_.loop_.now() - since_ >= kReservedDescriptors);
    stream_->linger(kSlowReader, kLinger, rested);
    return stream_;
  }

 private:
  // Whether the client takes too long to read its answer, to send its next request, or to finish one.
  bool is_overdue(event_loop::Millis now) const {
    if (query_ != 0) return false;
    if (stream_->unsent() > 0) return now - since_ > kSlowReader;
    if (asked_ && !parser_.begun()) return now - since_ > front_.stand_idle();
    return now > due_;
  }

  void serve(const HttpMessage& m) {
    bool keep = m.keep_alive() && !front_.close_after_response_;
    if (m.target == "/ready" || m.target == "/health") {
      if (m.method != "GET" && m.method != "HEAD")
        return reply(error_answer(405, "Allow: GET\r\n", "method " + m.method + ", wanted is GET", keep),
                     keep);
      bool ok = m.target == "/health" || front_.ready_();
      return reply(http_answer(ok ? 200 : 503, "", "", keep), keep);
    }
    // The time counts from the request's last byte at the latest; its first byte is when we knew of it.
    Decoded d = decode_query(m, front_.names_, since_);
    if (d.status == 200 && !front_.live_ids_.insert(d.query.id).second) {
      // Guards against two queries under one name: their parts could not be told apart at a leaf.
      d.status = 409;
      d.wrong = "a name that is in use";
    }
    if (d.status != 200) {
      front_.list_bad(d.status, d.wrong);
      return reply(error_answer(d.status, d.status == 405 ? "Allow: POST\r\n" : "", d.wrong, keep), keep);
    }
    id_ = d.query.id;
    query_ = front_.router_.submit(std::move(d.query), [this, keep](coordination::QueryResult v) {
      release();
      bool still = keep && !overrun_ && !front_.close_after_response_;
      reply(query_response(v, still), still);
    });
  }

  void reject_client(int status, const char* why) {
    front_.list_bad(status, why);
    reply(error_answer(status, "", why, false), false);
  }

  void release() {
    query_ = 0;
    front_.live_ids_.erase(id_);
    id_.clear();
  }

  void reply(const std::string& bytes, bool keep) {
    since_ = front_.loop_.now();
    stream_->write(bytes);
    keep ? stream_->redeliver() : front_.end(*this);
  }

  HttpServer& front_;
  std::shared_ptr<event_loop::Stream> stream_;
  HttpParser parser_{HttpParser::Mode::request};
  coordination::QueryNumber query_ = 0;
  std::string id_;
  event_loop::Millis since_;  // of the state it is in
  event_loop::Millis due_;    // when the request that is awaited or half there must be whole
  bool asked_ = false, continued_ = false, overrun_ = false;
};

HttpServer::HttpServer(event_loop::Loop& loop, coordination::RequestRouter& router,
                       const sockaddr_in& address, DecodeContext names, std::size_t max_connections,
                       std::function<bool()> ready, Shared)
    : loop_(loop),
      router_(router),
      names_(names),
      max_connections_(max_connections),
      ready_(std::move(ready)),
      address_(address),
      shared_(true) {
  sweep();
}

HttpServer::HttpServer(event_loop::Loop& loop, coordination::RequestRouter& router,
                       const sockaddr_in& address, DecodeContext names, std::size_t max_connections,
                       std::function<bool()> ready)
    : HttpServer(loop, router, address, names, connections, std::move(ready), Shared{}) {
  shared_ = false;
  listen();
}

void HttpServer::listen() {
  if (listener_) return;
  listener_ = std::make_unique<event_loop::Listener>(
      loop_, address_, [this](event_loop::UniqueFd fd) { accept(std::move(fd)); }, shared_);
}

HttpServer::~HttpServer() {
  loop_.cancel(sweep_);
  for (auto& c : connections_) c->close();
}

void HttpServer::accept(event_loop::UniqueFd fd) {
  auto c = std::make_shared<Connection>(*this);
  c->begin(std::move(fd));
  connections_.insert(c);
  c->look();
  // Within our descriptors: one that only stands there may be closed between requests; else no more are
  // taken.
  bool full = connections() >= max_connections_;
  if (full || connections_.size() > roomy()) reject_over_capacity(full);
  // What was shed lingers for a moment, and holds its descriptor until then.
  if (connections() >= max_connections_ && listener_) listener_->pause(kCrowded);
}

void HttpServer::stop_listening() {
  if (listener_) listener_->accept_now();
  listener_.reset();
}

// Guards against clients that ask once and hold their connection for good: clients have a share of
// descriptors as we have, and once those hold all of it no other finds a connection, though we could take
// more.
event_loop::Millis HttpServer::stand_idle() const {
  return connections_.size() > roomy() / 2 ? kMayClose : kStandIdle;
}

// What lingers first, then those that never asked, then the one idle for longest.
void HttpServer::reject_over_capacity(bool full) {
  event_loop::Millis now = loop_.now();
  // Guards against clients that rest on after our end: what lingers for them gives no newcomer a place.
  half_closed_.close_oldest();
  // Guards against a newcomer reset before its request arrived while hardly a connection is in use: what
  // lingers is over within kLinger.
  const bool crowded = connections_.size() > roomy();
  while (std::shared_ptr<Connection> connection = least_needed(now, full, crowded)) {
    connection->look();  // a request that has arrived by now is served
    if (connection->is_worth_shedding(now, full, crowded) > 0) return end(*connection);
  }
}

std::shared_ptr<HttpServer::Connection> HttpServer::least_needed(event_loop::Millis now, bool full,
                                                                 bool crowded) const {
  std::shared_ptr<Connection> best;
  int most = 0;
  for (const auto& c : connections_) {
    int value = c->is_worth_shedding(now, full, crowded);
    if (value > most || (value > 0 && value == most && c->since() < best->since())) {
      best = c;
      most = value;
    }
  }
  return best;
}

// Guards against an answer that is lost with its connection, and a request that crosses the end of one.
void HttpServer::end(Connection& connection) {
  auto c = connection.shared_from_this();
  if (connections_.erase(c) == 0) return;
  half_closed_.add(c->linger());
  loop_.destroy_later(std::move(c));
}

void HttpServer::list_bad(int status, const std::string& why) {
  if (bad_++ < kListedMost) spdlog::warn("request answered with {}: {}", status, why);
}

void HttpServer::drop(Connection& connection) {
  auto c = connection.shared_from_this();
  if (connections_.erase(c) == 0) return;
  c->close();
  loop_.destroy_later(std::move(c));
}

// Guards against a request that crosses the closing: what has come by now is read and answered first.
void HttpServer::close_idle() {
  auto copy = connections_;
  for (const auto& c : copy)
    if (c->used_and_idle()) c->look();
  for (const auto& c : copy)
    if (c->used_and_idle()) end(*c);
}

bool HttpServer::busy() const { return connections() > 0; }

void HttpServer::sweep() {
  event_loop::Millis now = loop_.now();
  auto copy = connections_;
  for (const auto& c : copy) c->check(now);
  if (now >= listed_at_ + kListedEvery) {
    if (bad_ > kListedMost) spdlog::warn("{} further bad requests are not listed", bad_ - kListedMost);
    bad_ = 0;
    listed_at_ = now;
  }
  sweep_ = loop_.run_at(now + kSweep, [this] { sweep(); });
}

}  // namespace winchhall::http
