// Typed responses of the operator API. Missing fields read as zero, false or empty, so that processes of
// different versions of the program can work together.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/cli/control_client.hpp"

namespace winchhall::cluster {

// A member of the control group, with its RPC address and the address of its operator API.
struct MemberInfo {
  std::uint64_t id = 0;
  std::string zone;
  std::string address;
  std::string http_address;
};

// The leader of a shard. `member`: ID of the member that holds the lease.
struct LeaderInfo {
  std::string shard;
  std::uint64_t epoch = 0;
  std::uint64_t member = 0;
  std::string address;
};

// A service as one control node reports it. The epoch and the counts are 0 unless that node leads the
// service.
struct ServiceInfo {
  std::string service;
  bool leads = false;
  std::uint64_t epoch = 0;
  std::uint64_t jobs = 0;
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  std::uint64_t nodes = 0;
};

// State of a control node, and of the control group as known to it.
struct StatusResponse {
  std::string node;
  std::string zone;
  std::uint64_t member_id = 0;
  bool votes = false;
  bool has_quorum_contact = false;
  std::uint64_t configuration_version = 0;
  std::uint64_t member_epoch = 0;  // of the member record
  std::vector<MemberInfo> members;
  std::vector<LeaderInfo> leaders;
  std::vector<ServiceInfo> services;
  std::string json;  // the response's body
};

// A job as its service's leader lists it.
struct JobInfo {
  std::string service;
  std::string id;
  std::string queue;
  std::string state;
  std::uint64_t priority = 0;  // 0 is the most urgent
  std::uint64_t runs = 0;
};

// A leaf as its service's leader lists it.
struct NodeInfo {
  std::string service;
  std::string id;
  std::string node;
  std::string labels;              // separated by commas
  std::uint64_t cpu_reserved = 0;  // allocated to runs, in thousandths of a core
  std::uint64_t cpu = 0;           // capacity, in thousandths of a core
  std::uint64_t runs = 0;
  std::uint64_t report_age_ms = 0;
  bool draining = false;
};

// Each parses the body of a response. Errors: ControlUnavailable if the body is not a JSON object.
leaf::result<StatusResponse> read_status(const ControlResponse& response);
leaf::result<std::vector<std::string>> read_services(const ControlResponse& response);
leaf::result<std::vector<JobInfo>> read_jobs(const ControlResponse& response);
leaf::result<std::vector<NodeInfo>> read_nodes(const ControlResponse& response);
// Version in the body of a complete configuration or of the response to a change. Errors: as above.
leaf::result<std::uint64_t> read_version(const ControlResponse& response);

// Returns the response if its status is 200. Errors, by status: NotFound (404 and 410, with `what`),
// VersionConflict (409 and 412), InvalidInput (other 4xx), ControlUnavailable (all others).
leaf::result<ControlResponse> require_success(const ControlResponse& response, const std::string& what);

}  // namespace winchhall::cluster
