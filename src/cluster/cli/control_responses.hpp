// Answers of the operator API, read into types; fields that are missing read as zero or empty, so that two
// versions of the program talk to each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/cli/control_client.hpp"

namespace winchhall::cluster {

struct MemberInfo {
  std::uint64_t id = 0;
  std::string zone;
  std::string address;
  std::string http_address;
};

struct LeaderInfo {
  std::string shard;
  std::uint64_t epoch = 0;
  std::uint64_t member = 0;
  std::string address;
};

struct ServiceInfo {
  std::string service;
  bool leads = false;
  std::uint64_t epoch = 0;
  std::uint64_t jobs = 0;
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  std::uint64_t nodes = 0;
};

struct StatusResponse {
  std::string node;
  std::string zone;
  std::uint64_t member_id = 0;
  bool votes = false;
  bool in_touch = false;
  std::uint64_t configuration_version = 0;
  std::uint64_t member_epoch = 0;
  std::vector<MemberInfo> members;
  std::vector<LeaderInfo> leaders;
  std::vector<ServiceInfo> services;
  std::string json;  // as answered
};

struct JobInfo {
  std::string service;
  std::string id;
  std::string queue;
  std::string state;
  std::uint64_t priority = 0;
  std::uint64_t runs = 0;
};

struct NodeInfo {
  std::string service;
  std::string id;
  std::string node;
  std::string labels;  // joined by commas
  std::uint64_t cpu_reserved = 0;
  std::uint64_t cpu = 0;
  std::uint64_t runs = 0;
  std::uint64_t report_age_ms = 0;
  bool draining = false;
};

// Errors: ControlUnavailable where the answer can't be read.
leaf::result<StatusResponse> read_status(const ControlResponse& answer);
leaf::result<std::vector<JobInfo>> read_jobs(const ControlResponse& answer);
leaf::result<std::vector<NodeInfo>> read_nodes(const ControlResponse& answer);
// Version of a whole configuration or of the answer to a change.
leaf::result<std::uint64_t> read_version(const ControlResponse& answer);

// The answer if it is a 200; else the error that its status means: InvalidInput, VersionConflict, NotFound
// (of `what`), ControlUnavailable.
leaf::result<ControlResponse> require_success(const ControlResponse& answer, const std::string& what);

}  // namespace winchhall::cluster
