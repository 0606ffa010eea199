#include "testbed/clients.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "aggregator/flight/arrow.hpp"
#include "aggregator/flight/grpc.hpp"
#include "command.pb.h"
#include "flight.pb.h"

namespace winchhall::testbed {

using nlohmann::json;
namespace wire = arrow::flight::protocol;

namespace {
constexpr std::size_t kMaxStreamsPerConnection = 40;  // concurrent calls
sockaddr_in loopback(int port) { return *event_loop::parse_address("127.0.0.1:" + std::to_string(port)); }
}  // namespace

std::string http_request(const Query& a) {
  json spans = json::array();
  for (const auto& s : a.spans) spans.push_back({{"from", s.from}, {"to", s.to}});
  std::string body = json{{"spans", spans}, {"expr", a.text}}.dump();
  char key[24], timeout[24];
  std::snprintf(key, sizeof key, "%llx", static_cast<unsigned long long>(a.key));
  std::snprintf(timeout, sizeof timeout, "%.0fm", a.timeout);
  return "POST /" + a.query_class + "?k=" + key + " HTTP/1.1\r\nHost: lab\r\nX-Request-ID: " + a.id +
         "\r\nX-Tenant-Id: " + a.tenant + "\r\nX-Timeout: " + timeout +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Reply read_http_reply(const http::HttpMessage& m) {
  Reply r;
  json from = json::parse(m.body, nullptr, false);
  if (from.is_object() && from.contains("error")) r.error = from["error"].dump();
  if (const std::string* advice = m.header("retry-after")) r.retry_after = 1000 * std::stod(*advice);
  if (m.status != 200) {
    r.kind = m.status == 503 || m.status == 429 ? Reply::Kind::refused
             : m.status / 100 == 4              ? Reply::Kind::invalid
                                                : Reply::Kind::failed;
    return r;
  }
  if (!from.is_object() || !from.contains("rows")) {
    r.kind = Reply::Kind::failed;
    r.error = "no answer: the body of a 200 response has no rows";
    return r;
  }
  r.kind = Reply::Kind::answered;
  r.whole = from.value("exact", false);
  for (const json& row : from["rows"])
    r.rows.push_back({{row.value("from", std::uint64_t{0}), row.value("to", std::uint64_t{0})},
                      row.value("data", std::string())});
  return r;
}

// ---- HTTP

class HttpClients::Connection : public event_loop::Stream::Owner,
                                public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(HttpClients& owner) : owner_(owner) {}
  bool connect(int port) {
    int error = 0;
    stream_ = event_loop::Stream::connect(owner_.loop_, loopback(port), *this, error);
    return static_cast<bool>(stream_);
  }
  void close() {
    if (stream_) stream_->close();
  }
  // Reads what has arrived and returns false if the server has closed the connection.
  bool is_reusable() {
    stream_->read_now();
    return stream_->usable();
  }
  void ask(const std::string& bytes, ReplyCallback on_reply) {
    on_reply_ = std::move(on_reply);
    parser_.reset();
    stream_->write(bytes);
  }
  void received(std::string& in) override {
    if (!on_reply_) {
      owner_.unexpected_replies_ += !in.empty();  // nothing is open on this connection: a second reply
      return in.clear();
    }
    parser_.feed(in);
    if (!parser_.done() && !parser_.failed()) return;
    bool keep = !parser_.failed() && parser_.message().keep_alive();
    Reply r = parser_.failed() ? Reply{} : read_http_reply(parser_.message());
    owner_.unexpected_replies_ += !in.empty();
    in.clear();
    ReplyCallback on_reply = std::exchange(on_reply_, nullptr);
    if (keep)
      owner_.idle_.push_back(shared_from_this());
    else
      close_and_release();
    on_reply(std::move(r));
  }
  void ended() override {
    ReplyCallback on_reply = std::exchange(on_reply_, nullptr);
    close_and_release();
    if (on_reply) on_reply({});
  }

 private:
  void close_and_release() {
    auto self = shared_from_this();
    std::erase(owner_.idle_, self);
    std::erase(owner_.all_, self);
    stream_->close();
    owner_.loop_.destroy_later(std::move(self));
  }
  HttpClients& owner_;
  std::shared_ptr<event_loop::Stream> stream_;
  http::HttpParser parser_{http::HttpParser::Mode::streamed};
  ReplyCallback on_reply_;
};

HttpClients::~HttpClients() {
  for (auto& c : all_) c->close();
}

void HttpClients::ask(const std::string& request, ReplyCallback on_reply) {
  std::shared_ptr<Connection> c;
  while (!c && !idle_.empty()) {
    c = idle_.back();
    idle_.pop_back();
    if (!c->is_reusable()) c.reset();  // it removes itself in ended()
  }
  if (!c) {
    c = std::make_shared<Connection>(*this);
    if (!c->connect(port_())) return on_reply({});
    all_.push_back(c);
  }
  c->ask(request, std::move(on_reply));
}

// ---- Flight

class FlightClients::Connection : public flight::Http2Connection::Handler,
                                  public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(FlightClients& owner)
      : owner_(owner), http2_(owner.loop_, *this, flight::Http2Connection::Side::client) {}
  bool connect(int port) { return http2_.connect(loopback(port)); }
  void close() { http2_.close(); }
  bool has_free_stream() const { return open_ && calls_.size() < kMaxStreamsPerConnection; }

