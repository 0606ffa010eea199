// The service "records" of the rolling upgrade and the soak test, and the service "archive" that its queue
// may move to: their configuration, and the calls of clients and the operator.
#pragma once

#include <cstdint>
#include <string>

#include "testbed/cluster/http_call.hpp"

namespace winchhall::testbed::cluster {

inline constexpr const char* kRecordsService = "records";
inline constexpr const char* kArchiveService = "archive";

// A change of the configuration, as the operator sends it.
struct ConfigurationChange {
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  std::string route;  // name of the route that it adds; empty: none
  std::string path;   // request target of the call
  std::string body;
};

// Version 1: the queue "extract" alone, whose tasks may fail `max_retries` times.
ConfigurationChange first_configuration(unsigned max_retries);
// A change that adds a route to version `base_version` and makes the next version.
ConfigurationChange add_route(std::uint64_t base_version);
// A change that makes `service` run the jobs of the queue "extract", and adds the queue if there is none.
ConfigurationChange route_queue_to(std::uint64_t base_version, const std::string& service,
                                   unsigned max_retries);
// A change that removes the queue "extract".
ConfigurationChange remove_queue(std::uint64_t base_version);
// A change that deletes the service "archive", to which no route must lead.
ConfigurationChange delete_archive(std::uint64_t base_version);
// The operator's call that sends the change to a control node.
HttpCall configuration_call(const ConfigurationChange& change, const std::string& control_address);
// True if the response acknowledges the change with its version.
bool acknowledges(const HttpCallResponse& response, const ConfigurationChange& change);

// A client's call for a job of the queue "extract". `method`: POST with the job as body, GET or DELETE.
HttpCall job_call(const std::string& front_address, const std::string& method, const std::string& job,
                  const std::string& body = "");
// Text of a job's spec that makes its tasks last until they are stopped.
inline constexpr const char* kLastingSpec = "lasting";

// Job ID with this number, as 16 hexadecimal digits.
std::string job_id(std::uint64_t number);

}  // namespace winchhall::testbed::cluster
