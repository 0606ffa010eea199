// The HTTP API of a control node for operators:
//
//   POST /v1/Config.Put, POST /v1/Config.Patch, GET /v1/Config.Get
//   GET  /v1/status, GET /v1/services
//   GET  /v1/jobs, GET /v1/jobs/ID, POST /v1/jobs/ID/cancel, GET /v1/nodes
//
// The calls of the last line take the parameter `service=NAME`. With it they cover this service only, and
// respond 307 to the node that leads it, 503 if no leader is known, or 404 if a majority knows no such
// service. Without it they cover all services that this node leads. `limit=N` bounds the jobs listed for each
// service. `/v1/services` names every service that may hold jobs, or responds 503 without a majority.
#pragma once

#include "cluster/control/configuration_service.hpp"
#include "cluster/control/node_inspection.hpp"
#include "cluster/control/operator_call.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// Limits of operators' requests. A configuration (about 60,000 routes) and the other fields of its record
// must fit into one message between processes (kMaxMessageBytes).
inline constexpr RequestLimits kOperatorLimits{.max_body_bytes = 12u << 20};

// Maps HTTP requests to calls of the configuration service and of NodeInspection, and their results to HTTP
// responses. Keeps no state of its own. Called on the event loop.
class OperatorApi {
 public:
  // Both references must outlive the API.
  OperatorApi(ConfigurationService& configuration, NodeInspection& inspection)
      : configuration_(configuration), inspection_(inspection) {}

  // Answers one request by exactly one call of `reply`, now or later. Responds 404 to unknown paths, 405 to
  // known paths with another method, and 503 to requests for jobs and nodes while this node has no contact
  // with a majority.
  void handle(const HttpRequest& request, const HttpReplyCallback& reply);

 private:
  void dispatch(const OperatorCall& call, const HttpRequest& request, const HttpReplyCallback& reply);
  void handle_configuration(OperatorCallKind kind, const HttpRequest& request,
                            const HttpReplyCallback& reply);
  void show_job(const OperatorCall& call, const HttpReplyCallback& reply) const;
  void list_services(const HttpReplyCallback& reply);
  // Responds with a redirect or an error and returns true if this node doesn't lead the service; otherwise
  // returns false.
  bool respond_if_led_elsewhere(const HttpRequest& request, const std::string& service,
                                const HttpReplyCallback& reply);
  // Responds for a service that this node doesn't know: other nodes may know it.
  void respond_to_unknown_service(const std::string& service, const HttpReplyCallback& reply);

  ConfigurationService& configuration_;
  NodeInspection& inspection_;
};

}  // namespace winchhall::cluster
