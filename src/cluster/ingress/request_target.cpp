#include "cluster/ingress/request_target.hpp"

#include <cctype>
#include <charconv>
#include <string_view>

#include "cluster/ingress/job_json.hpp"

namespace winchhall::cluster {

namespace http = boost::beast::http;

namespace {

constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

std::string_view to_std(boost::beast::string_view text) { return {text.data(), text.size()}; }

// The Host header in lower case, without the port.
std::string host_of(const HttpRequest& request) {
  std::string_view host = to_std(request[http::field::host]);
  host = host.substr(0, host.rfind(':'));
  std::string lower(host);
  for (char& character : lower) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return lower;
}

std::string_view path_of(const HttpRequest& request) {
  const std::string_view target = to_std(request.target());
  return target.substr(0, target.find('?'));
}

wire::JobVerb verb_of(http::verb method, bool has_job_id) {
  switch (method) {
    case http::verb::get:
      return has_job_id ? wire::JOB_QUERY : wire::JOB_COUNT;
    case http::verb::post:
      return has_job_id ? wire::JOB_SUBMIT : wire::JOB_VERB_NONE;
    case http::verb::delete_:
      return has_job_id ? wire::JOB_CANCEL : wire::JOB_VERB_NONE;
    default:
      return wire::JOB_VERB_NONE;
  }
}

bool is_supported_method(http::verb method) {
  return method == http::verb::get || method == http::verb::post || method == http::verb::delete_;
}

// Error for a path whose part after the queue's prefix is not a job ID. A suffix with further slashes may
// belong to a queue that is not, or no longer, configured.
TargetError invalid_suffix_error(http::verb method, std::string_view suffix) {
  const bool has_slash = suffix.find('/') != std::string_view::npos;
  return has_slash || method == http::verb::get ? TargetError::no_such_queue : TargetError::malformed;
}

}  // namespace

RequestTarget resolve_target(const Configuration& configuration, const HttpRequest& request) {
  RequestTarget target;
  target.configuration_version = configuration.version;
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
  const std::string_view suffix = path.substr(target.route->path_prefix.size());
  if (!suffix.empty() && !is_job_id(suffix)) {
    target.error = invalid_suffix_error(request.method(), suffix);
    return target;
  }
  target.verb = verb_of(request.method(), !suffix.empty());
  if (target.verb == wire::JOB_VERB_NONE) target.error = TargetError::wrong_method;
  target.id = std::string(suffix);
  return target;
}

std::optional<Millis> client_deadline(const HttpRequest& request) {
  const std::string_view text = to_std(request["X-Winchhall-Deadline"]);
  std::int64_t milliseconds = 0;
  const auto end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, milliseconds);
  const bool complete = parsed.ec == std::errc() && parsed.ptr == end;
  if (!complete || milliseconds <= 0 || milliseconds > kMaxDeadlineMs) return std::nullopt;
  return Millis(milliseconds);
}

}  // namespace winchhall::cluster
