// Calls the operator API of control nodes: one after another until one gives a clear answer.
#pragma once

#include <boost/beast/http/verb.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cli/operator_errors.hpp"
#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

struct ControlRequest {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target = "/";  // path and query
  std::string body;
  std::optional<std::uint64_t> base_version;
};

struct ControlResponse {
  unsigned status = 0;
  std::string body;
};

struct ControlClientOptions {
  std::vector<Address> nodes;
  Millis timeout{5000};     // of one try
  Millis first_pause{100};  // after all nodes failed; doubled each time
  unsigned rounds = 4;      // tries of each node
};

class ControlClient {
 public:
  explicit ControlClient(ControlClientOptions terms) : terms_(std::move(terms)) {}

  // A node that can't be reached, or answers 408, 429 or 5xx, is left for the next one; a 307 is followed
  // twice. Blocks. The same call may reach several nodes. Errors: ControlUnavailable.
  leaf::result<ControlResponse> call(const ControlRequest& call);

 private:
  leaf::result<ControlResponse> try_node(const Address& node, const ControlRequest& call) const;

  ControlClientOptions terms_;
  std::size_t next_ = 0;  // node that answered last
};

}  // namespace winchhall::cluster
