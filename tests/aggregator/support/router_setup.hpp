// Queries that give the module learned figures to go by.
#pragma once

#include <string>

#include "tests/aggregator/decision/driver.hpp"

namespace winchhall::testing {

// Answers `rounds` single-part queries so that the learned figures are trusted; each takes `took` ms.
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
