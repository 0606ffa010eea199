// One HTTP call on loopback, for stand-ins and experiments.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace winchhall::testbed::cluster {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpCall {
  std::string address;  // "ip:port"
  std::string method = "GET";
  std::string target = "/";
  std::string host;
  std::string body;
  std::vector<HttpHeader> headers;
  std::chrono::milliseconds timeout{2000};
};

// Status 0: no answer (refused, cut off or too late).
struct HttpCallResponse {
  unsigned status = 0;
  std::string body;
};

// Carries out one call on a connection of its own and waits for its end.
HttpCallResponse send_http_call(const HttpCall& call);

}  // namespace winchhall::testbed::cluster
