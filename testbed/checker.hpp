// The invariants that must hold in every experiment, whatever its load and faults. They are kept apart from
// the code under test, from the reference ledger and from the stand-in nodes' own counts.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "testbed/clients.hpp"
#include "testbed/histogram.hpp"
#include "testbed/node.hpp"

namespace winchhall::testbed {

// A query class as the aggregators are configured with it. Shares and values are fractions or relative
// weights.
struct ClassRule {
  std::string name{};
  double floor = 1, value = 1, partial_value = 0, late_value = 0.3;
  Millis latency_target = 0, hard_limit = 0;
};

// Checks every reply against the reference ledger and the limits of its class, and keeps statistics of the
// run. The reference and the deployment must outlive it. Times are in ms of the event loop's clock.
class Checker {
 public:
  Checker(const ReferenceLedger& reference, const SimulatedDeployment& deployment,
          std::vector<ClassRule> classes, int max_attempts, Millis slack);

  void record_query(const Query& query, Millis now);
  // Records the final reply to a query. `excused`: its aggregator was killed meanwhile, so the reply may be
  // missing or late.
  void record_reply(const std::string& id, const Reply& reply, Millis now, bool excused);
  void record_arrival(const Node::Arrival& arrival);
  void record_violation(const std::string& rule,
                        const std::string& what);  // also for violations found elsewhere
  void finish();                                   // ends the run: every query without a reply is a violation

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
  // The number of violations by rule, and descriptions of the first ones.
  const std::map<std::string, std::size_t>& violations() const { return violations_; }
  const std::vector<std::string>& violation_examples() const { return violation_examples_; }

 private:
  struct OpenQuery {
    Query query{};
    Millis sent_at = 0;
    std::vector<ranges::Span> attempts{};  // spans requested from nodes
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
