// The operator's API: views of a control node as JSON. Field names are part of the API.
#pragma once

#include "cluster/control/node_inspection.hpp"
#include "cluster/http/error_response.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// Stable name of a kind of end, e.g. "done".
const char* end_kind_name(wire::EndKind kind);

// 503: this node hears no majority.
HttpResponse no_quorum_contact_response();
HttpResponse status_response(const ControlStatus& status);
// {"services":[{"service","total","jobs":[...]}]}
HttpResponse jobs_response(const std::vector<ServiceJobs>& services);
HttpResponse job_response(const ServiceJob& job);
// {"services":[{"service","nodes":[...]}]}
HttpResponse nodes_response(const std::vector<ServiceLeaves>& services);
// 200, 404 or 503.
HttpResponse cancel_response(CancelOutcome outcome, const std::string& id);
// 307 to another node.
HttpResponse redirect_response(const std::string& http_address, const std::string& target);

}  // namespace winchhall::cluster
