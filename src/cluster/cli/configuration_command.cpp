// Commands on the configuration: `config get`, `config put FILE`, `config patch FILE`, `config check FILE`.
// The file name "-" stands for standard input.
#include <fstream>
#include <iostream>
#include <iterator>

#include "cluster/cli/control_responses.hpp"
#include "cluster/cli/operator_commands.hpp"
#include "cluster/config/configuration_json.hpp"

namespace winchhall::cluster {

namespace {

constexpr const char* kStandardInput = "-";
constexpr const char* kGetPath = "/v1/Config.Get";

leaf::result<std::string> read_file(const std::string& path) {
  const std::istreambuf_iterator<char> end;
  if (path == kStandardInput) return std::string(std::istreambuf_iterator<char>(std::cin), end);
  std::ifstream file(path, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(file), end);
  if (file.is_open() && !file.bad()) return text;
  return leaf::new_error(InvalidInput{path, "file", "", "a file that can be read"});
}

// Default base version of a change: the current version, or 0 if there is no configuration.
leaf::result<std::uint64_t> current_version(ControlClient& client) {
  ControlRequest request;
  request.target = kGetPath;
  BOOST_LEAF_AUTO(response, client.call(request));
  if (response.status == 404) return std::uint64_t{0};
  BOOST_LEAF_AUTO(success, require_success(response, "configuration"));
  return read_version(success);
}

leaf::result<void> get_configuration(ControlClient& client, std::ostream& out) {
  ControlRequest request;
  request.target = kGetPath;
  BOOST_LEAF_AUTO(response, client.call(request));
  BOOST_LEAF_AUTO(success, require_success(response, "configuration"));
  out << success.body << '\n';
  return {};
}

leaf::result<void> change_configuration(const CommandLine& line, ControlClient& client, const char* path,
                                        std::ostream& out) {
  BOOST_LEAF_AUTO(body, read_file(line.argument(2)));
  ControlRequest request;
  request.method = boost::beast::http::verb::post;
  request.target = path;
  request.body = std::move(body);
  request.base_version = line.base_version;
  if (!request.base_version) {
    BOOST_LEAF_ASSIGN(request.base_version, current_version(client));
  }
  BOOST_LEAF_AUTO(response, client.call(request));
  BOOST_LEAF_AUTO(success, require_success(response, path));
  out << success.body << '\n';
  return {};
}

leaf::result<void> check_configuration(const std::string& path, std::ostream& out) {
  BOOST_LEAF_AUTO(text, read_file(path));
  BOOST_LEAF_AUTO(configuration, parse_configuration(text, path));
  out << path << ": version " << configuration.version << ", " << configuration.routes.size() << " routes, "
      << configuration.services.size() << " services: fit for use\n";
  return {};
}

}  // namespace

leaf::result<void> run_configuration_command(const CommandLine& line, std::ostream& out) {
  const std::string verb = line.argument(1);
  if (verb == "check" && line.arguments.size() == 3) return check_configuration(line.argument(2), out);
  const bool gets = verb == "get" && line.arguments.size() == 2;
  const bool puts = verb == "put" && line.arguments.size() == 3;
  const bool patches = verb == "patch" && line.arguments.size() == 3;
  if (!gets && !puts && !patches) {
    return leaf::new_error(UsageError{"config get, config put FILE, config patch FILE or config check FILE"});
  }
  BOOST_LEAF_AUTO(nodes, control_nodes(line));
  ControlClient client(ControlClientOptions{std::move(nodes)});
  if (gets) return get_configuration(client, out);
  return change_configuration(line, client, puts ? "/v1/Config.Put" : "/v1/Config.Patch", out);
}

}  // namespace winchhall::cluster