  void ask(const Query& a, ReplyCallback on_reply) {
    QueryCommand command;
    command.set_query_class(a.query_class);
    command.set_tenant(a.tenant);
    command.set_key(a.key);
    command.set_text(a.text);
    for (const auto& s : a.spans) {
      auto* span = command.add_spans();
      span->set_from(s.from);
      span->set_to(s.to);
    }
    wire::Ticket ticket;
    ticket.set_ticket(command.SerializeAsString());
    std::int32_t id = http2_.submit_request({{":method", "POST"},
                                             {":scheme", "http"},
                                             {":path", "/arrow.flight.protocol.FlightService/DoGet"},
                                             {":authority", "lab"},
                                             {"te", "trailers"},
                                             {"content-type", "application/grpc"},
                                             {"x-request-id", a.id},
                                             {"grpc-timeout", flight::write_timeout(a.timeout)}},
                                            flight::frame_message(ticket.SerializeAsString()));
    if (id < 0) return on_reply({});
    calls_[id].on_reply = std::move(on_reply);
    http2_.send_pending();
  }

  void on_headers(std::int32_t id, const flight::Headers& headers) override {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    for (const auto& h : headers) it->second.headers.push_back(h);
  }
  void on_data(std::int32_t id, std::string_view bytes) override {
    auto it = calls_.find(id);
    if (it != calls_.end())
      it->second.in.append(bytes);
    else
      ++owner_.unexpected_replies_;
  }
  void on_end_stream(std::int32_t id) override {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    Call call = std::move(it->second);
    calls_.erase(it);
    call.on_reply(read(call));
  }
  void on_stream_closed(std::int32_t id, std::uint32_t) override {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    ReplyCallback on_reply = std::move(it->second.on_reply);
    calls_.erase(it);
    on_reply({});
  }
  void on_goaway() override { open_ = false; }
  void on_disconnected() override {
    open_ = false;
    auto self = shared_from_this();
    for (auto& [id, call] : std::exchange(calls_, {})) call.on_reply({});
    http2_.close();
    if (std::erase(owner_.all_, self) > 0) owner_.loop_.destroy_later(std::move(self));
  }

 private:
  struct Call {
    flight::Headers headers;
    std::string in;
    ReplyCallback on_reply;
  };
  static Reply read(Call& call) {
    Reply r;
    const std::string* status = flight::find_header(call.headers, "grpc-status");
    int code = status ? std::stoi(*status) : -1;
    if (const std::string* message = flight::find_header(call.headers, "grpc-message")) r.error = *message;
    r.kind = code == 0                                                    ? Reply::Kind::answered
             : code == static_cast<int>(flight::Status::unavailable)      ? Reply::Kind::refused
             : code == static_cast<int>(flight::Status::invalid_argument) ? Reply::Kind::invalid
             : code < 0                                                   ? Reply::Kind::no_reply
                                                                          : Reply::Kind::failed;
    r.retry_after = flight::read_retry_after(call.headers).value_or(0);
    const std::string* exact = flight::find_header(call.headers, "answer-exact");
    r.whole = exact && *exact == "true";
    std::vector<flight::ArrowRow> rows;
    bool bad = false;
    constexpr std::size_t kMaxReplyMessageBytes = 8 * 1024 * 1024;
    while (auto message = flight::take_message(call.in, kMaxReplyMessageBytes, bad)) {
      wire::FlightData part;
      if (!part.ParseFromString(*message) ||
          flight::read_arrow(part.data_header(), part.data_body(), rows, flight::Layout::spans) ==
              flight::ArrowKind::bad) {
        r.kind = Reply::Kind::failed;
        r.error = "no answer: a message is not FlightData with Arrow rows";
        return r;
      }
    }
    for (flight::ArrowRow& row : rows) r.rows.push_back({row.span, std::move(row.data)});
    return r;
  }

  FlightClients& owner_;
  flight::Http2Connection http2_;
  std::map<std::int32_t, Call> calls_;
  bool open_ = true;
};

FlightClients::~FlightClients() {
  for (auto& c : all_) c->close();
}

void FlightClients::ask(const Query& query, ReplyCallback on_reply) {
  std::shared_ptr<Connection> c;
  for (auto& each : all_)
    if (!c && each->has_free_stream()) c = each;
  if (!c) {
    c = std::make_shared<Connection>(*this);
    if (!c->connect(port_())) return on_reply({});
    all_.push_back(c);
  }
  c->ask(query, std::move(on_reply));
}

}  // namespace winchhall::testbed
