// Long polls of a control node's configuration, leaders and members.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/control/configuration_state.hpp"

namespace winchhall::cluster {

// State of the control group that is sent to watchers along with the configuration. All must be set.
struct GroupStateSource {
  std::function<std::vector<wire::ShardLeader>()> leaders;
  std::function<std::vector<wire::Member>()> members;
  std::function<bool()> has_quorum_contact;
};

// Holds ConfigurationWatch requests until the configuration is newer, or leaders or members differ, from what
// the caller has, or its wait (at most 10 s) is over.
//
// Owns the pending requests; reads the configuration state. All calls happen on the event loop. A watcher is
// answered exactly once; one that is still pending at destruction gets no answer.
class ConfigurationWatchers {
 public:
  // `state` outlives the watchers.
  ConfigurationWatchers(Runtime& runtime, const ConfigurationState& state, GroupStateSource group)
      : runtime_(runtime), state_(state), group_(std::move(group)) {}

  // Answers `request` with `reply`, now or once there is something new for the caller.
  void watch(const wire::ConfigurationWatch& request, ReplyCallback reply);
  // Answers the watchers whose configuration, leaders or members are out of date. Called at each newer
  // configuration; leaders and members are also checked every 50 ms while there are watchers.
  void check();
  // Answers all watchers with the present state.
  void answer_all();

 private:
  struct Watcher {
    wire::ConfigurationWatch request;
    ReplyCallback reply;
    TimePoint deadline;
  };

  // Of leaders and members, but not of what remains of the leases: a renewal is no change.
  std::uint64_t leaders_digest() const;
  bool is_due(const Watcher& watcher, std::uint64_t digest) const;
  void answer(const Watcher& watcher, std::uint64_t digest) const;
  void schedule_check();

  Runtime& runtime_;
  const ConfigurationState& state_;
  GroupStateSource group_;
  std::list<Watcher> watchers_;
  std::unique_ptr<Timer> check_timer_;
};

}  // namespace winchhall::cluster
