// Which other processes of this aggregator live, what they have to know before this one may begin, and what
// each may spend. No I/O, no clock of its own. Others' clocks are not compared: a word is as old as the time
// since it changed.
#pragma once

#include <map>
#include <vector>

#include "aggregator/hot_restart/state.hpp"

namespace winchhall::takeover {

using Millis = double;

class Pairing {
 public:
  Pairing(std::string name, Who own, Millis now) : name_(std::move(name)), own_(own), born_(now) {}

  // All states that are there now, whole ones of this name; a process whose state was there and isn't has
  // left.
  void saw(const std::vector<State>& states, Millis now);

  // Processes besides this one that may still act, by what they said last.
  int others(Millis now) const;
  bool predecessor(Millis now) const;  // one that was here before
  bool successor(Millis now) const;    // one that came later and has begun to listen
  int listening(Millis now) const;
  // May this process begin: those before it have heard of it, or had the time to.
  bool may_begin(Millis now) const;
  // Whom this one has heard of, to be told to them.
  std::vector<Who> heard_of() const;
  std::vector<Who> expired(Millis now) const;  // those whose word holds no longer: their files may go
  // The latest list that another one has; null where none has one.
  const State* latest_list() const;

  static constexpr Millis kAnswerWithin = 1500;  // ms for those before to hear: they look twice a second
  static constexpr Millis kExpires = 10000;      // ms: a stopped one may wake up and act by what it last knew

 private:
  struct Known {
    State state{};
    Millis changed_at = 0;
  };
  bool live(const Known& known, Millis now) const { return now < known.changed_at + kExpires; }

  std::string name_;
  Who own_;
  Millis born_;
  std::map<Who, Known> known_;
};

// What one of so many processes of one aggregator may spend: together they come to no more than one.
winchhall::Settings share_of(winchhall::Settings settings, int processes);

}  // namespace winchhall::takeover
