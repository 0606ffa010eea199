#include "platform/client_front.hpp"

#include <spdlog/spdlog.h>

namespace winchhall::platform {
namespace {
constexpr net::Millis kHalfRequest = 10000;  // ms for the rest of a request, from its first byte
constexpr net::Millis kSlowReader = 15000;   // ms for a client to take its answer
constexpr net::Millis kStandIdle = 120000;   // ms between requests
constexpr net::Millis kSweep = 500;
}  // namespace

class ClientFront::Connection : public net::Stream::Owner, public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(ClientFront& front) : front_(front), since_(front.loop_.now()) {}
  void begin(net::UniqueFd fd) { stream_ = net::Stream::adopt(front_.loop_, std::move(fd), *this); }

  void received(std::string& in) override {
    // One request at a time: what follows waits in the buffer until this one is answered.
    if (query_ != 0 || closing_) return;
    bool fresh = !parser_.begun();
    parser_.feed(in);
    if (fresh && parser_.begun()) since_ = front_.loop_.now();
    if (parser_.failed()) {
      spdlog::warn("bad request answered with {}", parser_.error());
      return reply(http_answer(parser_.error(), "", "", false), false);
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
    continued_ = false;
    serve(m);
  }

  void drained() override {
    since_ = front_.loop_.now();
    if (closing_) front_.drop(*this);
  }
  void ended() override {
    if (query_ != 0) front_.exchange_.withdraw(query_);
    release();
    front_.drop(*this);
  }

  bool idle() const { return query_ == 0 && !parser_.begun() && stream_->unsent() == 0; }
  bool busy() const { return query_ != 0 || stream_->unsent() > 0; }
  bool overdue(net::Millis now) const {
    if (query_ != 0) return false;
    net::Millis most = stream_->unsent() > 0 ? kSlowReader : parser_.begun() ? kHalfRequest : kStandIdle;
    return now - since_ > most;
  }
  net::Millis since() const { return since_; }
  void close() {
    if (query_ != 0) front_.exchange_.withdraw(query_);
    release();
    stream_->close();
  }

 private:
  void serve(const HttpMessage& m) {
    bool keep = m.keep_alive() && !front_.winding_down_;
    if (m.target == "/ready" || m.target == "/health") {
      if (m.method != "GET" && m.method != "HEAD")
        return reply(http_answer(405, "Allow: GET\r\n", "", keep), keep);
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
      spdlog::warn("request answered with {}: {}", d.status, d.wrong);
      return reply(http_answer(d.status, d.status == 405 ? "Allow: POST\r\n" : "", "", keep), keep);
    }
    id_ = d.query.id;
    query_ = front_.exchange_.submit(std::move(d.query), [this, keep](core::Verdict v) {
      release();
      bool still = keep && !front_.winding_down_;
      reply(verdict_answer(v, still), still);
    });
  }

  void release() {
    query_ = 0;
    front_.live_ids_.erase(id_);
    id_.clear();
  }

  void reply(const std::string& bytes, bool keep) {
    since_ = front_.loop_.now();
    closing_ = !keep;
    stream_->write(bytes);
    if (keep) stream_->show_again();
  }

  ClientFront& front_;
  std::shared_ptr<net::Stream> stream_;
  HttpParser parser_{HttpParser::Mode::request};
  core::QueryNumber query_ = 0;
  std::string id_;
  net::Millis since_;  // of the state it is in
  bool closing_ = false, continued_ = false;
};

ClientFront::ClientFront(net::Loop& loop, core::Exchange& exchange, const sockaddr_in& address,
                         ClientNames names, std::size_t connections, std::function<bool()> ready)
    : loop_(loop),
      exchange_(exchange),
      names_(names),
      most_(connections),
      ready_(std::move(ready)),
      listener_(loop, address, [this](net::UniqueFd fd) { accept(std::move(fd)); }) {
  sweep();
}

ClientFront::~ClientFront() {
  loop_.cancel(sweep_);
  for (auto& c : connections_) c->close();
}

void ClientFront::accept(net::UniqueFd fd) {
  auto c = std::make_shared<Connection>(*this);
  c->begin(std::move(fd));
  connections_.insert(c);
  // Within our descriptors: an idle connection may be closed between requests; else no more are taken.
  if (connections_.size() >= most_ && !shed_idle()) listener_.pause(kSweep / 10);
}

bool ClientFront::shed_idle() {
  std::shared_ptr<Connection> oldest;
  for (const auto& c : connections_)
    if (c->idle() && (!oldest || c->since() < oldest->since())) oldest = c;
  if (oldest) drop(*oldest);
  return static_cast<bool>(oldest);
}

void ClientFront::drop(Connection& connection) {
  auto c = connection.shared_from_this();
  if (connections_.erase(c) == 0) return;
  c->close();
  loop_.bury(std::move(c));
}

void ClientFront::wind_down() {
  winding_down_ = true;
  auto copy = connections_;
  for (const auto& c : copy)
    if (c->idle()) drop(*c);
}

bool ClientFront::busy() const {
  for (const auto& c : connections_)
    if (c->busy()) return true;
  return false;
}

void ClientFront::sweep() {
  net::Millis now = loop_.now();
  auto copy = connections_;
  for (const auto& c : copy)
    if (c->overdue(now)) drop(*c);
  sweep_ = loop_.at(now + kSweep, [this] { sweep(); });
}

}  // namespace winchhall::platform
