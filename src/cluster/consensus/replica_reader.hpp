// Reads one member's whole replica of a shard, page by page.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/shard_replica.hpp"

namespace winchhall::cluster {

// Reads under an epoch that the member has promised to this node: from the first page on the member rejects
// writes of earlier holders. Keeps itself alive until it has ended.
class ReplicaReader : public std::enable_shared_from_this<ReplicaReader> {
 public:
  // Called once with the replica, or with none if the member didn't answer, has promised another epoch, or
  // doesn't vote.
  using Done = std::function<void(std::optional<ShardReplica>)>;

  ReplicaReader(GroupContext& group, std::string shard, std::uint64_t epoch, wire::Member member, Done done);

  void start() { request_page(std::string()); }

 private:
  void request_page(const std::string& after_key);
  void on_page(const CallResult& result);

  GroupContext& group_;
  const std::string shard_;
  const std::uint64_t epoch_;
  const wire::Member member_;
  const Done done_;
  ShardReplica replica_;
  bool first_page_ = true;
};

}  // namespace winchhall::cluster
