#include "cluster/cli/control_client.hpp"

#include <string_view>
#include <thread>

#include "cluster/cli/http_exchange.hpp"

namespace winchhall::cluster {

namespace {

constexpr unsigned kMaxRedirects = 2;
constexpr unsigned kTemporaryRedirect = 307;
constexpr std::string_view kScheme = "http://";

// Whether the status leaves open if the node has carried out the request.
bool is_indefinite(unsigned status) { return status >= 500 || status == 408 || status == 429; }

struct RedirectTarget {
  Address node;
  std::string target;  // path and query
};

// Splits the URL of a Location header. Empty if it isn't an absolute http URL with a path.
std::optional<RedirectTarget> parse_redirect(const std::string& location) {
  const std::size_t path = location.find('/', kScheme.size());
  if (location.rfind(kScheme, 0) != 0 || path == std::string::npos) return std::nullopt;
  return RedirectTarget{location.substr(kScheme.size(), path - kScheme.size()), location.substr(path)};
}

}  // namespace

leaf::result<ControlResponse> ControlClient::call(const ControlRequest& request) {
  std::string last_failure = "no control node is named";
  Millis backoff = options_.initial_backoff;
  for (unsigned round = 0; round < options_.rounds && !options_.nodes.empty(); ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(backoff);
      backoff *= 2;
    }
    BOOST_LEAF_AUTO(response, try_each_node(request, last_failure));
    if (response) return std::move(*response);
  }
  return leaf::new_error(ControlUnavailable{last_failure});
}

leaf::result<std::optional<ControlResponse>> ControlClient::try_each_node(const ControlRequest& request,
                                                                          std::string& last_failure) {
  for (std::size_t attempt = 0; attempt < options_.nodes.size(); ++attempt) {
    const Address& node = options_.nodes[next_ % options_.nodes.size()];
    std::optional<ControlResponse> response;
    BOOST_LEAF_CHECK(leaf::try_handle_some(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_ASSIGN(response, call_node(node, request));
          return {};
        },
        [&](const ControlUnavailable& failure) -> leaf::result<void> {
          last_failure = node + ": " + failure.detail;
          return {};
        }));
    if (response) return response;
    ++next_;
  }
  return std::optional<ControlResponse>();
}

leaf::result<ControlResponse> ControlClient::call_node(const Address& first_node,
                                                       const ControlRequest& first_request) const {
  Address node = first_node;
  ControlRequest request = first_request;
  for (unsigned redirects = 0;; ++redirects) {
    BOOST_LEAF_AUTO(exchange, exchange_http(node, request, options_.timeout));
    const unsigned status = exchange.response.status;
    if (is_indefinite(status)) {
      return leaf::new_error(ControlUnavailable{node + " answered " + std::to_string(status)});
    }
    if (status != kTemporaryRedirect) return std::move(exchange.response);
    const std::optional<RedirectTarget> redirect = parse_redirect(exchange.location);
    if (!redirect || redirects == kMaxRedirects) {
      return leaf::new_error(ControlUnavailable{node + " redirects to '" + exchange.location + "'"});
    }
    node = redirect->node;
    request.target = redirect->target;
  }
}

}  // namespace winchhall::cluster
