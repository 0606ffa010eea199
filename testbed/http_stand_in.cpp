#include "testbed/http_stand_in.hpp"

#include <cstdio>

namespace winchhall::testbed {

void HttpStandIn::Connection::answer(int status, const std::string& body) {
  stream_->write("HTTP/1.1 " + std::to_string(status) +
                 " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void HttpStandIn::Connection::begin_lines() {
  streaming_ = true;
  stream_->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}

void HttpStandIn::Connection::line(const std::string& text) {
  if (!open()) return;
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
  stream_->write(size + text + "\n\r\n");
}

void HttpStandIn::Connection::cut() {
  stream_->close();
  owner_.drop(*this);
}

void HttpStandIn::Connection::received(std::string& in) {
  if (streaming_) return in.clear();
  parser_.feed(in);
  if (parser_.failed()) return cut();
  if (!parser_.done()) return;
  http::HttpMessage message = std::move(parser_.message());
  parser_.reset();
  owner_.handler_(*this, message);
}

void HttpStandIn::Connection::ended() { owner_.drop(*this); }

HttpStandIn::HttpStandIn(event_loop::Loop& loop, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {
  start();
}

HttpStandIn::~HttpStandIn() { stop(); }

void HttpStandIn::start() {
  if (listener_) return;
  auto at = *event_loop::parse_address("127.0.0.1:" + std::to_string(port_));
  listener_ = std::make_unique<event_loop::Listener>(loop_, at, [this](event_loop::UniqueFd fd) {
    auto c = std::make_shared<Connection>(*this);
    connections_.insert(c);
    c->stream_ = event_loop::Stream::adopt(loop_, std::move(fd), *c);
  });
  port_ = listener_->port();
}

void HttpStandIn::stop() {
  listener_.reset();
  auto copy = connections_;
  for (const auto& c : copy) {
    c->stream_->close();
    drop(*c);
  }
}

void HttpStandIn::drop(Connection& connection) {
  auto c = connection.shared_from_this();
  if (connections_.erase(c) > 0) loop_.destroy_later(std::move(c));
}

}  // namespace winchhall::testbed
