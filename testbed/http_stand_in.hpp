// A small HTTP/1.1 server for stand-in services, on loopback only. It handles one request at a time on a
// connection and answers with a complete body or with a stream of lines.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/http.hpp"

namespace winchhall::testbed {

// Owns its listener and its connections. The port stays the same over stop() and start().
class HttpStandIn {
 public:
  class Connection : public event_loop::Stream::Owner, public std::enable_shared_from_this<Connection> {
   public:
    explicit Connection(HttpStandIn& owner) : owner_(owner) {}
    void answer(int status, const std::string& body);
    void begin_lines();                  // begins a chunked response that stays open
    void line(const std::string& text);  // writes one line of it as a chunk
    void cut();                          // closes the connection without ending the response
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
  void stop();  // closes the listener and all connections
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
