// HTTP responses of the operator API for a control node's status, jobs and nodes. Names of JSON fields are
// part of the API.
#pragma once

#include <set>
#include <string>

#include "cluster/control/node_inspection.hpp"
#include "cluster/http/error_response.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// Returns the name for how a task run ended, for example "done", or "unknown" for a kind that only a newer
// version knows. The names are part of the API and the values of a metric label.
const char* end_kind_name(wire::EndKind kind);
// Returns the name of a reason in metrics and the log.
const char* run_loss_reason_name(RunLossReason reason);

// 503: this node has no contact with a majority of the members, so its state may be out of date.
HttpResponse no_quorum_contact_response();
// 200 with the member record, the leaders and the statistics of every service.
HttpResponse status_response(const ControlStatus& status);
// 200 {"services":[{"service","total","jobs":[...]}]}
HttpResponse jobs_response(const std::vector<ServiceJobs>& services);
// 200 with the job, its stages and its task runs.
HttpResponse job_response(const ServiceJob& job);
// 200 {"services":[{"service","nodes":[...]}]}
HttpResponse nodes_response(const std::vector<ServiceLeaves>& services);
// 200 {"services":["NAME",...]}: every service that may hold jobs.
HttpResponse services_response(const std::set<std::string>& services);
// 404: no service that this node leads has a job with this id.
HttpResponse job_not_found_response(const std::string& id);
// 200 {"id"} if the job was canceled, 404 if it was not found, 503 if the outcome is unknown.
HttpResponse cancel_response(CancelOutcome outcome, const std::string& id);
// 307 to `target` (path and query) at `http_address` ("ip:port"), the operator API of another node.
HttpResponse redirect_response(const std::string& http_address, const std::string& target);

}  // namespace winchhall::cluster
