// Long polls on a control node: answered once there is a newer configuration, or other leaders or members.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/control/configuration_state.hpp"

namespace winchhall::cluster {

// What watchers are told besides the configuration. All must be set.
struct GroupStateSource {
  std::function<std::vector<wire::ShardLeader>()> leaders;
  std::function<std::vector<wire::Member>()> members;
  std::function<bool()> has_quorum_contact;
};

class ConfigurationWatchers {
 public:
  // `state` outlives the watchers.
  ConfigurationWatchers(Runtime& runtime, const ConfigurationState& state, GroupStateSource group)
      : runtime_(runtime), state_(state), group_(std::move(group)) {}

  // Answers a long poll, by way of `reply`.
  void watch(const wire::ConfigurationWatch& request, ReplyCallback reply);
  // Answers those for whom there is news. Leaders and members are also looked at every 50 ms.
  void check();
  // Answers all.
  void answer_all();

 private:
  struct Watcher {
    wire::ConfigurationWatch request;
    ReplyCallback reply;
    TimePoint end;
  };

  std::uint64_t leaders_digest() const;
  bool due(const Watcher& watcher, std::uint64_t digest) const;
  void answer(const Watcher& watcher, std::uint64_t digest) const;
  void schedule_check();

  Runtime& runtime_;
  const ConfigurationState& state_;
  GroupStateSource group_;
  std::list<Watcher> watchers_;
  std::unique_ptr<Timer> check_timer_;
};

}  // namespace winchhall::cluster
