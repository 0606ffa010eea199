// The HTTP API of a control node for operators:
//
//   POST /v1/Config.Put, POST /v1/Config.Patch, GET /v1/Config.Get
//   GET  /v1/status
//   GET  /v1/jobs, GET /v1/jobs/ID, POST /v1/jobs/ID/cancel, GET /v1/nodes
//
// The calls of the last line take `?service=NAME`: then they answer for this service, with 307 to the node
// that leads it, 503 where no leader is known, or 404 where there is no such service. Without `service` they
// answer for all services that this node leads. `limit=N` bounds the jobs listed for each service.
#pragma once

#include "cluster/control/configuration_service.hpp"
#include "cluster/control/node_inspection.hpp"
#include "cluster/control/operator_call.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// Limits of operators' requests. A configuration (about 60,000 routes) must fit, together with what its
// record adds, into one message between processes (kMaxMessageBytes).
inline constexpr RequestLimits kOperatorLimits{.max_body_bytes = 12u << 20};

// Maps HTTP requests to calls of the configuration service and of the node's inspection, and their results to
// responses. Keeps no state of its own. Called on the event loop.
class OperatorApi {
 public:
  // Both references outlive the API.
  OperatorApi(ConfigurationService& configuration, NodeInspection& inspection)
      : configuration_(configuration), inspection_(inspection) {}

  // Answers one request by exactly one call of `reply`, now or later. Unknown paths: 404; known paths with
  // another method: 405; jobs and nodes without contact with a majority: 503.
  void handle(const HttpRequest& request, const HttpReplyCallback& reply);

 private:
  void dispatch(const OperatorCall& call, const HttpRequest& request, const HttpReplyCallback& reply);
  void handle_configuration(OperatorCallKind kind, const HttpRequest& request,
                            const HttpReplyCallback& reply);
  void show_job(const OperatorCall& call, const HttpReplyCallback& reply) const;
  // Responds with a redirect or an error if this node doesn't lead the service; false: it does lead it.
  bool respond_if_led_elsewhere(const HttpRequest& request, const std::string& service,
                                const HttpReplyCallback& reply) const;

  ConfigurationService& configuration_;
  NodeInspection& inspection_;
};

}  // namespace winchhall::cluster
