// Answers of the operator API, read into types; fields that are missing read as zero or empty, so that two
// versions of the program talk to each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/cli/control_client.hpp"

namespace winchhall::cluster {

struct MemberAnswer {
  std::uint64_t id = 0;
  std::string zone;
  std::string address;
  std::string http_address;
};

struct LeaderAnswer {
  std::string shard;
  std::uint64_t epoch = 0;
  std::uint64_t member = 0;
  std::string address;
};

struct ServiceAnswer {
  std::string service;
  bool leads = false;
  std::uint64_t epoch = 0;
  std::uint64_t jobs = 0;
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  std::uint64_t nodes = 0;
};

struct StatusAnswer {
  std::string node;
  std::string zone;
  std::uint64_t member_id = 0;
  bool votes = false;
  bool in_touch = false;
  std::uint64_t configuration_version = 0;
  std::uint64_t member_epoch = 0;
  std::vector<MemberAnswer> members;
  std::vector<LeaderAnswer> leaders;
  std::vector<ServiceAnswer> services;
  std::string json;  // as answered
};

struct JobAnswer {
  std::string service;
  std::string id;
  std::string queue;
  std::string state;
  std::uint64_t priority = 0;
  std::uint64_t runs = 0;
};

struct NodeAnswer {
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
leaf::result<StatusAnswer> read_status(const ControlAnswer& answer);
leaf::result<std::vector<JobAnswer>> read_jobs(const ControlAnswer& answer);
leaf::result<std::vector<NodeAnswer>> read_nodes(const ControlAnswer& answer);
// Version of a whole configuration or of the answer to a change.
leaf::result<std::uint64_t> read_version(const ControlAnswer& answer);

// The answer if it is a 200; else the error that its status means: InvalidInput, VersionConflict, NotFound
// (of `what`), ControlUnavailable.
leaf::result<ControlAnswer> require_success(const ControlAnswer& answer, const std::string& what);

}  // namespace winchhall::cluster
