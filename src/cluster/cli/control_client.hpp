// Client of the control nodes' operator API.
#pragma once

#include <boost/beast/http/verb.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cli/operator_errors.hpp"
#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// A request to the operator API of a control node.
struct ControlRequest {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target = "/";  // path and query
  std::string body;
  std::optional<std::uint64_t> base_version;  // header X-Winchhall-Base-Version
};

// A definite response of a control node.
struct ControlResponse {
  unsigned status = 0;
  std::string body;
};

// Control nodes to call, and limits of the attempts.
struct ControlClientOptions {
  std::vector<Address> nodes;   // addresses of operator APIs, "ip:port"
  Millis timeout{5000};         // of one attempt at one node
  Millis initial_backoff{100};  // wait after all nodes failed; doubled after each round
  unsigned rounds = 4;          // attempts at each node
};

// Calls control nodes, one after another, until one gives a definite response. Synchronous; not thread-safe.
class ControlClient {
 public:
  explicit ControlClient(ControlClientOptions options) : options_(std::move(options)) {}

  // A node that can't be reached, or responds 408, 429 or 5xx, is skipped for the next one. Up to two
  // redirects (307) are followed. The request may reach several nodes. Errors: ControlUnavailable;
  // InvalidInput for an invalid address.
  leaf::result<ControlResponse> call(const ControlRequest& request);

 private:
  leaf::result<ControlResponse> call_node(const Address& node, const ControlRequest& request) const;
  // Makes one attempt at each node. Empty if all attempts failed; `last_failure` then describes the last one.
  leaf::result<std::optional<ControlResponse>> try_each_node(const ControlRequest& request,
                                                             std::string& last_failure);

  ControlClientOptions options_;
  std::size_t next_ = 0;  // node to start with: the one that responded last
};

}  // namespace winchhall::cluster
