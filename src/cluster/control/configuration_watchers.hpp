// Long polls for changes of the configuration, the leaders and the members.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/control/configuration_state.hpp"

namespace winchhall::cluster {

// Access to the state of the control group that is sent to watchers together with the configuration. All
// functions must be set.
struct GroupStateSource {
  std::function<std::vector<wire::ShardLeader>()> leaders;
  std::function<std::vector<wire::Member>()> members;
  std::function<bool()> has_quorum_contact;
};

// Holds each ConfigurationWatch request until the configuration is newer than the caller's, the leaders or
// members differ from the caller's, or the caller's wait time (at most 10 s) is over.
//
// Owns the pending requests; reads the configuration state. All calls happen on the event loop. A watcher is
// answered exactly once, but not at all if it is still pending at destruction.
class ConfigurationWatchers {
 public:
  // `runtime` and `state` must outlive this object.
  ConfigurationWatchers(Runtime& runtime, const ConfigurationState& state, GroupStateSource group)
      : runtime_(runtime), state_(state), group_(std::move(group)) {}

  // Answers `request` through `reply`, now or once there is something new for the caller.
  void watch(const wire::ConfigurationWatch& request, ReplyCallback reply);
  // Answers the watchers whose configuration, leaders or members are out of date. Called for each newer
  // configuration. While there are watchers, it also runs every 50 ms.
  void answer_due_watchers();
  // Answers all watchers with the current state.
  void answer_all();

 private:
  struct Watcher {
    wire::ConfigurationWatch request;
    ReplyCallback reply;
    TimePoint deadline;
  };

  // Digest of leaders and members, without the remaining time of the leases: a renewal is no change.
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
