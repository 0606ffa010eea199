// A small HTTP/1.1 server for stand-ins: one request at a time on a connection, answers whole or as a stream
// of lines. On loopback only.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/http.hpp"

namespace winchhall::testbed {

class HttpStandIn {
 public:
  class Connection : public event_loop::Stream::Owner, public std::enable_shared_from_this<Connection> {
   public:
    explicit Connection(HttpStandIn& owner) : owner_(owner) {}
    void answer(int status, const std::string& body);
    void begin_lines();                  // a chunked answer that stays open
    void line(const std::string& text);  // one line of it
    void cut();                          // ends the connection in the middle of it
    bool streaming() const { return streaming_; }
    bool open() const { return stream_ && stream_->open(); }

    void received(std::string& in) override;
    void ended() override;

   private:
    friend class HttpStandIn;
    HttpStandIn& owner_;
    std::shared_ptr<event_loop::Stream> stream_;
    http::HttpParser parser_{http::HttpParser::Mode::request};
    bool streaming_ = false;
  };
  using Handler = std::function<void(Connection&, const http::HttpMessage&)>;

  HttpStandIn(event_loop::Loop& loop, Handler handler);
  ~HttpStandIn();
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void stop();  // closes all and listens no more
  void start();
  std::set<std::shared_ptr<Connection>> connections() const { return connections_; }

 private:
  void drop(Connection& connection);
  event_loop::Loop& loop_;
  Handler handler_;
  std::unique_ptr<event_loop::Listener> listener_;
  int port_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace winchhall::testbed
