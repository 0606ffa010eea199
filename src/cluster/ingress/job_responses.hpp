// Turns the outcome of a job request into the answer that its client gets.
#pragma once

#include "cluster/common/runtime.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// The answer to a request of kind `verb`. A reply without a clear outcome counts as in doubt.
HttpResponse make_job_response(wire::JobVerb verb, const wire::JobReply& reply);

// 503 with Retry-After: certainly not taken; worth trying again after `retry_after`.
HttpResponse make_unavailable_response(Millis retry_after);

// 504: may or may not have been taken; the same ID may be sent again.
HttpResponse make_unknown_outcome_response();

}  // namespace winchhall::cluster
