// Which generation is in use, and what becomes of a set of files that was found: taken, refused with every
// reason, or held for an operator's word. And of the nodes that a generation drops: they are drained first.
// No I/O; the time is told.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "aggregator/dynamic_config/generation.hpp"

namespace winchhall::generations {

using Millis = double;

struct KeeperLimits {
  double drop_share = 0.25;   // of the nodes: a set that drops more of them waits for an operator's word
  Millis drain_time = 10000;  // ms that a dropped node goes on with what it has, before it is gone
  std::size_t history = 32;   // verdicts remembered
};

enum class Verdict {
  taken,    // in use from now on
  same,     // the bytes that are in use
  refused,  // what was in use stays; `faults` say why
  held,     // sound, but it takes away too much: what was in use stays until an operator accepts it
};
const char* name_of(Verdict verdict);

struct Found {
  Verdict verdict = Verdict::same;
  std::uint64_t digest = 0;
  std::vector<Fault> faults{};  // refused
  std::string why{};            // held
  bool doubtful = false;        // refused for what half a set would show as well: look again soon
};

class Keeper {
 public:
  explicit Keeper(Bounds bounds = {}, KeeperLimits limits = {})
      : bounds_(std::move(bounds)), limits_(limits) {}

  // A set as it was read; `readable` faults are those of reading (XML, schema), with which nothing is
  // checked.
  Found found(const Rows& rows, std::uint64_t digest, std::vector<Fault> readable, Millis now);
  // The same for a set whose checks were done elsewhere (on a thread of its own, where it is large).
  Found found(GenerationPtr checked, std::uint64_t digest, std::vector<Fault> faults, Millis now);
  // Takes what the store had, at the start. It was checked when it was taken.
  void restore(GenerationPtr stored, Millis now);
  // An operator's words. False where there is no such set to accept, or nothing to go back to.
  bool accept(std::uint64_t digest, Millis now);
  bool rollback(GenerationPtr to, Millis now);  // and refuses what the files say until they change

  const GenerationPtr& current() const { return current_; }
  const GenerationPtr& held() const { return held_; }
  const Bounds& bounds() const { return bounds_; }
  std::uint64_t number() const { return number_; }  // rises with each generation that is taken
  // The map of the generation in use, numbered so that a later one is a later revision.
  std::optional<ranges::RangeMap> map() const;

  // All members as the module is to know them: those of the generation, and dropped ones that drain. What
  // drained for its time is not named any more: that is, gone.
  std::vector<core::Member> members(Millis now);
  Millis next_gone() const;  // when members() changes by time alone

  struct Entry {
    Millis at = 0;
    Verdict verdict = Verdict::taken;
    std::uint64_t digest = 0;
    std::string why{};  // the first reason
  };
  const std::deque<Entry>& history() const { return history_; }

 private:
  struct Dropped {
    core::Member member{};
    Millis gone_at = 0;
  };
  void take(GenerationPtr next, Millis now);
  void remember(Millis now, const Found& found);
  std::string too_much(const Generation& next) const;

  Bounds bounds_;
  KeeperLimits limits_;
  GenerationPtr current_, held_;
  std::uint64_t number_ = 0, refused_digest_ = 0;
  std::vector<Dropped> dropped_;
  std::deque<Entry> history_;
};

}  // namespace winchhall::generations
