#include "cluster/control/operator_api.hpp"

#include "cluster/control/configuration_responses.hpp"
#include "cluster/control/inspection_responses.hpp"

namespace winchhall::cluster {

namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kUnavailable = 503;

std::optional<std::string> base_version(const HttpRequest& request) {
  const auto header = request.find(kBaseVersionHeader);
  if (header == request.end()) return std::nullopt;
  return std::string(header->value());
}

// Returns true for calls that are answered from the state of service leaders.
bool requires_service_leader(const OperatorCall& call) {
  switch (call.kind) {
    case OperatorCallKind::list_jobs:
    case OperatorCallKind::show_job:
    case OperatorCallKind::cancel_job:
    case OperatorCallKind::list_nodes:
      return true;
    default:
      return false;
  }
}

}  // namespace

void OperatorApi::handle(const HttpRequest& request, const HttpReplyCallback& reply) {
  const OperatorCall call = parse_operator_call(request);
  if (call.kind == OperatorCallKind::unknown) return reply(json_response(kNotFound, "{}"));
  if (!call.method_allowed) return reply(json_response(kMethodNotAllowed, "{}"));
  // Without contact with a majority another node may lead by now: an empty list or a 404 could be wrong.
  if (requires_service_leader(call) && !inspection_.has_quorum_contact()) {
    return reply(no_quorum_contact_response());
  }
  const bool concerns_service = requires_service_leader(call) && !call.service.empty();
  if (concerns_service && respond_if_led_elsewhere(request, call.service, reply)) return;
  dispatch(call, request, reply);
}

void OperatorApi::dispatch(const OperatorCall& call, const HttpRequest& request,
                           const HttpReplyCallback& reply) {
  switch (call.kind) {
    case OperatorCallKind::configuration_get:
    case OperatorCallKind::configuration_put:
    case OperatorCallKind::configuration_patch:
      return handle_configuration(call.kind, request, reply);
    case OperatorCallKind::status:
      return reply(status_response(inspection_.status()));
    case OperatorCallKind::list_jobs:
      return reply(jobs_response(inspection_.jobs(call.service, call.limit)));
    case OperatorCallKind::list_services:
      return list_services(reply);
    case OperatorCallKind::list_nodes:
      return reply(nodes_response(inspection_.leaves(call.service)));
    case OperatorCallKind::show_job:
      return show_job(call, reply);
    case OperatorCallKind::cancel_job:
      return inspection_.cancel(call.service, call.id, [reply, id = call.id](CancelOutcome outcome) {
        reply(cancel_response(outcome, id));
      });
    case OperatorCallKind::unknown:
      break;
  }
  reply(json_response(kNotFound, "{}"));
}

void OperatorApi::handle_configuration(OperatorCallKind kind, const HttpRequest& request,
                                       const HttpReplyCallback& reply) {
  const auto respond = [reply](const ConfigurationOutcome& outcome) { reply(change_response(outcome)); };
  if (kind == OperatorCallKind::configuration_put) {
    return configuration_.put(base_version(request), request.body(), respond);
  }
  if (kind == OperatorCallKind::configuration_patch) {
    return configuration_.patch(base_version(request), request.body(), respond);
  }
  configuration_.get([reply](const ConfigurationRead& read) { reply(read_response(read)); });
}

void OperatorApi::show_job(const OperatorCall& call, const HttpReplyCallback& reply) const {
  const std::optional<ServiceJob> job = inspection_.job(call.service, call.id);
  reply(job ? job_response(*job) : job_not_found_response(call.id));
}

void OperatorApi::list_services(const HttpReplyCallback& reply) {
  configuration_.list_services([reply](const std::optional<std::set<std::string>>& services) {
    reply(services ? services_response(*services) : no_quorum_contact_response());
  });
}

bool OperatorApi::respond_if_led_elsewhere(const HttpRequest& request, const std::string& service,
                                           const HttpReplyCallback& reply) {
  const Leadership leadership = inspection_.leadership(service);
  switch (leadership.kind) {
    case LeadershipKind::this_node:
      return false;
    case LeadershipKind::other_node:
      reply(redirect_response(leadership.http_address, std::string(request.target())));
      return true;
    case LeadershipKind::unknown:
      reply(json_response(kUnavailable, "{}"));
      return true;
    case LeadershipKind::no_such_service:
      break;
  }
  respond_to_unknown_service(service, reply);
  return true;
}

void OperatorApi::respond_to_unknown_service(const std::string& service, const HttpReplyCallback& reply) {
  configuration_.list_services([service, reply](const std::optional<std::set<std::string>>& services) {
    if (!services) return reply(no_quorum_contact_response());
    if (services->contains(service)) return reply(json_response(kUnavailable, "{}"));
    reply(error_response(kNotFound, {"request", "service", service, "a service of the configuration"}));
  });
}

}  // namespace winchhall::cluster
