// Queries that train the coordinator's estimates.
#pragma once

#include <string>

#include "tests/aggregator/decision/driver.hpp"

namespace winchhall::testing {

// Answers `rounds` single-part queries, each after `took` ms, so that the learned estimates are trusted.
inline void train_estimates(Driver& d, int rounds, Millis took, double hint = 100) {
  for (int i = 0; i < rounds; ++i) {
    std::string id = "teach" + std::to_string(d.now) + "." + std::to_string(i);
    d.query(id, {hint});
    std::string server = d.sent_to(id + "/0");
    d.now += took;
    d.ended(id + "/0", server, Outcome::ok);
  }
}

}  // namespace winchhall::testing
