// Clients of an aggregator, over HTTP/1.1 and over Flight: each query on its own, with what came back for it.
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

struct Asked {
  std::string id{}, query_class{}, tenant{}, text{};
  std::vector<ranges::Span> spans{};
  double timeout = 0;  // ms
  std::uint64_t key = 0;
};

struct Reply {
  enum class Kind { answered, refused, failed, unfit, broken } kind = Kind::broken;  // broken: none came
  bool whole = false;
  double retry_after = 0;  // ms
  std::vector<Truth::Row> rows{};
  std::string error{};
};
using Told = std::function<void(Reply)>;

std::string http_request(const Asked& asked);

class HttpClients {
 public:
  HttpClients(event_loop::Loop& loop, std::function<int()> port) : loop_(loop), port_(std::move(port)) {}
  ~HttpClients();
  // Called back once; what comes twice on a connection counts in extra().
  void ask(const Asked& asked, Told told) { ask(http_request(asked), std::move(told)); }
  void ask(const std::string& request, Told told);
  std::size_t extra() const { return extra_; }
  std::size_t connections() const { return all_.size(); }

 private:
  class Connection;
  event_loop::Loop& loop_;
  std::function<int()> port_;
  std::vector<std::shared_ptr<Connection>> all_, idle_;
  std::size_t extra_ = 0;
};

class FlightClients {
 public:
  FlightClients(event_loop::Loop& loop, std::function<int()> port) : loop_(loop), port_(std::move(port)) {}
  ~FlightClients();
  void ask(const Asked& asked, Told told);
  std::size_t extra() const { return extra_; }

 private:
  class Connection;
  event_loop::Loop& loop_;
  std::function<int()> port_;
  std::vector<std::shared_ptr<Connection>> all_;
  std::size_t extra_ = 0;
};

Reply read_http_reply(const http::HttpMessage& message);

}  // namespace winchhall::testbed
