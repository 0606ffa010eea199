#include "cluster/cli/control_responses.hpp"

#include <boost/json.hpp>
#include <string_view>

namespace winchhall::cluster {

namespace json = boost::json;

namespace {

// Reads fields of an object; a value that is none has no fields.
class Fields {
 public:
  explicit Fields(const json::value& value) : object_(value.if_object()) {}

  const json::value* find(std::string_view name) const {
    return object_ ? object_->if_contains(name) : nullptr;
  }

  std::string text(std::string_view name) const {
    const json::value* value = find(name);
    const json::string* text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string();
  }

  std::uint64_t number(std::string_view name) const {
    const json::value* value = find(name);
    if (!value) return 0;
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
  }

  bool flag(std::string_view name) const {
    const json::value* value = find(name);
    const bool* flag = value ? value->if_bool() : nullptr;
    return flag && *flag;
  }

  json::array list(std::string_view name) const {
    const json::value* value = find(name);
    const json::array* list = value ? value->if_array() : nullptr;
    return list ? *list : json::array();
  }

  Fields inner(std::string_view name) const {
    static const json::value kNone;
    const json::value* value = find(name);
    return Fields(value ? *value : kNone);
  }

 private:
  const json::object* object_;
};

leaf::result<json::value> parse_body(const ControlResponse& answer) {
  json::error_code error;
  json::value body = json::parse(answer.body, error);
  if (error || !body.is_object()) return leaf::new_error(ControlUnavailable{"unreadable answer"});
  return body;
}

MemberInfo read_member(const Fields& fields) {
  return {fields.number("id"), fields.text("zone"), fields.text("address"), fields.text("http_address")};
}

LeaderInfo read_leader(const Fields& fields) {
  return {fields.text("shard"), fields.number("epoch"), fields.number("member"), fields.text("address")};
}

ServiceInfo read_service(const Fields& fields) {
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

JobInfo read_job(const Fields& fields, const std::string& service) {
  JobInfo job;
  job.service = service;
  job.id = fields.text("id");
  job.queue = fields.text("queue");
  job.state = fields.text("state");
  job.priority = fields.number("priority");
  job.runs = fields.number("runs");
  return job;
}

std::string read_labels(const Fields& fields) {
  std::string labels;
  for (const json::value& label : fields.list("labels")) {
    if (!label.is_string()) continue;
    if (!labels.empty()) labels += ',';
    labels += label.as_string().c_str();
  }
  return labels;
}

NodeInfo read_node(const Fields& fields, const std::string& service) {
  NodeInfo node;
  node.service = service;
  node.id = fields.text("id");
  node.node = fields.text("node");
  node.labels = read_labels(fields);
  node.cpu_reserved = fields.inner("reserved").number("cpu");
  node.cpu = fields.inner("capacity").number("cpu");
  node.runs = fields.number("runs");
  node.report_age_ms = fields.number("report_age_ms");
  node.draining = fields.flag("draining");
  return node;
}

InvalidInput read_invalid_input(const ControlResponse& answer) {
  json::error_code ignored;
  const json::value body = json::parse(answer.body, ignored);
  const Fields error = Fields(body).inner("error");
  InvalidInput invalid{error.text("source"), error.text("field"), error.text("value"), error.text("allowed")};
  if (invalid.source.empty()) invalid.source = "request";
  if (invalid.allowed.empty())
    invalid.allowed = "see the operator API (status " + std::to_string(answer.status) + ")";
  return invalid;
}

}  // namespace

leaf::result<StatusResponse> read_status(const ControlResponse& answer) {
  BOOST_LEAF_AUTO(body, parse_body(answer));
  const Fields fields(body);
  StatusResponse status;
  status.json = answer.body;
  status.node = fields.text("node");
  status.zone = fields.text("zone");
  status.member_id = fields.number("member_id");
  status.votes = fields.flag("votes");
  status.in_touch = fields.flag("in_touch");
  status.configuration_version = fields.number("configuration_version");
  const Fields record = fields.inner("member_record");
  status.member_epoch = record.number("epoch");
  for (const json::value& item : record.list("members")) status.members.push_back(read_member(Fields(item)));
  for (const json::value& item : fields.list("leaders")) status.leaders.push_back(read_leader(Fields(item)));
  for (const json::value& item : fields.list("services"))
    status.services.push_back(read_service(Fields(item)));
  return status;
}

leaf::result<std::vector<JobInfo>> read_jobs(const ControlResponse& answer) {
  BOOST_LEAF_AUTO(body, parse_body(answer));
  std::vector<JobInfo> jobs;
  for (const json::value& item : Fields(body).list("services")) {
    const Fields service(item);
    for (const json::value& job : service.list("jobs")) {
      jobs.push_back(read_job(Fields(job), service.text("service")));
    }
  }
  return jobs;
}

leaf::result<std::vector<NodeInfo>> read_nodes(const ControlResponse& answer) {
  BOOST_LEAF_AUTO(body, parse_body(answer));
  std::vector<NodeInfo> nodes;
  for (const json::value& item : Fields(body).list("services")) {
    const Fields service(item);
    for (const json::value& node : service.list("nodes")) {
      nodes.push_back(read_node(Fields(node), service.text("service")));
    }
  }
  return nodes;
}

leaf::result<std::uint64_t> read_version(const ControlResponse& answer) {
  BOOST_LEAF_AUTO(body, parse_body(answer));
  return Fields(body).number("version");
}

leaf::result<ControlResponse> require_success(const ControlResponse& answer, const std::string& what) {
  switch (answer.status) {
    case 200:
      return answer;
    case 404:
    case 410:
      return leaf::new_error(NotFound{what});
    case 409:
    case 412: {
      BOOST_LEAF_AUTO(current, read_version(answer));
      return leaf::new_error(VersionConflict{current});
    }
    default:
      break;
  }
  if (answer.status >= 400 && answer.status < 500) return leaf::new_error(read_invalid_input(answer));
  return leaf::new_error(ControlUnavailable{"answered " + std::to_string(answer.status)});
}

}  // namespace winchhall::cluster
