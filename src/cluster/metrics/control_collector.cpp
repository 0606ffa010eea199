#include "cluster/control/inspection_answers.hpp"
#include "cluster/metrics/collectors.hpp"

namespace winchhall::cluster {

namespace {

using ServiceNumber = double (*)(const ServiceStatus&);

// A family with one sample for each service.
void collect_services(FamilyBuilder family, const std::vector<ServiceStatus>& services, ServiceNumber number,
                      MetricFamilies& families) {
  for (const ServiceStatus& service : services) family.add(number(service), {{"service", service.service}});
  families.push_back(family.take());
}

void collect_link(bool in_touch, std::uint64_t configuration_version, MetricFamilies& families) {
  FamilyBuilder touch = gauge_family("winchhall_in_touch", "1 while a majority of the members answers.");
  touch.add(in_touch ? 1 : 0);
  families.push_back(touch.take());
  FamilyBuilder version = gauge_family("winchhall_configuration_version", "Newest configuration known.");
  version.add(static_cast<double>(configuration_version));
  families.push_back(version.take());
}

void collect_members(const ControlStatus& status, MetricFamilies& families) {
  FamilyBuilder members = gauge_family("winchhall_members", "Members of the control group.");
  members.add(status.members.members_size());
  families.push_back(members.take());
}

void collect_counters(const std::vector<ServiceStatus>& services, MetricFamilies& families) {
  collect_services(
      counter_family("winchhall_jobs_accepted_total", "Jobs accepted under the lease held."), services,
      [](const ServiceStatus& service) {
        return static_cast<double>(service.figures.counters.jobs_accepted);
      },
      families);
  collect_services(
      counter_family("winchhall_tasks_started_total", "Starts ordered under the lease held."), services,
      [](const ServiceStatus& service) {
        return static_cast<double>(service.figures.counters.tasks_started);
      },
      families);
  collect_services(
      counter_family("winchhall_worker_reports_total", "Reports of worker-agents under the lease held."),
      services,
      [](const ServiceStatus& service) { return static_cast<double>(service.figures.counters.reports); },
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
      [](const ServiceStatus& service) { return static_cast<double>(service.figures.live_jobs); }, families);
  collect_services(
      gauge_family("winchhall_tasks_waiting", "Tasks that wait for room."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.figures.waiting_tasks); },
      families);
  collect_services(
      gauge_family("winchhall_tasks_running", "Runs that may exist on a leaf."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.figures.runs); }, families);
  collect_services(
      gauge_family("winchhall_leaves", "Leaves known."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.figures.leaves); }, families);
  collect_services(
      gauge_family("winchhall_job_answers_waiting", "Job calls whose changes are not durable yet."), services,
      [](const ServiceStatus& service) { return static_cast<double>(service.answers_waiting); }, families);
}

void collect_ends(const std::vector<ServiceStatus>& services, MetricFamilies& families) {
  FamilyBuilder ends = counter_family("winchhall_task_ends_total", "Ends of runs by kind.");
  for (const ServiceStatus& service : services) {
    for (std::size_t kind = 0; kind < kEndKinds; ++kind) {
      ends.add(static_cast<double>(service.figures.counters.ends[kind]),
               {{"service", service.service}, {"kind", end_kind_name(static_cast<wire::EndKind>(kind))}});
    }
  }
  families.push_back(ends.take());
}

void collect_write_times(const std::vector<ServiceStatus>& services, MetricFamilies& families) {
  FamilyBuilder times = histogram_family("winchhall_quorum_write_seconds",
                                         "Time until changes of records were durable on a majority.");
  for (const ServiceStatus& service : services) {
    times.add(service.write_times, {{"service", service.service}});
  }
  families.push_back(times.take());
}

}  // namespace

void collect_agent(bool in_touch, std::uint64_t configuration_version, MetricFamilies& families) {
  collect_link(in_touch, configuration_version, families);
}

void collect_control(const ControlStatus& status, MetricFamilies& families) {
  collect_link(status.in_touch, status.configuration_version, families);
  collect_members(status, families);
  collect_counters(status.services, families);
  collect_gauges(status.services, families);
  collect_ends(status.services, families);
  collect_write_times(status.services, families);
}

}  // namespace winchhall::cluster
