// The other live processes of this aggregator during a hot restart, when this process may start to serve, and
// each process's share of the limits. No I/O and no clock: times are in ms on the caller's clock. Clocks of
// different processes are never compared: a state's age is the time since it was last seen to change.
#pragma once

#include <map>
#include <vector>

#include "aggregator/hot_restart/process_state.hpp"

namespace winchhall::hot_restart {

using Millis = double;

// Registry of the processes with the same name, from the states they publish. Processes are ordered by
// ProcessId: a smaller one is a predecessor, a larger one a successor. Not thread-safe.
class ProcessRegistry {
 public:
  ProcessRegistry(std::string name, ProcessId own, Millis now)
      : name_(std::move(name)), own_(own), started_at_(now) {}

  // Replaces the known states by those found in a scan. States of other names and this process's own are
  // ignored; a process whose state is no longer there has ended.
  void update(const std::vector<State>& states, Millis now);

  // Number of other processes that may still serve: their state changed within kStateTimeout.
  int other_count(Millis now) const;
  bool has_predecessor(Millis now) const;  // an older process is live
  bool has_successor(Millis now) const;    // a newer process is live and listening
  int listening_count(Millis now) const;   // number of other live processes that listen
  // Whether this process may start to serve: every predecessor has acknowledged it, or kAcknowledgeTimeout is
  // over.
  bool may_serve(Millis now) const;
  // The other processes known here; published in this process's state as their acknowledgement.
  std::vector<ProcessId> known_processes() const;
  std::vector<ProcessId> expired(Millis now) const;  // no longer live: their files may be removed
  // The state with the newest endpoint list, or null if no process has one. Owned by the registry, valid
  // until the next update().
  const State* latest_list() const;

  // ms for predecessors to acknowledge this process: they scan twice a second.
  static constexpr Millis kAcknowledgeTimeout = 1500;
  // ms without a new state after which a process counts as ended. Until then a stopped process may resume and
  // act on old state.
  static constexpr Millis kStateTimeout = 10000;

 private:
  struct KnownProcess {
    State state{};
    Millis changed_at = 0;  // when the current sequence number was first seen
  };
  bool live(const KnownProcess& known, Millis now) const { return now < known.changed_at + kStateTimeout; }

  std::string name_;
  ProcessId own_;
  Millis started_at_;
  std::map<ProcessId, KnownProcess> known_;
};

// Settings of one of `processes` processes of the same aggregator, such that all of them together stay within
// the limits of one.
winchhall::Settings share_of(winchhall::Settings settings, int processes);

}  // namespace winchhall::hot_restart
