// Attempts of the exchange that are taken back before anything of them is written.
#include "aggregator/coordination/exchange.hpp"

namespace winchhall::core {

// Guards against work for nobody: an attempt of which nothing is written yet goes no further, also where
// one that runs may not be cancelled.
void Exchange::recall_unsent(QueryNumber number) {
  const QueryState& q = queries_.at(number);
  for (std::size_t part = 0; q.out > 0 && part < q.parts.size(); ++part)
    for (AttemptNumber attempt : q.parts[part].attempts) recall(attempt);
}

void Exchange::recall(AttemptNumber attempt) {
  if (attempts_.count(attempt) && carrier_->recall(attempt))
    attempt_ended(attempt, {.outcome = Outcome::unsent, .written = false});
}

}  // namespace winchhall::core
