// `jobs list`, `jobs show ID`, `jobs cancel ID`, `nodes`: what leaders of services know.
#include <boost/json.hpp>
#include <optional>

#include "cluster/cli/leader_calls.hpp"
#include "cluster/cli/operator_commands.hpp"
#include "cluster/cli/text_table.hpp"

namespace winchhall::cluster {

namespace {

namespace http = boost::beast::http;

// Answers of several leaders with {"services":[...]} as one.
class MergedServices {
 public:
  void add(const ControlResponse& answer) {
    boost::json::error_code ignored;
    const boost::json::value body = boost::json::parse(answer.body, ignored);
    const boost::json::object* object = body.if_object();
    const boost::json::value* list = object ? object->if_contains("services") : nullptr;
    if (!list || !list->is_array()) return;
    for (const boost::json::value& service : list->as_array()) services_.push_back(service);
  }
  std::string json() const { return boost::json::serialize(boost::json::object{{"services", services_}}); }

 private:
  boost::json::array services_;
};

// Asks all leaders for a list of theirs.
leaf::result<ControlResponse> ask_all(const CommandLine& line, ControlClient& client, const std::string& path,
                                      const std::string& query) {
  BOOST_LEAF_AUTO(services, resolve_services(line, client));
  MergedServices merged;
  for (const std::string& service : services) {
    ControlRequest call;
    call.target = path;
    BOOST_LEAF_AUTO(answer, call_leader(client, call, service, query));
    BOOST_LEAF_AUTO(success, require_success(answer, "service " + service));
    merged.add(success);
  }
  return ControlResponse{200, merged.json()};
}

// Asks one leader after another for a job.
leaf::result<ControlResponse> call_leader_of_job(const CommandLine& line, ControlClient& client,
                                                 const ControlRequest& call, const std::string& id) {
  BOOST_LEAF_AUTO(services, resolve_services(line, client));
  for (const std::string& service : services) {
    BOOST_LEAF_AUTO(answer, call_leader(client, call, service));
    if (answer.status != 404) return require_success(answer, "job " + id);
  }
  return leaf::new_error(NotFound{"job " + id});
}

leaf::result<void> list_jobs(const CommandLine& line, ControlClient& client, std::ostream& out) {
  BOOST_LEAF_AUTO(answer, ask_all(line, client, "/v1/jobs", "limit=" + std::to_string(line.limit)));
  if (line.json) {
    out << answer.body << '\n';
    return {};
  }
  BOOST_LEAF_AUTO(jobs, read_jobs(answer));
  TextTable table({"SERVICE", "ID", "QUEUE", "STATE", "PRIORITY", "RUNS"});
  for (const JobInfo& job : jobs) {
    table.add(
        {job.service, job.id, job.queue, job.state, std::to_string(job.priority), std::to_string(job.runs)});
  }
  table.print(out);
  return {};
}

leaf::result<void> show_job(const CommandLine& line, ControlClient& client, std::ostream& out) {
  const std::string id = line.word(2);
  BOOST_LEAF_CHECK(check_path_text("ID", id));
  ControlRequest call;
  call.target = "/v1/jobs/" + id;
  BOOST_LEAF_AUTO(answer, call_leader_of_job(line, client, call, id));
  out << answer.body << '\n';
  return {};
}

leaf::result<void> cancel_job(const CommandLine& line, ControlClient& client, std::ostream& out) {
  const std::string id = line.word(2);
  BOOST_LEAF_CHECK(check_path_text("ID", id));
  ControlRequest call;
  call.method = http::verb::post;
  call.target = "/v1/jobs/" + id + "/cancel";
  BOOST_LEAF_AUTO(answer, call_leader_of_job(line, client, call, id));
  out << answer.body << '\n';
  return {};
}

}  // namespace

leaf::result<void> run_jobs_command(const CommandLine& line, ControlClient& client, std::ostream& out) {
  const std::string verb = line.word(1);
  if (verb == "list" && line.words.size() == 2) return list_jobs(line, client, out);
  if (verb == "show" && line.words.size() == 3) return show_job(line, client, out);
  if (verb == "cancel" && line.words.size() == 3) return cancel_job(line, client, out);
  return leaf::new_error(UsageError{"jobs list, jobs show ID or jobs cancel ID"});
}

leaf::result<void> run_nodes_command(const CommandLine& line, ControlClient& client, std::ostream& out) {
  BOOST_LEAF_AUTO(answer, ask_all(line, client, "/v1/nodes", ""));
  if (line.json) {
    out << answer.body << '\n';
    return {};
  }
  BOOST_LEAF_AUTO(nodes, read_nodes(answer));
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
