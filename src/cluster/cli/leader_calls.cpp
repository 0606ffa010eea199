#include "cluster/cli/leader_calls.hpp"

namespace winchhall::cluster {

namespace {

constexpr std::string_view kUnfitForPaths = " /?&#%";

bool fits_in_path(const std::string& text) {
  for (const char character : text) {
    const bool printable = character > ' ' && character < '\x7f';
    if (!printable || kUnfitForPaths.find(character) != std::string_view::npos) return false;
  }
  return !text.empty();
}

}  // namespace

leaf::result<StatusResponse> fetch_status(ControlClient& client) {
  ControlRequest call;
  call.target = "/v1/status";
  BOOST_LEAF_AUTO(answer, client.call(call));
  BOOST_LEAF_AUTO(success, require_success(answer, "status"));
  return read_status(success);
}

leaf::result<void> check_path_text(const char* field, const std::string& text) {
  if (fits_in_path(text)) return {};
  return leaf::new_error(
      InvalidInput{"command line", field, text, "printable ASCII without space, slash, ?, &, # and %"});
}

leaf::result<std::vector<std::string>> resolve_services(const CommandLine& line, ControlClient& client) {
  if (!line.service.empty()) {
    BOOST_LEAF_CHECK(check_path_text("service", line.service));
    return std::vector<std::string>{line.service};
  }
  BOOST_LEAF_AUTO(status, fetch_status(client));
  std::vector<std::string> services;
  for (const ServiceInfo& service : status.services) services.push_back(service.service);
  return services;
}

leaf::result<ControlResponse> call_leader(ControlClient& client, ControlRequest call,
                                          const std::string& service, const std::string& query) {
  call.target += "?service=" + service;
  if (!query.empty()) call.target += "&" + query;
  return client.call(call);
}

}  // namespace winchhall::cluster
