// Reads from a majority of the control group which shards hold records, and how new the configuration is.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cluster/consensus/group_context.hpp"

namespace winchhall::cluster {

// What the members of a quorum hold.
struct ShardList {
  std::set<std::string> shards;         // with at least one record that is not deleted
  wire::Ballot accepted_configuration;  // highest ballot at which one of them has accepted a configuration
};

// Invariants:
//   - A list contains every shard that has a record which was acknowledged before the read began and is not
//     deleted. Such a record is on a member of each quorum (see member_record.hpp), and the list is the union
//     of what the members of a quorum hold. One member alone may know less, as it may have started a moment
//     ago or lost its disk. A list may also contain shards whose writes were not acknowledged.
//   - The ballot is not below that of any configuration that was chosen before the read began, as a member of
//     each quorum has accepted that one or a later one.
//
// The request is a MemberPing, which members of earlier versions answer too: they count for the majority, and
// say nothing.
//
// Keeps itself alive until it has ended. `group` must outlive it or drop its calls' answers.
class ShardListReader : public std::enable_shared_from_this<ShardListReader> {
 public:
  // Called once; with none if no majority answered.
  using Done = std::function<void(std::optional<ShardList>)>;

  ShardListReader(GroupContext& group, Done done);

  // Asks all members of the newest member record. `done` may be called from within this function.
  void start();

 private:
  void on_answer(const wire::Member& member, const CallResult& result);
  // True if the answer comes from a voting member of the read's record at its epoch.
  bool counts_for_majority(const wire::Member& member, const wire::MemberPing& answer) const;
  void add(const wire::MemberPing& answer);
  void finish(std::optional<ShardList> list);

  GroupContext& group_;
  Done done_;  // null: ended
  const wire::MemberRecord record_;
  std::size_t unanswered_ = 0;
  std::set<std::uint64_t> answered_;  // members that count
  ShardList list_;                    // what they hold
};

}  // namespace winchhall::cluster
