#include "cluster/ingress/job_responses.hpp"

#include <algorithm>
#include <string_view>

#include "cluster/http/error_response.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kDefaultRetryAfter{1000};
constexpr std::int64_t kMillisPerSecond = 1000;

std::string_view name_of(wire::JobState state) {
  switch (state) {
    case wire::JOB_RUNNING:
      return "running";
    case wire::JOB_COMPLETED:
      return "completed";
    case wire::JOB_FAILED:
      return "failed";
    case wire::JOB_CANCELED:
      return "canceled";
    default:
      return "queued";
  }
}

HttpResponse success(wire::JobVerb verb, const wire::JobReply& reply) {
  if (verb == wire::JOB_QUERY)
    return json_response(200, R"({"state":")" + std::string(name_of(reply.state())) + "\"}");
  if (verb == wire::JOB_COUNT)
    return json_response(200, R"({"pending":)" + std::to_string(reply.pending()) + "}");
  return json_response(200, "{}");
}

Millis retry_after_of(const wire::JobReply& reply) {
  return reply.retry_after_ms() == 0 ? kDefaultRetryAfter : Millis(reply.retry_after_ms());
}

}  // namespace

HttpResponse make_job_response(wire::JobVerb verb, const wire::JobReply& reply) {
  switch (reply.outcome()) {
    case wire::JOB_OK:
      return success(verb, reply);
    case wire::JOB_NOT_FOUND:
      return json_response(410, "{}");
    case wire::JOB_REJECTED:
      return make_unavailable_response(retry_after_of(reply));
    case wire::JOB_INVALID:
      return error_response(400, {"job", "", "", reply.reason()});
    case wire::JOB_NO_QUEUE:
      return json_response(404, "{}");
    default:
      // A question changes nothing, whoever may have read it.
      return verb == wire::JOB_QUERY ? make_unavailable_response(kDefaultRetryAfter)
                                     : make_unknown_outcome_response();
  }
}

HttpResponse make_unavailable_response(Millis retry_after) {
  const auto milliseconds = std::max<std::int64_t>(1, retry_after.count());
  const auto seconds = (milliseconds + kMillisPerSecond - 1) / kMillisPerSecond;
  auto response = json_response(503, R"({"retry_after_ms":)" + std::to_string(milliseconds) + "}");
  response.set(boost::beast::http::field::retry_after, std::to_string(seconds));
  return response;
}

HttpResponse make_unknown_outcome_response() { return json_response(504, "{}"); }

}  // namespace winchhall::cluster
