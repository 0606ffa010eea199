#include "cluster/control/inspection_responses.hpp"
#include "cluster/metrics/collectors.hpp"

namespace winchhall::cluster {

namespace {

using prometheus::MetricType;

// Definition of a metric family with one sample for each service.
struct ServiceMetric {
  MetricType type;
  const char* name;
  const char* help;
  std::uint64_t (*value)(const ServiceStatus&);
};

constexpr ServiceMetric kServiceMetrics[] = {
    {MetricType::Counter, "winchhall_jobs_accepted_total", "Jobs accepted under the lease held.",
     [](const ServiceStatus& service) { return service.stats.counters.jobs_accepted; }},
    {MetricType::Counter, "winchhall_tasks_started_total", "Starts ordered under the lease held.",
     [](const ServiceStatus& service) { return service.stats.counters.tasks_started; }},
    {MetricType::Counter, "winchhall_worker_reports_total", "Reports of worker-agents under the lease held.",
     [](const ServiceStatus& service) { return service.stats.counters.reports; }},
    {MetricType::Counter, "winchhall_runs_adopted_total",
     "Runs found on leaves that an earlier leader had ordered.",
     [](const ServiceStatus& service) { return service.stats.counters.runs_adopted; }},
    {MetricType::Counter, "winchhall_surplus_runs_total",
     "Adopted runs ordered to stop in favour of a newer run of their task.",
     [](const ServiceStatus& service) { return service.stats.counters.surplus_runs; }},
    {MetricType::Counter, "winchhall_unexpected_runs_total",
     "Runs reported beside another one that this leader had ordered, or of a job that it does not know.",
     [](const ServiceStatus& service) { return service.stats.counters.unexpected_runs; }},
    {MetricType::Counter, "winchhall_leaf_leases_expired_total",
     "Execution leases of leaves that expired under the lease held.",
     [](const ServiceStatus& service) { return service.stats.counters.leaf_leases_expired; }},
    {MetricType::Counter, "winchhall_leases_acquired_total", "Times that this node took the lease.",
     [](const ServiceStatus& service) { return service.leases_acquired; }},
    {MetricType::Counter, "winchhall_leases_lost_total", "Times that this node lost or released the lease.",
     [](const ServiceStatus& service) { return service.leases_lost; }},
    {MetricType::Gauge, "winchhall_lease_held", "1 while this node leads the service.",
     [](const ServiceStatus& service) { return std::uint64_t{service.leads ? 1u : 0u}; }},
    {MetricType::Gauge, "winchhall_jobs", "Jobs queued or running.",
     [](const ServiceStatus& service) { return service.stats.live_jobs; }},
    {MetricType::Gauge, "winchhall_tasks_waiting", "Tasks that wait for room.",
     [](const ServiceStatus& service) { return service.stats.waiting_tasks; }},
    {MetricType::Gauge, "winchhall_tasks_running", "Runs that may exist on a leaf.",
     [](const ServiceStatus& service) { return service.stats.runs; }},
    {MetricType::Gauge, "winchhall_leaves", "Leaves known.",
     [](const ServiceStatus& service) { return service.stats.leaves; }},
    {MetricType::Gauge, "winchhall_leaves_awaited",
     "Leaves whose reports a new leader waits for before it starts tasks of earlier leaders' jobs.",
     [](const ServiceStatus& service) { return service.stats.unsynchronized_leaves; }},
    {MetricType::Gauge, "winchhall_job_answers_waiting", "Job calls whose changes are not durable yet.",
     [](const ServiceStatus& service) { return service.pending_job_replies; }},
};

void collect_service_metric(const ServiceMetric& metric, const std::vector<ServiceStatus>& services,
                            MetricFamilies& families) {
  FamilyBuilder family(metric.name, metric.help, metric.type);
  for (const ServiceStatus& service : services) {
    family.add(static_cast<double>(metric.value(service)), {{"service", service.service}});
  }
  families.push_back(family.build());
}

void collect_gauge(const char* name, const char* help, double value, MetricFamilies& families) {
  FamilyBuilder family = gauge_family(name, help);
  family.add(value);
  families.push_back(family.build());
}

void collect_group_contact(bool has_quorum_contact, std::uint64_t configuration_version,
                           MetricFamilies& families) {
  collect_gauge("winchhall_in_touch", "1 while a majority of the members answers.",
                has_quorum_contact ? 1 : 0, families);
  collect_gauge("winchhall_configuration_version", "Newest configuration known.",
                static_cast<double>(configuration_version), families);
}

void collect_run_ends(const std::vector<ServiceStatus>& services, MetricFamilies& families) {
  FamilyBuilder ends = counter_family("winchhall_task_ends_total", "Ends of runs by kind.");
  for (const ServiceStatus& service : services) {
    for (std::size_t kind = 0; kind < kEndKindCount; ++kind) {
      ends.add(static_cast<double>(service.stats.counters.ends[kind]),
               {{"service", service.service}, {"kind", end_kind_name(static_cast<wire::EndKind>(kind))}});
    }
  }
  families.push_back(ends.build());
}

void collect_lost_runs(const std::vector<ServiceStatus>& services, MetricFamilies& families) {
  constexpr RunLossReason kReasons[] = {RunLossReason::missing, RunLossReason::lease_expired,
                                        RunLossReason::incarnation_ended};
  FamilyBuilder lost =
      counter_family("winchhall_runs_lost_total", "Runs given up without a report of their end, by reason.");
  for (const ServiceStatus& service : services) {
    for (const RunLossReason reason : kReasons) {
      lost.add(static_cast<double>(service.stats.counters.lost_runs[static_cast<std::size_t>(reason)]),
               {{"service", service.service}, {"reason", run_loss_reason_name(reason)}});
    }
  }
  families.push_back(lost.build());
}

void collect_write_times(const std::vector<ServiceStatus>& services, MetricFamilies& families) {
  FamilyBuilder times = histogram_family("winchhall_quorum_write_seconds",
                                         "Time until changes of records were durable on a majority.");
  for (const ServiceStatus& service : services) {
    times.add(service.write_times, {{"service", service.service}});
  }
  families.push_back(times.build());
}

}  // namespace

void collect_agent(bool has_quorum_contact, std::uint64_t configuration_version, MetricFamilies& families) {
  collect_group_contact(has_quorum_contact, configuration_version, families);
}

void collect_control(const ControlStatus& status, MetricFamilies& families) {
  collect_group_contact(status.has_quorum_contact, status.configuration_version, families);
  collect_gauge("winchhall_members", "Members of the control group.", status.members.members_size(),
                families);
  for (const ServiceMetric& metric : kServiceMetrics) {
    collect_service_metric(metric, status.services, families);
  }
  collect_run_ends(status.services, families);
  collect_lost_runs(status.services, families);
  collect_write_times(status.services, families);
}

}  // namespace winchhall::cluster
