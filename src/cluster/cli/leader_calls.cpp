#include "cluster/cli/leader_calls.hpp"

namespace winchhall::cluster {

namespace {

constexpr unsigned kHttpNotFound = 404;
constexpr std::string_view kReservedPathCharacters = " /?&#%";

bool is_valid_path_text(const std::string& text) {
  for (const char character : text) {
    const bool printable = character > ' ' && character < '\x7f';
    if (!printable || kReservedPathCharacters.find(character) != std::string_view::npos) return false;
  }
  return !text.empty();
}

}  // namespace

leaf::result<StatusResponse> fetch_status(ControlClient& client) {
  ControlRequest request;
  request.target = "/v1/status";
  BOOST_LEAF_AUTO(response, client.call(request));
  BOOST_LEAF_AUTO(success, require_success(response, "status"));
  return read_status(success);
}

leaf::result<void> check_path_text(const char* field, const std::string& text) {
  if (is_valid_path_text(text)) return {};
  return leaf::new_error(
      InvalidInput{"command line", field, text, "printable ASCII without space, slash, ?, &, # and %"});
}

leaf::result<std::vector<std::string>> resolve_services(const CommandLine& line, ControlClient& client) {
  if (!line.service.empty()) {
    BOOST_LEAF_CHECK(check_path_text("service", line.service));
    return std::vector<std::string>{line.service};
  }
  ControlRequest request;
  request.target = "/v1/services";
  BOOST_LEAF_AUTO(response, client.call(request));
  if (response.status != kHttpNotFound) {
    BOOST_LEAF_AUTO(success, require_success(response, "services"));
    return read_services(success);
  }
  // A control node of an earlier version lists the services that it knows itself.
  BOOST_LEAF_AUTO(status, fetch_status(client));
  std::vector<std::string> services;
  for (const ServiceInfo& service : status.services) services.push_back(service.service);
  return services;
}

leaf::result<ControlResponse> call_leader(ControlClient& client, ControlRequest request,
                                          const std::string& service, const std::string& query) {
  request.target += "?service=" + service;
  if (!query.empty()) request.target += "&" + query;
  return client.call(request);
}

}  // namespace winchhall::cluster
