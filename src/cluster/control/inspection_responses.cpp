#include "cluster/control/inspection_responses.hpp"

#include <boost/json.hpp>

namespace winchhall::cluster {

namespace json = boost::json;

namespace {

const char* job_state_name(wire::JobState state) {
  switch (state) {
    case wire::JOB_QUEUED:
      return "queued";
    case wire::JOB_RUNNING:
      return "running";
    case wire::JOB_COMPLETED:
      return "completed";
    case wire::JOB_FAILED:
      return "failed";
    case wire::JOB_CANCELED:
      return "canceled";
    default:
      return "unknown";
  }
}

template <typename Items, typename Convert>
json::array array_of(const Items& items, Convert convert) {
  json::array array;
  for (const auto& item : items) array.emplace_back(convert(item));
  return array;
}

json::object member_json(const wire::Member& member) {
  return {{"id", member.id()},
          {"address", member.address()},
          {"http_address", member.http_address()},
          {"zone", member.zone()}};
}

json::object leader_json(const wire::ShardLeader& leader) {
  return {{"shard", leader.shard()},
          {"epoch", leader.epoch()},
          {"member", leader.holder()},
          {"address", leader.address()}};
}

json::object ends_json(const SchedulerCounters& counters) {
  json::object ends;
  for (std::size_t kind = 0; kind < kEndKindCount; ++kind) {
    ends[end_kind_name(static_cast<wire::EndKind>(kind))] = counters.ends[kind];
  }
  return ends;
}

json::object service_json(const ServiceStatus& service) {
  const SchedulerStats& stats = service.stats;
  return {{"service", service.service},
          {"leads", service.leads},
          {"epoch", service.epoch},
          {"jobs", stats.live_jobs},
          {"waiting", stats.waiting_tasks},
          {"running", stats.runs},
          {"nodes", stats.leaves},
          {"jobs_accepted", stats.counters.jobs_accepted},
          {"tasks_started", stats.counters.tasks_started},
          {"reports", stats.counters.reports},
          {"ends", ends_json(stats.counters)},
          {"leases_acquired", service.leases_acquired},
          {"leases_lost", service.leases_lost}};
}

json::object job_json(const JobView& job) {
  return {{"id", job.id},
          {"queue", job.queue},
          {"state", job_state_name(job.state)},
          {"priority", job.priority},
          {"accepted_ms", job.accepted_wall_ms},
          {"repeats", job.repeats},
          {"repeats_done", job.repeats_done},
          {"runs", job.runs}};
}

json::object stage_json(const StageView& stage) {
  return {{"repeat", stage.repeat}, {"stage", stage.number},    {"tasks", stage.tasks},
          {"done", stage.done},     {"waiting", stage.waiting}, {"failures", stage.failures}};
}

json::object run_json(const RunView& run) {
  return {{"task", run.task},
          {"run", run.run},
          {"node", run.leaf},
          {"percent", run.percent},
          {"stopping", run.stopping}};
}

json::object resources_json(const ResourcesView& resources) {
  return {{"cpu", resources.cpu}, {"mem_mb", resources.mem_mb}, {"gpu", resources.gpu}};
}

json::object leaf_json(const LeafView& leaf) {
  return {{"id", leaf.id},
          {"node", leaf.node},
          {"labels", array_of(leaf.labels, [](const std::string& label) { return json::string(label); })},
          {"capacity", resources_json(leaf.capacity)},
          {"reserved", resources_json(leaf.reserved)},
          {"runs", leaf.runs},
          {"draining", leaf.draining},
          {"reported", leaf.reported},
          {"report_age_ms", leaf.report_age_ms}};
}

HttpResponse serialized_response(unsigned status, const json::object& body) {
  return json_response(status, json::serialize(body));
}

}  // namespace

const char* run_loss_reason_name(RunLossReason reason) {
  switch (reason) {
    case RunLossReason::missing:
      return "missing";
    case RunLossReason::lease_expired:
      return "lease_expired";
    case RunLossReason::incarnation_ended:
      return "incarnation_ended";
    case RunLossReason::none:
      break;
  }
  return "none";
}

const char* end_kind_name(wire::EndKind kind) {
  switch (kind) {
    case wire::END_DONE:
      return "done";
    case wire::END_FAILED:
      return "failed";
    case wire::END_STOPPED:
      return "stopped";
    case wire::END_LAPSED:
      return "lapsed";
    case wire::END_BROKEN:
      return "broken";
    case wire::END_ALONE:
      return "alone";
    case wire::END_REFUSED:
      return "refused";
    default:
      return "unknown";
  }
}

HttpResponse no_quorum_contact_response() {
  return error_response(503, {"control node", "in_touch", "false", "a node that hears a majority"});
}

HttpResponse status_response(const ControlStatus& status) {
  json::object member_record{{"epoch", status.members.epoch()},
                             {"members", array_of(status.members.members(), member_json)}};
  return serialized_response(200, {{"node", status.node},
                                   {"zone", status.zone},
                                   {"member_id", status.member_id},
                                   {"votes", status.votes},
                                   {"in_touch", status.has_quorum_contact},
                                   {"configuration_version", status.configuration_version},
                                   {"member_record", std::move(member_record)},
                                   {"leaders", array_of(status.leaders, leader_json)},
                                   {"services", array_of(status.services, service_json)}});
}

HttpResponse jobs_response(const std::vector<ServiceJobs>& services) {
  const auto convert = [](const ServiceJobs& jobs) {
    return json::object{
        {"service", jobs.service}, {"total", jobs.list.total}, {"jobs", array_of(jobs.list.jobs, job_json)}};
  };
  return serialized_response(200, {{"services", array_of(services, convert)}});
}

HttpResponse job_response(const ServiceJob& job) {
  json::object body = job_json(job.detail.job);
  body["service"] = job.service;
  body["stages"] = array_of(job.detail.stages, stage_json);
  body["running"] = array_of(job.detail.runs, run_json);
  return serialized_response(200, body);
}

HttpResponse nodes_response(const std::vector<ServiceLeaves>& services) {
  const auto convert = [](const ServiceLeaves& leaves) {
    return json::object{{"service", leaves.service}, {"nodes", array_of(leaves.leaves, leaf_json)}};
  };
  return serialized_response(200, {{"services", array_of(services, convert)}});
}

HttpResponse services_response(const std::set<std::string>& services) {
  const auto convert = [](const std::string& service) { return json::string(service); };
  return serialized_response(200, {{"services", array_of(services, convert)}});
}

HttpResponse job_not_found_response(const std::string& id) {
  return error_response(404, {"jobs", "id", id, "a job of a service led by this node"});
}

HttpResponse cancel_response(CancelOutcome outcome, const std::string& id) {
  switch (outcome) {
    case CancelOutcome::canceled:
      return serialized_response(200, {{"id", id}});
    case CancelOutcome::not_found:
      return job_not_found_response(id);
    case CancelOutcome::unavailable:
      break;
  }
  return json_response(503, "{}");
}

HttpResponse redirect_response(const std::string& http_address, const std::string& target) {
  HttpResponse response = json_response(307, "{}");
  response.set(boost::beast::http::field::location, "http://" + http_address + target);
  return response;
}

}  // namespace winchhall::cluster
