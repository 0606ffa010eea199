// `config get`, `config put FILE`, `config patch FILE`, `config check FILE`.
#include <fstream>
#include <iostream>
#include <iterator>

#include "cluster/cli/control_responses.hpp"
#include "cluster/cli/operator_commands.hpp"
#include "cluster/config/configuration.hpp"

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

// Version that a change builds on where the command line names none: the one in force, 0 where there is none.
leaf::result<std::uint64_t> current_version(ControlClient& client) {
  ControlRequest call;
  call.target = kGetPath;
  BOOST_LEAF_AUTO(answer, client.call(call));
  if (answer.status == 404) return std::uint64_t{0};
  BOOST_LEAF_AUTO(success, require_success(answer, "configuration"));
  return read_version(success);
}

leaf::result<void> get_configuration(ControlClient& client, std::ostream& out) {
  ControlRequest call;
  call.target = kGetPath;
  BOOST_LEAF_AUTO(answer, client.call(call));
  BOOST_LEAF_AUTO(success, require_success(answer, "configuration"));
  out << success.body << '\n';
  return {};
}

leaf::result<void> change_configuration(const CommandLine& line, ControlClient& client, const char* path,
                                        std::ostream& out) {
  BOOST_LEAF_AUTO(body, read_file(line.word(2)));
  ControlRequest call;
  call.method = boost::beast::http::verb::post;
  call.target = path;
  call.body = std::move(body);
  call.base_version = line.base_version;
  if (!call.base_version) {
    BOOST_LEAF_ASSIGN(call.base_version, current_version(client));
  }
  BOOST_LEAF_AUTO(answer, client.call(call));
  BOOST_LEAF_AUTO(success, require_success(answer, path));
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
  const std::string verb = line.word(1);
  if (verb == "check" && line.words.size() == 3) return check_configuration(line.word(2), out);
  const bool gets = verb == "get" && line.words.size() == 2;
  const bool puts = verb == "put" && line.words.size() == 3;
  const bool patches = verb == "patch" && line.words.size() == 3;
  if (!gets && !puts && !patches) {
    return leaf::new_error(UsageError{"config get, config put FILE, config patch FILE or config check FILE"});
  }
  BOOST_LEAF_AUTO(nodes, control_nodes(line));
  ControlClient client(ControlClientOptions{std::move(nodes)});
  if (gets) return get_configuration(client, out);
  return change_configuration(line, client, puts ? "/v1/Config.Put" : "/v1/Config.Patch", out);
}

}  // namespace winchhall::cluster
