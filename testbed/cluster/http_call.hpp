// Synchronous HTTP requests on loopback, for fake servers and tests.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace winchhall::testbed::cluster {

inline constexpr unsigned kHttpOk = 200;

struct HttpHeader {
  std::string name;
  std::string value;
};

// A request and where to send it.
struct HttpCall {
  std::string address;  // "ip:port"
  std::string method = "GET";
  std::string target = "/";
  std::string host;  // header Host; empty: the address
  std::string body;
  std::vector<HttpHeader> headers;
  std::chrono::milliseconds timeout{2000};  // HttpConnection applies it to each step of a call
};

// Status 0: no response (connection refused, aborted or timed out).
struct HttpCallResponse {
  unsigned status = 0;
  std::string body;
};

// Sends one request on a new connection and waits for the response or the time-out.
HttpCallResponse send_http_call(const HttpCall& call);

// A connection that is used for one call after another until the server closes it or a call fails; the next
// call opens a new one. Not thread-safe.
class HttpConnection {
 public:
  HttpConnection();
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // As send_http_call. All calls have the same address.
  HttpCallResponse send(const HttpCall& call);

 private:
  class Stream;
  std::unique_ptr<Stream> stream_;  // null: not connected
};

}  // namespace winchhall::testbed::cluster
