#include "cluster/cli/control_responses.hpp"

#include <boost/json.hpp>
#include <string>

#include "cluster/cli/json_object_view.hpp"

namespace winchhall::cluster {

namespace json = boost::json;

namespace {

leaf::result<json::value> parse_body(const ControlResponse& response) {
  json::error_code error;
  json::value body = json::parse(response.body, error);
  if (error || !body.is_object()) return leaf::new_error(ControlUnavailable{"unreadable answer"});
  return body;
}

MemberInfo read_member(const JsonObjectView& fields) {
  return {fields.number("id"), fields.text("zone"), fields.text("address"), fields.text("http_address")};
}

LeaderInfo read_leader(const JsonObjectView& fields) {
  return {fields.text("shard"), fields.number("epoch"), fields.number("member"), fields.text("address")};
}

ServiceInfo read_service(const JsonObjectView& fields) {
  ServiceInfo service;
  service.service = fields.text("service");
  service.leads = fields.flag("leads");
  service.epoch = fields.number("epoch");
  service.jobs = fields.number("jobs");
  service.waiting = fields.number("waiting");
  service.running = fields.number("running");
  service.nodes = fields.number("nodes");
  return service;
}

JobInfo read_job(const JsonObjectView& fields, const std::string& service) {
  JobInfo job;
  job.service = service;
  job.id = fields.text("id");
  job.queue = fields.text("queue");
  job.state = fields.text("state");
  job.priority = fields.number("priority");
  job.runs = fields.number("runs");
  return job;
}

std::string read_labels(const JsonObjectView& fields) {
  std::string labels;
  for (const json::value& label : fields.list("labels")) {
    if (!label.is_string()) continue;
    if (!labels.empty()) labels += ',';
    labels += label.as_string().c_str();
  }
  return labels;
}

NodeInfo read_node(const JsonObjectView& fields, const std::string& service) {
  NodeInfo node;
  node.service = service;
  node.id = fields.text("id");
  node.node = fields.text("node");
  node.labels = read_labels(fields);
  node.cpu_reserved = fields.object("reserved").number("cpu");
  node.cpu = fields.object("capacity").number("cpu");
  node.runs = fields.number("runs");
  node.report_age_ms = fields.number("report_age_ms");
  node.draining = fields.flag("draining");
  return node;
}

InvalidInput read_invalid_input(const ControlResponse& response) {
  json::error_code ignored;
  const json::value body = json::parse(response.body, ignored);
  const JsonObjectView error = JsonObjectView(body).object("error");
  InvalidInput invalid{error.text("source"), error.text("field"), error.text("value"), error.text("allowed")};
  if (invalid.source.empty()) invalid.source = "request";
  if (invalid.allowed.empty())
    invalid.allowed = "see the operator API (status " + std::to_string(response.status) + ")";
  return invalid;
}

}  // namespace

leaf::result<StatusResponse> read_status(const ControlResponse& response) {
  BOOST_LEAF_AUTO(body, parse_body(response));
  const JsonObjectView fields(body);
  StatusResponse status;
  status.json = response.body;
  status.node = fields.text("node");
  status.zone = fields.text("zone");
  status.member_id = fields.number("member_id");
  status.votes = fields.flag("votes");
  status.has_quorum_contact = fields.flag("in_touch");
  status.configuration_version = fields.number("configuration_version");
  const JsonObjectView record = fields.object("member_record");
  status.member_epoch = record.number("epoch");
  for (const json::value& item : record.list("members"))
    status.members.push_back(read_member(JsonObjectView(item)));
  for (const json::value& item : fields.list("leaders"))
    status.leaders.push_back(read_leader(JsonObjectView(item)));
  for (const json::value& item : fields.list("services"))
    status.services.push_back(read_service(JsonObjectView(item)));
  return status;
}

leaf::result<std::vector<std::string>> read_services(const ControlResponse& response) {
  BOOST_LEAF_AUTO(body, parse_body(response));
  std::vector<std::string> services;
  for (const json::value& item : JsonObjectView(body).list("services")) {
    if (item.is_string()) services.emplace_back(item.as_string().c_str());
  }
  return services;
}

leaf::result<std::vector<JobInfo>> read_jobs(const ControlResponse& response) {
  BOOST_LEAF_AUTO(body, parse_body(response));
  std::vector<JobInfo> jobs;
  for (const json::value& item : JsonObjectView(body).list("services")) {
    const JsonObjectView service(item);
    for (const json::value& job : service.list("jobs")) {
      jobs.push_back(read_job(JsonObjectView(job), service.text("service")));
    }
  }
  return jobs;
}

leaf::result<std::vector<NodeInfo>> read_nodes(const ControlResponse& response) {
  BOOST_LEAF_AUTO(body, parse_body(response));
  std::vector<NodeInfo> nodes;
  for (const json::value& item : JsonObjectView(body).list("services")) {
    const JsonObjectView service(item);
    for (const json::value& node : service.list("nodes")) {
      nodes.push_back(read_node(JsonObjectView(node), service.text("service")));
    }
  }
  return nodes;
}

leaf::result<std::uint64_t> read_version(const ControlResponse& response) {
  BOOST_LEAF_AUTO(body, parse_body(response));
  return JsonObjectView(body).number("version");
}

leaf::result<ControlResponse> require_success(const ControlResponse& response, const std::string& what) {
  switch (response.status) {
    case 200:
      return response;
    case 404:
    case 410:
      return leaf::new_error(NotFound{what});
    case 409:
    case 412: {
      BOOST_LEAF_AUTO(current, read_version(response));
      return leaf::new_error(VersionConflict{current});
    }
    default:
      break;
  }
  if (response.status >= 400 && response.status < 500) return leaf::new_error(read_invalid_input(response));
  return leaf::new_error(ControlUnavailable{"answered " + std::to_string(response.status)});
}

}  // namespace winchhall::cluster
