#include "aggregator/http/http_server.hpp"

#include <spdlog/spdlog.h>

namespace winchhall::http {
namespace {
constexpr event_loop::Millis kFirstRequestTimeout =
    2000;                                             // ms from connecting to the end of the first request
constexpr event_loop::Millis kRequestTimeout = 2000;  // ms from the first byte of a later request to its end
constexpr event_loop::Millis kResponseReadTimeout = 15000;  // ms for a client to read its response
constexpr event_loop::Millis kIdleTimeout = 120000;         // ms between requests, normally ...
constexpr event_loop::Millis kCrowdedIdleTimeout = 2000;  // ... and with many connections, see idle_timeout()
constexpr event_loop::Millis kMinIdleBeforeEviction =
    250;  // ms idle after a response before a new connection may evict it
constexpr event_loop::Millis kLingerTimeout =
    1000;  // ms for the client to close its side after we closed ours
// Limit of the bytes buffered behind an open request; beyond it all of them are discarded. One whole request
// fits. Input must go on being read, since the end of the connection is only seen behind it: otherwise a
// client that sent much and left would go unnoticed.
constexpr std::size_t kMaxPipelinedBytes = kMaxHeadBytes + kMaxBodyBytes;
constexpr event_loop::Millis kFirstRequestGrace =
    100;  // ms after connecting in which the first request may still be on its way
constexpr event_loop::Millis kSweepInterval = 200;  // ms between checks for overdue connections
constexpr event_loop::Millis kAcceptPause = 5;  // ms without accepting while the connection limit is reached
constexpr event_loop::Millis kRejectionLogPeriod = 10000;  // ms
constexpr int kMaxLoggedRejections = 40;                   // in one period; the others are only counted
}  // namespace

class HttpServer::Connection : public event_loop::Stream::Owner,
                               public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(HttpServer& server)
      : server_(server),
        state_since_(server.loop_.now()),
        request_deadline_(state_since_ + kFirstRequestTimeout) {}
  void start(event_loop::UniqueFd fd) {
    stream_ = event_loop::Stream::adopt(server_.loop_, std::move(fd), *this);
  }
  // A request that arrived together with its connection is read before the next connection is accepted, so
  // that silent connections do not displace clients that have sent a request.
  void read_arrived() { stream_->read_now(); }

