// A control group whose members answer as the test says.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/consensus/group_context.hpp"

namespace winchhall::cluster::testing {

inline constexpr std::uint64_t kScriptedEpoch = 3;  // of the member record

// Five members with the ids 1 to 5. Records the calls; the test answers them.
class ScriptedGroup : public GroupContext {
 public:
  explicit ScriptedGroup(Runtime& runtime) : runtime_(runtime) {
    record_.set_epoch(kScriptedEpoch);
    for (std::uint64_t id = 1; id <= 5; ++id) record_.add_members()->set_id(id);
  }

  Runtime& runtime() override { return runtime_; }
  const wire::MemberRecord& record() const override { return record_; }
  std::uint64_t self_id() const override { return 1; }
  std::uint64_t next_unique_id() override { return 1; }
  bool voting() const override { return true; }
  bool has_quorum_contact() const override { return true; }
  std::vector<std::uint64_t> reachable_voters() const override { return {}; }
  void call(const wire::Member& member, wire::Envelope request, Millis,
            std::function<void(CallResult)> done) override {
    calls.push_back({member.id(), std::move(request), std::move(done)});
  }
  void defer(std::function<void()> action) override { action(); }
  void on_member_epoch_observed(std::uint64_t, const wire::Member&) override {}
  std::optional<wire::ShardLeader> lease_in_force(const std::string&) const override { return std::nullopt; }
  std::size_t own_lease_count() const override { return 0; }
  std::uint64_t promised_epoch(const std::string&) const override { return 0; }

  struct Call {
    std::uint64_t member = 0;
    wire::Envelope request;
    std::function<void(CallResult)> done;
  };
  std::vector<Call> calls;

 private:
  Runtime& runtime_;
  wire::MemberRecord record_;
};

}  // namespace winchhall::cluster::testing
