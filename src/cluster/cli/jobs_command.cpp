// Commands to the leaders of services: `jobs list`, `jobs show ID`, `jobs cancel ID` and `nodes`.
#include <boost/json.hpp>
#include <optional>

#include "cluster/cli/leader_calls.hpp"
#include "cluster/cli/operator_commands.hpp"
#include "cluster/cli/text_table.hpp"

namespace winchhall::cluster {

namespace {

namespace http = boost::beast::http;

// Merges the responses of several leaders, each of the form {"services":[...]}, into one.
class MergedServices {
 public:
  void add(const ControlResponse& response) {
    boost::json::error_code ignored;
    const boost::json::value body = boost::json::parse(response.body, ignored);
    const boost::json::object* object = body.if_object();
    const boost::json::value* list = object ? object->if_contains("services") : nullptr;
    if (!list || !list->is_array()) return;
    for (const boost::json::value& service : list->as_array()) services_.push_back(service);
  }
  std::string json() const { return boost::json::serialize(boost::json::object{{"services", services_}}); }

 private:
  boost::json::array services_;
};

// Calls the leaders of all selected services and merges their responses.
leaf::result<ControlResponse> call_all_leaders(const CommandLine& line, ControlClient& client,
                                               const std::string& path, const std::string& query) {
  BOOST_LEAF_AUTO(services, resolve_services(line, client));
  MergedServices merged;
  for (const std::string& service : services) {
    ControlRequest request;
    request.target = path;
    BOOST_LEAF_AUTO(response, call_leader(client, request, service, query));
    BOOST_LEAF_AUTO(success, require_success(response, "service " + service));
    merged.add(success);
  }
  return ControlResponse{200, merged.json()};
}

// Calls the leaders of the selected services, one after another, until one knows the job.
leaf::result<ControlResponse> call_leader_of_job(const CommandLine& line, ControlClient& client,
                                                 const ControlRequest& request, const std::string& id) {
  BOOST_LEAF_AUTO(services, resolve_services(line, client));
  for (const std::string& service : services) {
    BOOST_LEAF_AUTO(response, call_leader(client, request, service));
    if (response.status != 404) return require_success(response, "job " + id);
  }
  return leaf::new_error(NotFound{"job " + id});
}

leaf::result<void> list_jobs(const CommandLine& line, ControlClient& client, std::ostream& out) {
  BOOST_LEAF_AUTO(response,
                  call_all_leaders(line, client, "/v1/jobs", "limit=" + std::to_string(line.limit)));
  if (line.json) {
    out << response.body << '\n';
    return {};
  }
  BOOST_LEAF_AUTO(jobs, read_jobs(response));
  TextTable table({"SERVICE", "ID", "QUEUE", "STATE", "PRIORITY", "RUNS"});
  for (const JobInfo& job : jobs) {
    table.add(
        {job.service, job.id, job.queue, job.state, std::to_string(job.priority), std::to_string(job.runs)});
  }
  table.print(out);
  return {};
}

leaf::result<void> show_job(const CommandLine& line, ControlClient& client, std::ostream& out) {
  const std::string id = line.argument(2);
  BOOST_LEAF_CHECK(check_path_text("ID", id));
  ControlRequest request;
  request.target = "/v1/jobs/" + id;
  BOOST_LEAF_AUTO(response, call_leader_of_job(line, client, request, id));
  out << response.body << '\n';
  return {};
}

leaf::result<void> cancel_job(const CommandLine& line, ControlClient& client, std::ostream& out) {
  const std::string id = line.argument(2);
  BOOST_LEAF_CHECK(check_path_text("ID", id));
  ControlRequest request;
  request.method = http::verb::post;
  request.target = "/v1/jobs/" + id + "/cancel";
  BOOST_LEAF_AUTO(response, call_leader_of_job(line, client, request, id));
  out << response.body << '\n';
  return {};
}

}  // namespace

leaf::result<void> run_jobs_command(const CommandLine& line, ControlClient& client, std::ostream& out) {
  const std::string verb = line.argument(1);
  if (verb == "list" && line.arguments.size() == 2) return list_jobs(line, client, out);
  if (verb == "show" && line.arguments.size() == 3) return show_job(line, client, out);
  if (verb == "cancel" && line.arguments.size() == 3) return cancel_job(line, client, out);
  return leaf::new_error(UsageError{"jobs list, jobs show ID or jobs cancel ID"});
}

leaf::result<void> run_nodes_command(const CommandLine& line, ControlClient& client, std::ostream& out) {
  BOOST_LEAF_AUTO(response, call_all_leaders(line, client, "/v1/nodes", ""));
  if (line.json) {
    out << response.body << '\n';
    return {};
  }
  BOOST_LEAF_AUTO(nodes, read_nodes(response));
  TextTable table({"SERVICE", "LEAF", "NODE", "LABELS", "CPU", "RUNS", "DRAINING", "REPORT_AGE_MS"});
  for (const NodeInfo& node : nodes) {
    table.add({node.service, node.id, node.node, node.labels,
               std::to_string(node.cpu_reserved) + "/" + std::to_string(node.cpu), std::to_string(node.runs),
               node.draining ? "yes" : "no", std::to_string(node.report_age_ms)});
  }
  table.print(out);
  return {};
}

}  // namespace winchhall::cluster
