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
  double floor = 1, worth = 1, partial_worth = 0, late_worth = 0.3;
  Millis aim = 0, give_up = 0;
};

class Checker {
 public:
  Checker(const Truth& truth, const World& world, std::vector<ClassRule> classes, int attempts_most,
          Millis slack);

  void asked(const Asked& asked, Millis now);
  // Its final answer. `excused`: its aggregator was killed meanwhile, so that none may come.
  void told(const std::string& id, const Reply& reply, Millis now, bool excused);
  void arrived(const Node::Arrival& arrival);
  void broke(const std::string& rule, const std::string& what);  // found elsewhere
  void finish();                                                 // whatever has no answer by now has lost it

  struct Figures {
    std::size_t asked = 0, whole = 0, partial = 0, refused = 0, failed = 0, broken = 0, excused = 0, late = 0;
    std::size_t rows_right = 0, rows_wrong = 0, rows_doubled = 0, rows_missing = 0, rows_foreign = 0;
    double worth_asked = 0, worth_earned = 0;
    Histogram latency{};
    double service() const { return worth_asked > 0 ? worth_earned / worth_asked : 1; }
  };
  const Figures& figures() const { return figures_; }
  std::size_t parts_arrived() const { return parts_; }
  std::size_t most_attempts() const { return most_attempts_; }
  // By rule: how often it was broken, and the first cases in words.
  const std::map<std::string, std::size_t>& broken() const { return broken_; }
  const std::vector<std::string>& cases() const { return cases_; }

 private:
  struct Open {
    Asked asked{};
    Millis at = 0;
    std::vector<ranges::Span> attempts{};  // spans that nodes were asked for
    bool told = false;
    Millis told_at = 0;
  };
  void attempts_of(const std::string& id, const Open& open);
  double share(const Open& open, const std::vector<Truth::Row>& rows, Millis now) const;

  const Truth& truth_;
  const World& world_;
  std::map<std::string, ClassRule> classes_;
  int attempts_most_;
  Millis slack_;
  std::map<std::string, Open> open_;
  Figures figures_;
  std::size_t parts_ = 0, most_attempts_ = 0;
  std::map<std::string, std::size_t> broken_;
  std::vector<std::string> cases_;
};

}  // namespace winchhall::testbed
