#include "cluster/control/operator_call.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace winchhall::cluster {

namespace {

namespace http = boost::beast::http;

struct KnownPath {
  std::string_view path;
  http::verb method;
  OperatorCallKind kind;
};

constexpr KnownPath kKnownPaths[] = {
    {"/v1/Config.Get", http::verb::get, OperatorCallKind::configuration_get},
    {"/v1/Config.Put", http::verb::post, OperatorCallKind::configuration_put},
    {"/v1/Config.Patch", http::verb::post, OperatorCallKind::configuration_patch},
    {"/v1/status", http::verb::get, OperatorCallKind::status},
    {"/v1/jobs", http::verb::get, OperatorCallKind::list_jobs},
    {"/v1/nodes", http::verb::get, OperatorCallKind::list_nodes},
    {"/v1/services", http::verb::get, OperatorCallKind::list_services}};

constexpr std::string_view kJobPrefix = "/v1/jobs/";
constexpr std::string_view kCancelSuffix = "/cancel";

void parse_job_path(std::string_view path, http::verb method, OperatorCall& call) {
  std::string_view id = path.substr(kJobPrefix.size());
  const bool is_cancel = id.ends_with(kCancelSuffix);
  if (is_cancel) id.remove_suffix(kCancelSuffix.size());
  if (id.empty() || id.find('/') != std::string_view::npos) return;
  call.id = id;
  call.kind = is_cancel ? OperatorCallKind::cancel_job : OperatorCallKind::show_job;
  call.method_allowed = method == (is_cancel ? http::verb::post : http::verb::get);
}

void parse_path(std::string_view path, http::verb method, OperatorCall& call) {
  for (const KnownPath& known : kKnownPaths) {
    if (path != known.path) continue;
    call.kind = known.kind;
    call.method_allowed = method == known.method;
    return;
  }
  if (path.starts_with(kJobPrefix)) parse_job_path(path, method, call);
}

void parse_parameter(std::string_view name, std::string_view value, OperatorCall& call) {
  if (name == "service") call.service = value;
  if (name != "limit") return;
  std::size_t limit = 0;
  const auto read = std::from_chars(value.data(), value.data() + value.size(), limit);
  if (read.ec == std::errc() && limit > 0) call.limit = std::min(limit, kMaxJobLimit);
}

void parse_query(std::string_view query, OperatorCall& call) {
  while (!query.empty()) {
    const std::string_view parameter = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), parameter.size() + 1));
    const std::size_t equals = parameter.find('=');
    if (equals == std::string_view::npos) continue;
    parse_parameter(parameter.substr(0, equals), parameter.substr(equals + 1), call);
  }
}

}  // namespace

OperatorCall parse_operator_call(const HttpRequest& request) {
  const std::string_view target(request.target().data(), request.target().size());
  const std::size_t question = target.find('?');
  OperatorCall call;
  parse_path(target.substr(0, question), request.method(), call);
  if (question != std::string_view::npos) parse_query(target.substr(question + 1), call);
  return call;
}

}  // namespace winchhall::cluster
