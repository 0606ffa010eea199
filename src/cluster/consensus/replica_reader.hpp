// Reads one member's whole replica of a shard, page by page, under a lease.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/shard_acceptor.hpp"

namespace winchhall::cluster {

class ReplicaReader : public std::enable_shared_from_this<ReplicaReader> {
 public:
  // `done` is called once with the replica, or with none where the member did not answer, not under this
  // epoch, or does not vote.
  using Done = std::function<void(std::optional<ShardReplica>)>;

  ReplicaReader(GroupContext& group, std::string shard, std::uint64_t epoch, wire::Member member, Done done);

  void start() { ask(std::string()); }

 private:
  void ask(const std::string& after_key);
  void take(const CallResult& result);

  GroupContext& group_;
  const std::string shard_;
  const std::uint64_t epoch_;
  const wire::Member member_;
  const Done done_;
  ShardReplica replica_;
  bool first_page_ = true;
};

}  // namespace winchhall::cluster
