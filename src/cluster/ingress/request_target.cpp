#include "cluster/ingress/request_target.hpp"

#include <cctype>
#include <charconv>
#include <string_view>

#include "cluster/ingress/job_json.hpp"

namespace winchhall::cluster {

namespace http = boost::beast::http;

namespace {

constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

// Host header in lower case, without its port.
std::string host_of(const HttpRequest& request) {
  std::string_view host = view(request[http::field::host]);
  host = host.substr(0, host.rfind(':'));
  std::string lower(host);
  for (char& character : lower) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return lower;
}

std::string_view path_of(const HttpRequest& request) {
  const std::string_view target = view(request.target());
  return target.substr(0, target.find('?'));
}

wire::JobVerb verb_of(http::verb method, bool names_job) {
  switch (method) {
    case http::verb::get:
      return names_job ? wire::JOB_QUERY : wire::JOB_COUNT;
    case http::verb::post:
      return names_job ? wire::JOB_SUBMIT : wire::JOB_VERB_NONE;
    case http::verb::delete_:
      return names_job ? wire::JOB_CANCEL : wire::JOB_VERB_NONE;
    default:
      return wire::JOB_VERB_NONE;
  }
}

bool is_supported_method(http::verb method) {
  return method == http::verb::get || method == http::verb::post || method == http::verb::delete_;
}

// A path below a queue that names no job. A deeper path may be that of a queue that is not in force.
TargetError error_of_rest(http::verb method, std::string_view rest) {
  const bool deeper = rest.find('/') != std::string_view::npos;
  return deeper || method == http::verb::get ? TargetError::no_such_queue : TargetError::malformed;
}

}  // namespace

RequestTarget resolve_target(const Configuration& configuration, const HttpRequest& request) {
  RequestTarget target;
  const std::string_view path = path_of(request);
  target.route = configuration.find_route(host_of(request), path);
  if (target.route == nullptr) {
    target.error = TargetError::no_such_queue;
    return target;
  }
  if (!is_supported_method(request.method())) {
    target.error = TargetError::wrong_method;
    return target;
  }
  const std::string_view rest = path.substr(target.route->path_prefix.size());
  if (!rest.empty() && !is_job_id(rest)) {
    target.error = error_of_rest(request.method(), rest);
    return target;
  }
  target.verb = verb_of(request.method(), !rest.empty());
  if (target.verb == wire::JOB_VERB_NONE) target.error = TargetError::wrong_method;
  target.id = std::string(rest);
  return target;
}

std::optional<Millis> client_deadline(const HttpRequest& request) {
  const std::string_view text = view(request["X-Winchhall-Deadline"]);
  std::int64_t milliseconds = 0;
  const auto end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, milliseconds);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!whole || milliseconds <= 0 || milliseconds > kMaxDeadlineMs) return std::nullopt;
  return Millis(milliseconds);
}

}  // namespace winchhall::cluster
