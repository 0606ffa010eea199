// What must hold, whatever happens: kept apart from the code under test, from the reference and from what the
// stand-in nodes saw.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "testbed/clients.hpp"
#include "testbed/histogram.hpp"
#include "testbed/node.hpp"

namespace winchhall::testbed {

struct ClassRule {
  std::string name{};
  double floor = 1, value = 1, partial_value = 0, late_value = 0.3;
  Millis latency_target = 0, hard_limit = 0;
};

class Checker {
 public:
  Checker(const ReferenceLedger& reference, const SimulatedDeployment& deployment,
          std::vector<ClassRule> classes, int max_attempts, Millis slack);

  void record_query(const Query& query, Millis now);
  // Its final answer. `excused`: its aggregator was killed meanwhile, so that none may come.
  void record_reply(const std::string& id, const Reply& reply, Millis now, bool excused);
  void record_arrival(const Node::Arrival& arrival);
  void record_violation(const std::string& rule, const std::string& what);  // found elsewhere
  void finish();  // whatever has no answer by now has lost it

  struct Statistics {
    std::size_t asked = 0, whole = 0, partial = 0, refused = 0, failed = 0, no_reply = 0, excused = 0,
                late = 0;
    std::size_t rows_right = 0, rows_wrong = 0, rows_doubled = 0, rows_missing = 0, rows_foreign = 0;
    double value_requested = 0, value_earned = 0;
    Histogram latency{};
    double service() const { return value_requested > 0 ? value_earned / value_requested : 1; }
  };
  const Statistics& statistics() const { return statistics_; }
  std::size_t arrived_parts() const { return arrived_parts_; }
  std::size_t most_attempts() const { return most_attempts_; }
  // By rule: how often it was broken, and the first cases in words.
  const std::map<std::string, std::size_t>& violations() const { return violations_; }
  const std::vector<std::string>& violation_examples() const { return violation_examples_; }

 private:
  struct OpenQuery {
    Query query{};
    Millis sent_at = 0;
    std::vector<ranges::Span> attempts{};  // spans that nodes were asked for
    bool answered = false;
    Millis answered_at = 0;
  };
  void check_attempts(const std::string& id, const OpenQuery& open);
  double covered_share(const OpenQuery& open, const std::vector<ReferenceLedger::Row>& rows,
                       Millis now) const;

  const ReferenceLedger& reference_;
  const SimulatedDeployment& deployment_;
  std::map<std::string, ClassRule> classes_;
  int max_attempts_;
  Millis slack_;
  std::map<std::string, OpenQuery> open_;
  Statistics statistics_;
  std::size_t arrived_parts_ = 0, most_attempts_ = 0;
  std::map<std::string, std::size_t> violations_;
  std::vector<std::string> violation_examples_;
};

}  // namespace winchhall::testbed
