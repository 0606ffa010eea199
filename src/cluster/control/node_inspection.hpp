// What operators see of a control node, and what they can do to the jobs of services that it leads.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/duration_histogram.hpp"
#include "cluster/scheduler/scheduler_views.hpp"

namespace winchhall::cluster {

// One service that this node knows of, led by this node or by another one.
struct ServiceStatus {
  std::string service;
  bool leads = false;
  std::uint64_t epoch = 0;  // of the lease held; 0: this node doesn't lead it
  SchedulerStats stats;     // all zero where this node doesn't lead it
  std::uint64_t leases_acquired = 0;
  std::uint64_t leases_lost = 0;
  std::uint64_t pending_job_replies = 0;  // held back until their changes are durable
  DurationHistogram write_times;          // until changes of records were durable on a majority
};

// State of the node and of the control group, as far as this node knows it.
struct ControlStatus {
  std::string node;
  std::string zone;
  std::uint64_t member_id = 0;
  bool votes = false;                       // the node is a member whose answers count for a majority
  bool has_quorum_contact = false;          // a majority of the members answered within the last second
  std::uint64_t configuration_version = 0;  // 0: none known yet
  wire::MemberRecord members;
  std::vector<wire::ShardLeader> leaders;
  std::vector<ServiceStatus> services;
};

// Which node leads a service.
enum class LeadershipKind {
  this_node,        // this node
  other_node,       // another node, whose operator API is known
  unknown,          // no node, as far as is known here
  no_such_service,  // the configuration has no such service
};

struct Leadership {
  LeadershipKind kind = LeadershipKind::no_such_service;
  std::string http_address;  // of the leader's operator API, for `other_node`
};

// Jobs and leaves, each with the service that they belong to.
struct ServiceJob {
  std::string service;
  JobDetail detail;
};

struct ServiceJobs {
  std::string service;
  JobList list;
};

struct ServiceLeaves {
  std::string service;
  std::vector<LeafView> leaves;
};

// `unavailable`: the lease was lost; the job may or may not be canceled.
enum class CancelOutcome { canceled, not_found, unavailable };

// Access of the operator API and the metrics to a control node. Views are copies, made at the time of the
// call. All calls and callbacks happen on the event loop. An empty `service` means all services that this
// node leads.
class NodeInspection {
 public:
  virtual ~NodeInspection() = default;

  virtual ControlStatus status() const = 0;
  // False: no majority answered within the last second, so that what this node knows of services and jobs may
  // be out of date.
  virtual bool has_quorum_contact() const = 0;
  // Which node leads this service. `service` must not be empty.
  virtual Leadership leadership(const std::string& service) const = 0;
  // The newest jobs of each service that this node leads, at most `limit` of each.
  virtual std::vector<ServiceJobs> jobs(const std::string& service, std::size_t limit) const = 0;
  // None: no service that this node leads has such a job.
  virtual std::optional<ServiceJob> job(const std::string& service, const std::string& id) const = 0;
  // The leaves of each service that this node leads.
  virtual std::vector<ServiceLeaves> leaves(const std::string& service) const = 0;
  // Cancels a job. `done` is called once, perhaps from within this call; with `canceled` only once that is
  // durable, also for a job that had ended before.
  virtual void cancel(const std::string& service, const std::string& id,
                      std::function<void(CancelOutcome)> done) = 0;
};

}  // namespace winchhall::cluster
