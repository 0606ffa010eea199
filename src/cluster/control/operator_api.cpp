#include "cluster/control/operator_api.hpp"

#include "cluster/control/configuration_answers.hpp"

namespace winchhall::cluster {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view kPutPath = "/v1/Config.Put";
constexpr std::string_view kPatchPath = "/v1/Config.Patch";
constexpr std::string_view kGetPath = "/v1/Config.Get";
constexpr std::string_view kBaseVersionHeader = "X-Winchhall-Base-Version";
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;

std::string_view path_of(const HttpRequest& request) {
  const std::string_view target(request.target().data(), request.target().size());
  return target.substr(0, target.find('?'));
}

std::optional<std::string> base_version(const HttpRequest& request) {
  const auto header =
      request.find(boost::beast::string_view(kBaseVersionHeader.data(), kBaseVersionHeader.size()));
  if (header == request.end()) return std::nullopt;
  return std::string(header->value());
}

}  // namespace

void OperatorApi::handle(const HttpRequest& request, const HttpReplier& reply) {
  const std::string_view path = path_of(request);
  const auto answer_change = [reply](const ConfigurationOutcome& outcome) {
    reply(change_response(outcome));
  };
  if (path == kGetPath && request.method() == http::verb::get) {
    return configuration_.get([reply](const ConfigurationRead& read) { reply(read_response(read)); });
  }
  if (path == kPutPath && request.method() == http::verb::post) {
    return configuration_.put(base_version(request), request.body(), answer_change);
  }
  if (path == kPatchPath && request.method() == http::verb::post) {
    return configuration_.patch(base_version(request), request.body(), answer_change);
  }
  const bool known = path == kGetPath || path == kPutPath || path == kPatchPath;
  reply(json_response(known ? kMethodNotAllowed : kNotFound, "{}"));
}

}  // namespace winchhall::cluster
