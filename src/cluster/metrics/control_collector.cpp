#include "cluster/control/inspection_responses.hpp"
#include "cluster/metrics/collectors.hpp"

namespace winchhall::cluster {

namespace {

using ServiceValue = double (*)(const ServiceStatus&);

// A family with one sample for each service.
void collect_services(FamilyBuilder family, const std::vector<ServiceStatus>& services, ServiceValue number,
                      MetricFamilies& families) {
  for (const ServiceStatus& service : services) family.add(number(service), {{"service", service.service}});
  families.push_back(family.build());
}

void collect_group_contact(bool has_quorum_contact, std::uint64_t configuration_version,
                           MetricFamilies& families) {
  FamilyBuilder touch = gauge_family("winchhall_in_touch", "1 while a majority of the members answers.");
  touch.add(has_quorum_contact ? 1 : 0);
  families.push_back(touch.build());
  FamilyBuilder version = gauge_family("winchhall_configuration_version", "Newest configuration known.");
  version.add(static_cast<double>(configuration_version));
  families.push_back(version.build());
}

void collect_members(const ControlStatus& status, MetricFamilies& families) {
  FamilyBuilder members = gauge_family("winchhall_members", "Members of the control group.");
  members.add(status.members.members_size());
  families.push_back(members.build());
}

void collect_counters(const std::vector<ServiceStatus>& services, MetricFamilies& families) {
  collect_services(
      counter_family("winchhall_jobs_accepted_total", "Jobs accepted under the lease held."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.stats.counters.jobs_accepted); },
      families);
  collect_services(
      counter_family("winchhall_tasks_started_total", "Starts ordered under the lease held."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.stats.counters.tasks_started); },
      families);
  collect_services(
      counter_family("winchhall_worker_reports_total", "Reports of worker-agents under the lease held."),
      services,
      [](const ServiceStatus& service) { return static_cast<double>(service.stats.counters.reports); },
      families);
  collect_services(
      counter_family("winchhall_leases_acquired_total", "Times that this node took the lease."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.leases_acquired); }, families);
  collect_services(
      counter_family("winchhall_leases_lost_total", "Times that this node lost or released the lease."),
      services, [](const ServiceStatus& service) { return static_cast<double>(service.leases_lost); },
      families);
}

void collect_gauges(const std::vector<ServiceStatus>& services, MetricFamilies& families) {
  collect_services(
      gauge_family("winchhall_lease_held", "1 while this node leads the service."), services,
      [](const ServiceStatus& service) { return service.leads ? 1.0 : 0.0; }, families);
  collect_services(
      gauge_family("winchhall_jobs", "Jobs queued or running."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.stats.live_jobs); }, families);
  collect_services(
      gauge_family("winchhall_tasks_waiting", "Tasks that wait for room."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.stats.waiting_tasks); },
      families);
  collect_services(
      gauge_family("winchhall_tasks_running", "Runs that may exist on a leaf."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.stats.runs); }, families);
  collect_services(
      gauge_family("winchhall_leaves", "Leaves known."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.stats.leaves); }, families);
  collect_services(
      gauge_family("winchhall_job_answers_waiting", "Job calls whose changes are not durable yet."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.pending_job_replies); },
      families);
}

void collect_ends(const std::vector<ServiceStatus>& services, MetricFamilies& families) {
  FamilyBuilder ends = counter_family("winchhall_task_ends_total", "Ends of runs by kind.");
  for (const ServiceStatus& service : services) {
    for (std::size_t kind = 0; kind < kEndKinds; ++kind) {
      ends.add(static_cast<double>(service.stats.counters.ends[kind]),
               {{"service", service.service}, {"kind", end_kind_name(static_cast<wire::EndKind>(kind))}});
    }
  }
  families.push_back(ends.build());
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
  collect_members(status, families);
  collect_counters(status.services, families);
  collect_gauges(status.services, families);
  collect_ends(status.services, families);
  collect_write_times(status.services, families);
}

}  // namespace winchhall::cluster
