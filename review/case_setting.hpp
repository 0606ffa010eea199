// What the cases share: a deployment, its operator and its clients.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "review/deployment.hpp"
#include "review/record.hpp"
#include "testbed/cluster/http_call.hpp"

namespace winchhall::review {

// Thrown if a case can't be run: what it needs before the disruption did not come about.
struct CaseFailure {
  std::string reason;
};

inline constexpr const char* kHost = "lima.example";

// Sends the operator's and the clients' calls and records them with their answers.
class CaseSetting {
 public:
  CaseSetting(Record& record, const Deployment& deployment) : record_(record), deployment_(deployment) {}

  // Sends a change again, to one core machine after another, until it is acknowledged.
  void put_configuration(const std::string& path, const std::string& base, const std::string& body);
  // Waits until the platform's probe of the edge is answered with 200.
  void wait_until_ready();
  testbed::cluster::HttpCallResponse client(const std::string& method, const std::string& path,
                                            const std::string& body = "");
  // Submits a job, and again with the same ID after silence, a cut, 429, 502, 503 or 504.
  void submit(const std::string& path, const std::string& body);

 private:
  Record& record_;
  const Deployment& deployment_;
};

// A route of the configuration, named as its prefix.
std::string route(const std::string& name, const std::string& backend, unsigned priority = 0);
// A whole configuration with these routes and the services giro-core and fraude-ia.
std::string configuration(unsigned version, const std::string& routes);

void sleep_for(std::chrono::milliseconds time);

}  // namespace winchhall::review
