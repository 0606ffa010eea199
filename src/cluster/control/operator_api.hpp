// The operator's API of a control node, as HTTP: which call is meant, and its answer.
#pragma once

#include "cluster/control/configuration_service.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

class OperatorApi {
 public:
  explicit OperatorApi(ConfigurationService& configuration) : configuration_(configuration) {}

  // Answers one request; unknown paths 404, known paths with another method 405.
  void handle(const HttpRequest& request, const HttpReplier& reply);

 private:
  ConfigurationService& configuration_;
};

}  // namespace winchhall::cluster