  void received(std::string& in) override {
    // One request at a time: pipelined requests stay in the buffer until this one is answered.
    if (query_ != 0) {
      discarding_input_ = discarding_input_ || in.size() > kMaxPipelinedBytes;
      if (discarding_input_) in.clear();
      return;
    }
    bool is_new = !parser_.begun();
    parser_.feed(in);
    if (is_new && parser_.begun()) {
      state_since_ = server_.loop_.now();
      // Counts from the first byte only: otherwise a client that sends slowly could keep it open for ever.
      if (had_request_) request_deadline_ = state_since_ + kRequestTimeout;
    }
    if (parser_.failed()) {
      in.clear();
      return reject_client(parser_.error(), "what cannot be read");
    }
    if (!parser_.done()) {
      const std::string* expect = parser_.message().header("expect");
      if (parser_.head_done() && expect && !sent_continue_ && to_lower(*expect) == "100-continue") {
        sent_continue_ = true;
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    }
    HttpMessage m = std::move(parser_.message());
    parser_.reset();
    had_request_ = true;
    sent_continue_ = false;
    serve(m);
  }

  void drained() override {
    if (query_ == 0 && !parser_.begun()) state_since_ = server_.loop_.now();
  }
  void ended() override {
    if (query_ != 0) server_.router_.withdraw(query_);
    release_query();
    server_.remove(*this);
  }

  // Between requests. False before the first request, which is expected soon or ends in a timeout.
  bool is_idle_after_request() const {
    return had_request_ && query_ == 0 && !parser_.begun() && stream_->unsent() == 0;
  }
  // The connection with the highest rank is evicted first; 0: not to be evicted. Parameters: see
  // HttpServer::eviction_candidate().
  int eviction_rank(event_loop::Millis now, bool full, bool crowded) const {
    if (query_ != 0 || stream_->unsent() > 0) return 0;
    if (!had_request_) return now - state_since_ > kFirstRequestGrace ? 3 : full && crowded ? 1 : 0;
    return parser_.begun() || (!full && now - state_since_ < kMinIdleBeforeEviction) ? 0 : 2;
  }
  // Closes the connection if it is overdue. If this process is running late, input that arrived in time may
  // be unread: it is read first.
  void close_if_overdue(event_loop::Millis now) {
    if (!is_overdue(now)) return;
    read_arrived();
    if (!is_overdue(now)) return;
    if (parser_.begun() && stream_->unsent() == 0) return reject_client(408, "a request that does not end");
    server_.close_gracefully(*this);
  }
  event_loop::Millis state_since() const { return state_since_; }
  void close() {
    if (query_ != 0) server_.router_.withdraw(query_);
    release_query();
    stream_->close();
  }
  // Begins a lingering close and returns the stream, which no longer refers to this object.
  std::shared_ptr<event_loop::Stream> linger() {
    // A client may send a request before it sees that we closed the connection. If it was read and discarded,
    // the client could not know whether it was processed; after a reset it can send it again.
    bool reset_on_input = query_ == 0 && !parser_.begun() && stream_->unsent() == 0 &&
                          (!had_request_ || server_.loop_.now() - state_since_ >= kMinIdleBeforeEviction);
    stream_->linger(kResponseReadTimeout, kLingerTimeout, reset_on_input);
    return stream_;
  }

 private:
  // Whether the client takes too long to read its response, to send its next request, or to complete one.
  bool is_overdue(event_loop::Millis now) const {
    if (query_ != 0) return false;
    if (stream_->unsent() > 0) return now - state_since_ > kResponseReadTimeout;
    if (had_request_ && !parser_.begun()) return now - state_since_ > server_.idle_timeout();
    return now > request_deadline_;
  }

  void serve(const HttpMessage& m) {
    bool keep = m.keep_alive() && !server_.close_after_response_;
    if (m.target == "/ready" || m.target == "/health") {
      if (m.method != "GET" && m.method != "HEAD")
        return reply(error_response(405, "Allow: GET\r\n", "method " + m.method + ", wanted is GET", keep),
                     keep);
      bool ok = m.target == "/health" || server_.ready_();
      return reply(http_response(ok ? 200 : 503, "", "", keep), keep);
    }
    // The client's timeout counts from the first byte of the request, when it became known to us.
    DecodedQuery d = decode_query(m, server_.context_, state_since_);
    if (d.status == 200 && !server_.open_query_ids_.insert(d.query.id).second) {
      // Leafs could not distinguish the parts of two queries with the same id.
      d.status = 409;
      d.error = "a name that is in use";
    }
    if (d.status != 200) {
      server_.log_rejection(d.status, d.error);
      return reply(error_response(d.status, d.status == 405 ? "Allow: POST\r\n" : "", d.error, keep), keep);
    }
    id_ = d.query.id;
    query_ = server_.router_.submit(std::move(d.query), [this, keep](coordination::QueryResult v) {
      release_query();
      bool keep_open = keep && !discarding_input_ && !server_.close_after_response_;
      reply(query_response(v, keep_open), keep_open);
    });
  }

  void reject_client(int status, const char* why) {
    server_.log_rejection(status, why);
    reply(error_response(status, "", why, false), false);
  }

  void release_query() {
    query_ = 0;
    server_.open_query_ids_.erase(id_);
    id_.clear();
  }

  void reply(const std::string& bytes, bool keep) {
    state_since_ = server_.loop_.now();
    stream_->write(bytes);
    keep ? stream_->redeliver() : server_.close_gracefully(*this);
  }

  HttpServer& server_;
  std::shared_ptr<event_loop::Stream> stream_;
  HttpParser parser_{HttpParser::Mode::request};
  coordination::QueryNumber query_ = 0;
  std::string id_;
  event_loop::Millis state_since_;       // start of the current state, or of the response's transfer
  event_loop::Millis request_deadline_;  // for the end of the first or of a partially received request
  bool had_request_ = false, sent_continue_ = false, discarding_input_ = false;
};

HttpServer::HttpServer(event_loop::Loop& loop, coordination::RequestRouter& router,
                       const sockaddr_in& address, DecodeContext context, std::size_t max_connections,
                       std::function<bool()> ready, Shared)
    : loop_(loop),
      router_(router),
      context_(context),
      max_connections_(max_connections),
      ready_(std::move(ready)),
      address_(address),
      shared_(true) {
  sweep();
}

HttpServer::HttpServer(event_loop::Loop& loop, coordination::RequestRouter& router,
                       const sockaddr_in& address, DecodeContext context, std::size_t max_connections,
                       std::function<bool()> ready)
    : HttpServer(loop, router, address, context, max_connections, std::move(ready), Shared{}) {
  shared_ = false;
  listen();
}

void HttpServer::listen() {
  if (listener_) return;
  listener_ = std::make_unique<event_loop::Listener>(
      loop_, address_, [this](event_loop::UniqueFd fd) { accept(std::move(fd)); }, shared_);
}

HttpServer::~HttpServer() {
  loop_.cancel(sweep_timer_);
  for (auto& c : connections_) c->close();
}

void HttpServer::accept(event_loop::UniqueFd fd) {
  auto c = std::make_shared<Connection>(*this);
  c->start(std::move(fd));
  connections_.insert(c);
  c->read_arrived();
  // Keeps the number of descriptors within the limit: evicts an idle connection; if there is none, pauses
  // accepting.
  bool full = connections() >= max_connections_;
  if (full || connections_.size() > eviction_threshold()) evict_one(full);
  // An evicted connection lingers and occupies its descriptor until then.
  if (connections() >= max_connections_ && listener_) listener_->pause(kAcceptPause);
}

void HttpServer::stop_listening() {
  if (listener_) listener_->accept_now();
  listener_.reset();
}

// Clients that send one request and keep their connection open could use up the clients' own share of
// descriptors: then no other client can connect, although this server would accept more. Hence the shorter
// timeout from half the eviction threshold on.
event_loop::Millis HttpServer::idle_timeout() const {
  return connections_.size() > eviction_threshold() / 2 ? kCrowdedIdleTimeout : kIdleTimeout;
}

// Order: lingering connections, then those that never sent a request, then the one idle for longest.
void HttpServer::evict_one(bool full) {
  event_loop::Millis now = loop_.now();
  // Clients may keep their side open after we closed ours: those connections must not block new ones.
  half_closed_.close_oldest();
  // While few connections are in use, a new one is not evicted before its request arrives: lingering
  // connections are closed within kLingerTimeout.
  const bool crowded = connections_.size() > eviction_threshold();
  while (std::shared_ptr<Connection> connection = eviction_candidate(now, full, crowded)) {
    connection->read_arrived();  // a request that has arrived by now is still served
    if (connection->eviction_rank(now, full, crowded) > 0) return close_gracefully(*connection);
  }
}

std::shared_ptr<HttpServer::Connection> HttpServer::eviction_candidate(event_loop::Millis now, bool full,
                                                                       bool crowded) const {
  std::shared_ptr<Connection> best;
  int most = 0;
  for (const auto& c : connections_) {
    int value = c->eviction_rank(now, full, crowded);
    if (value > most || (value > 0 && value == most && c->state_since() < best->state_since())) {
      best = c;
      most = value;
    }
  }
  return best;
}

// A lingering close: with a plain one, a response could be lost, or a request that crosses the close.
void HttpServer::close_gracefully(Connection& connection) {
  auto c = connection.shared_from_this();
  if (connections_.erase(c) == 0) return;
  half_closed_.add(c->linger());
  loop_.destroy_later(std::move(c));
}

void HttpServer::log_rejection(int status, const std::string& why) {
  if (rejections_++ < kMaxLoggedRejections)
    spdlog::warn("client request rejected with status {}: {}", status, why);
}

void HttpServer::remove(Connection& connection) {
  auto c = connection.shared_from_this();
  if (connections_.erase(c) == 0) return;
  c->close();
  loop_.destroy_later(std::move(c));
}

// Requests that have already arrived are read and answered first.
void HttpServer::close_idle() {
  auto copy = connections_;
  for (const auto& c : copy)
    if (c->is_idle_after_request()) c->read_arrived();
  for (const auto& c : copy)
    if (c->is_idle_after_request()) close_gracefully(*c);
}

bool HttpServer::busy() const { return connections() > 0; }

void HttpServer::sweep() {
  event_loop::Millis now = loop_.now();
  auto copy = connections_;
  for (const auto& c : copy) c->close_if_overdue(now);
  if (now >= rejection_period_start_ + kRejectionLogPeriod) {
    if (rejections_ > kMaxLoggedRejections)
      spdlog::warn("{} further client requests rejected, not logged individually",
                   rejections_ - kMaxLoggedRejections);
    rejections_ = 0;
    rejection_period_start_ = now;
  }
  sweep_timer_ = loop_.run_at(now + kSweepInterval, [this] { sweep(); });
}

}  // namespace winchhall::http
