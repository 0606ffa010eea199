// Interface through which operators inspect a control node and cancel jobs of the services that it leads.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/duration_histogram.hpp"
#include "cluster/scheduler/scheduler_views.hpp"

namespace winchhall::cluster {

// State of one service that this node knows, led by this node or another one.
struct ServiceStatus {
  std::string service;
  bool leads = false;
  std::uint64_t epoch = 0;  // of the lease that this node holds; 0 if it doesn't lead the service
  SchedulerStats stats;     // all zero if this node doesn't lead the service
  std::uint64_t leases_acquired = 0;
  std::uint64_t leases_lost = 0;
  std::uint64_t pending_job_replies = 0;  // replies held back until their changes are durable
  DurationHistogram write_times;  // from the sending of record changes until a majority had them durable
};

// State of the node, and of the control group as known to this node.
struct ControlStatus {
  std::string node;
  std::string zone;
  std::uint64_t member_id = 0;
  bool votes = false;                       // the node is a member whose answers count for a majority
  bool has_quorum_contact = false;          // a majority of the members answered within the last second
  std::uint64_t configuration_version = 0;  // newest one known; 0 if none is known yet
  wire::MemberRecord members;
  std::vector<wire::ShardLeader> leaders;
  std::vector<ServiceStatus> services;
};

// Location of the leader of a service.
enum class LeadershipKind {
  this_node,        // this node
  other_node,       // another node with a known operator API
  unknown,          // this node knows no leader
  no_such_service,  // the configuration has no such service
};

// Location of a service's leader, with its address if it is another node.
struct Leadership {
  LeadershipKind kind = LeadershipKind::no_such_service;
  std::string http_address;  // of the leader's operator API, for `other_node`
};

// A job, with the service that it belongs to.
struct ServiceJob {
  std::string service;
  JobDetail detail;
};

// The newest jobs of one service.
struct ServiceJobs {
  std::string service;
  JobList list;
};

// The leaves of one service.
struct ServiceLeaves {
  std::string service;
  std::vector<LeafView> leaves;
};

// Outcome of a request to cancel a job.
enum class CancelOutcome {
  canceled,
  not_found,
  unavailable  // the lease was lost: the job may or may not be canceled
};

// Access of the operator API and the metrics to a control node. The results are copies of the state at the
// time of the call. All calls and callbacks happen on the event loop. An empty `service` stands for all
// services that this node leads.
class NodeInspection {
 public:
  virtual ~NodeInspection() = default;

  virtual ControlStatus status() const = 0;
  // Returns false if no majority answered within the last second. Then this node's state of services and jobs
  // may be out of date.
  virtual bool has_quorum_contact() const = 0;
  // Returns where the leader of `service` is. `service` must not be empty.
  virtual Leadership leadership(const std::string& service) const = 0;
  // Returns the newest jobs of each service that this node leads, at most `limit` for each service.
  virtual std::vector<ServiceJobs> jobs(const std::string& service, std::size_t limit) const = 0;
  // Returns a job, or nothing if no service that this node leads has a job with this id.
  virtual std::optional<ServiceJob> job(const std::string& service, const std::string& id) const = 0;
  // Returns the leaves of each service that this node leads.
  virtual std::vector<ServiceLeaves> leaves(const std::string& service) const = 0;
  // Cancels a job. `done` is called exactly once, possibly before this call returns. `canceled` is reported
  // only once it is durable, also for a job that had already ended.
  virtual void cancel(const std::string& service, const std::string& id,
                      std::function<void(CancelOutcome)> done) = 0;
};

}  // namespace winchhall::cluster
