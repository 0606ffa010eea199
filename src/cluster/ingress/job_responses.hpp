// HTTP responses to job requests.
#pragma once

#include "cluster/common/runtime.hpp"
#include "cluster/http/message.hpp"

namespace winchhall::cluster {

// The response to a request of kind `verb`. A reply without a definite outcome counts as an unknown outcome.
HttpResponse make_job_response(wire::JobVerb verb, const wire::JobReply& reply);

// 503 with Retry-After: the request had no effect and may be retried after `retry_after`.
HttpResponse make_unavailable_response(Millis retry_after);

// 504: the request may or may not have taken effect. It is safe to retry with the same ID.
HttpResponse make_unknown_outcome_response();

}  // namespace winchhall::cluster
