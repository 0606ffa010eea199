// The operator's API of a control node, as HTTP: which call is meant, and its answer.
//
//   POST /v1/Config.Put, POST /v1/Config.Patch, GET /v1/Config.Get
//   GET  /v1/status
//   GET  /v1/jobs, GET /v1/jobs/ID, POST /v1/jobs/ID/cancel, GET /v1/nodes
//
// The calls of the last line take `?service=NAME`: they answer for this service, or 307 to the node that
// leads it, 503 where none is known to, 404 where there is no such service. Without it they answer for the
// services that this node leads. `limit=N` bounds the jobs listed for each service.
#pragma once

#include "cluster/control/configuration_service.hpp"
#include "cluster/control/node_inspection.hpp"
#include "cluster/control/operator_call.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// Limits of operators' requests. A configuration may be as large as the processes can send one another
// (kMaxMessageBytes), with what is kept beside it: about 60,000 routes.
inline constexpr RequestLimits kOperatorLimits{.max_body_bytes = 12u << 20};

class OperatorApi {
 public:
  // Both references outlive the API.
  OperatorApi(ConfigurationService& configuration, NodeInspection& inspection)
      : configuration_(configuration), inspection_(inspection) {}

  // Answers one request; unknown paths 404, known paths with another method 405.
  void handle(const HttpRequest& request, const HttpReplyCallback& reply);

 private:
  void carry_out(const OperatorCall& call, const HttpRequest& request, const HttpReplyCallback& reply);
  void handle_configuration(OperatorCallKind kind, const HttpRequest& request,
                            const HttpReplyCallback& reply);
  void show_job(const OperatorCall& call, const HttpReplyCallback& reply) const;
  // Answers where the service is not led here; true: it was answered.
  bool respond_if_led_elsewhere(const HttpRequest& request, const std::string& service,
                                const HttpReplyCallback& reply) const;

  ConfigurationService& configuration_;
  NodeInspection& inspection_;
};

}  // namespace winchhall::cluster
