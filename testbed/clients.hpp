// Test clients of an aggregator over HTTP/1.1 and Arrow Flight. Each query is sent on its own and gets one
// reply.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "aggregator/event_loop/stream.hpp"
#include "aggregator/flight/http2_connection.hpp"
#include "aggregator/http/http.hpp"
#include "testbed/reference_model.hpp"

namespace winchhall::testbed {

using Millis = double;

// A query as a client sends it. `id` is its X-Request-ID, `key` the routing key.
struct Query {
  std::string id{}, query_class{}, tenant{}, text{};
  std::vector<ranges::Span> spans{};
  double timeout = 0;  // ms
  std::uint64_t key = 0;
};

// What a client got for a query. no_reply: the connection ended first. `whole`: the aggregator marked the
// answer as exact.
struct Reply {
  enum class Kind { answered, refused, failed, invalid, no_reply } kind = Kind::no_reply;
  bool whole = false;
  double retry_after = 0;  // ms
  std::vector<ReferenceLedger::Row> rows{};
  std::string error{};
};
using ReplyCallback = std::function<void(Reply)>;

std::string http_request(const Query& query);

// Sends queries to an aggregator over HTTP/1.1, one at a time on each connection; idle connections are
// reused. Owns its connections. `port` is asked for each new connection, since a restarted aggregator may
// listen elsewhere.
class HttpClients {
 public:
  HttpClients(event_loop::Loop& loop, std::function<int()> port) : loop_(loop), port_(std::move(port)) {}
  ~HttpClients();
  // `on_reply` is called exactly once. Bytes after the reply are counted in unexpected_replies().
  void ask(const Query& query, ReplyCallback on_reply) { ask(http_request(query), std::move(on_reply)); }
  void ask(const std::string& request, ReplyCallback on_reply);
  std::size_t unexpected_replies() const { return unexpected_replies_; }
  std::size_t connections() const { return all_.size(); }

 private:
  class Connection;
  event_loop::Loop& loop_;
  std::function<int()> port_;
  std::vector<std::shared_ptr<Connection>> all_, idle_;
  std::size_t unexpected_replies_ = 0;
};

// The same over Arrow Flight, with up to 40 concurrent calls on each connection.
class FlightClients {
 public:
  FlightClients(event_loop::Loop& loop, std::function<int()> port) : loop_(loop), port_(std::move(port)) {}
  ~FlightClients();
  void ask(const Query& query, ReplyCallback on_reply);
  std::size_t unexpected_replies() const { return unexpected_replies_; }

 private:
  class Connection;
  event_loop::Loop& loop_;
  std::function<int()> port_;
  std::vector<std::shared_ptr<Connection>> all_;
  std::size_t unexpected_replies_ = 0;
};

Reply read_http_reply(const http::HttpMessage& message);

}  // namespace winchhall::testbed
