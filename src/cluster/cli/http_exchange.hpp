// One synchronous HTTP request.
#pragma once

#include <string>

#include "cluster/cli/control_client.hpp"

namespace winchhall::cluster {

struct HttpExchangeResult {
  ControlResponse response;
  std::string location;  // header Location, of a redirect
};

// Sends `request` to `node` on a new connection and waits for the response, at most for `timeout`. Errors:
// InvalidInput if `node` is not an "ip:port", ControlUnavailable if no response arrives.
leaf::result<HttpExchangeResult> exchange_http(const Address& node, const ControlRequest& request,
                                               Millis timeout);

}  // namespace winchhall::cluster
