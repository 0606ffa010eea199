// RequestRouter: recall of attempts before anything is written to the server.
#include "aggregator/coordination/request_router.hpp"

namespace winchhall::coordination {

// Recalls a query's attempts that were not written yet. It avoids work without a recipient: an unwritten
// attempt can be dropped even where the settings forbid the cancellation of running ones.
void RequestRouter::recall_unsent(QueryNumber number) {
  const QueryState& q = queries_.at(number);
  for (std::size_t part = 0; q.in_flight > 0 && part < q.parts.size(); ++part)
    for (AttemptNumber attempt : q.parts[part].attempts) recall(attempt);
}

void RequestRouter::recall(AttemptNumber attempt) {
  if (attempts_.count(attempt) && transport_->recall(attempt))
    attempt_ended(attempt, {.outcome = Outcome::unsent, .written = false});
}

}  // namespace winchhall::coordination
