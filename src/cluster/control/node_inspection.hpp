// What operators may ask of a control node and do to the jobs that it leads.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/duration_histogram.hpp"
#include "cluster/scheduler/scheduler_views.hpp"

namespace winchhall::cluster {

// One service that this node leads, or led since the process started.
struct ServiceStatus {
  std::string service;
  bool leads = false;
  std::uint64_t epoch = 0;  // of the lease held; 0: not led here
  SchedulerStats stats;     // all zero where not led here
  std::uint64_t leases_acquired = 0;
  std::uint64_t leases_lost = 0;
  std::uint64_t pending_job_replies = 0;  // job calls whose changes are not durable yet
  DurationHistogram write_times;          // quorum rounds of changes of records
};

struct ControlStatus {
  std::string node;
  std::string zone;
  std::uint64_t member_id = 0;
  bool votes = false;
  bool has_quorum_contact = false;
  std::uint64_t configuration_version = 0;  // 0: none known yet
  wire::MemberRecord members;
  std::vector<wire::ShardLeader> leaders;
  std::vector<ServiceStatus> services;
};

// Who answers for a service. `redirect`: the node with this operator API; `unknown`: no node leads it now.
enum class LeadershipKind { here, redirect, unknown, no_such_service };

struct Leadership {
  LeadershipKind kind = LeadershipKind::no_such_service;
  std::string http_address;
};

// A job with the service that it belongs to.
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

enum class CancelOutcome { canceled, not_found, unavailable };

// `service` empty: all services led here.
class NodeInspection {
 public:
  virtual ~NodeInspection() = default;

  virtual ControlStatus status() const = 0;
  // False: this node hears no majority. What it knows of services and jobs may be old.
  virtual bool has_quorum_contact() const = 0;
  virtual Leadership leadership(const std::string& service) const = 0;
  virtual std::vector<ServiceJobs> jobs(const std::string& service, std::size_t limit) const = 0;
  virtual std::optional<ServiceJob> job(const std::string& service, const std::string& id) const = 0;
  virtual std::vector<ServiceLeaves> leaves(const std::string& service) const = 0;
  // `done` is called once, perhaps from within; `canceled` once that is durable, also for a job that had
  // ended before.
  virtual void cancel(const std::string& service, const std::string& id,
                      std::function<void(CancelOutcome)> done) = 0;
};

}  // namespace winchhall::cluster
