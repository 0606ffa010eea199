// One node's participation in the control group: as member or candidate, acceptor, proposer, lease holder.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/acceptor.hpp"
#include "cluster/consensus/commit_queue.hpp"
#include "cluster/consensus/excess_member_remover.hpp"
#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/lease_directory.hpp"
#include "cluster/consensus/leased_shard.hpp"
#include "cluster/consensus/local_membership.hpp"
#include "cluster/consensus/member_joiner.hpp"
#include "cluster/consensus/member_pinger.hpp"
#include "cluster/consensus/member_record_exchange.hpp"
#include "cluster/consensus/member_rpc_client.hpp"
#include "cluster/consensus/peer_table.hpp"
#include "cluster/consensus/register_service.hpp"
#include "cluster/consensus/shard_list_reader.hpp"
#include "cluster/consensus/state_transfer_manager.hpp"
#include "cluster/store/store.hpp"

namespace winchhall::cluster {

// Facade of the module: owns its components, connects them, dispatches requests to them and runs their
// periodic work. The components and their algorithms:
//   - registers: compare-and-swap by two quorum phases (register_client.hpp);
//   - shards: records replicated by the holder of a quorum lease (leased_shard.hpp, shard_acceptor.hpp);
//   - members: one change of the member record at a time (member_record.hpp);
//   - newcomers: transfer of the state before they vote (state_transfer.hpp).
// Invariant: promises and acknowledgements are sent only once they are durable here, and requests and answers
// carry the epoch of this node's newest durable member record. All calls must be made on the event loop.
class ControlGroup : private GroupContext {
 public:
  // `runtime` and `store` must outlive this object. Nothing is sent or read before `start`.
  ControlGroup(Runtime& runtime, DurableStore& store, const NodeSettings& settings);
  ~ControlGroup() override;

  // Loads the store and starts to participate in the group.
  void start();
  // Before a planned shutdown: leaves the group if it tolerates as many losses without this member. `done` is
  // called once, from within this function or later, after at most `limit`.
  void leave(Millis limit, std::function<void()> done);
  // Leaves requests unanswered from now on and stops the periodic work. The caller has to step down first
  // from the shards that this node leads.
  void stop();
  // Handles requests of other control nodes. Returns false for requests of a kind not handled here. Before
  // `start` and after `stop` requests are not answered.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);

  RegisterClient& registers() { return registers_.client(); }
  // Opens this node's participation in a shard, which must be destroyed before the group.
  std::unique_ptr<ReplicatedShard> open_shard(std::string name, ShardCallbacks callbacks);
  // Replaces the internal listeners of the seeds after a change of the settings.
  void set_seeds(std::vector<Address> seeds) { record_exchange_.set_seeds(std::move(seeds)); }
  // Internal listeners of control nodes that peer sampling found: asked for the member record while there is
  // no quorum contact.
  void set_sampled_control(std::vector<Address> nodes) {
    record_exchange_.set_sampled_control(std::move(nodes));
  }
  // Calls `on_newer` for the value known now, if any, and for every newer one that differs.
  void watch_register(const std::string& key, RegisterWatcher::Listener on_newer);

  // The newest value of a register that this node knows to be chosen, if any.
  std::optional<std::string> locally_known_value(const std::string& key) const;
  // Deletes this node's state of registers that are never needed again.
  void drop_registers(const std::function<bool(const std::string& key)>& unneeded);
  // True if every member has announced that it reads configuration records with snapshots.
  bool members_read_snapshots() const;

  // Calls `on_added` once with the name of each shard of which this node has a replica, whichever way it got
  // it: from its disk, by a lease or write of another node, or by a state transfer. To be called before
  // `start`, which calls it for those on the disk; an empty function ends it.
  void watch_shards(std::function<void(const std::string& shard)> on_added) {
    on_shard_added_ = std::move(on_added);
  }

  // Reads from a majority which shards hold records. `done` is not called if the group is destroyed before.
  void list_shards(ShardListReader::Done done);

  // Newest durable member record; epoch 0: none yet.
  const wire::MemberRecord& members() const { return membership_.record(); }
  // Holders of the shards' leases as far as known here, granted by a majority.
  std::vector<wire::ShardLeader> leaders() const { return leases_.confirmed_leaders(); }
  // True if a majority of the members, this node included, answered a ping within `kContactTimeout`.
  bool has_quorum_contact() const override;
  std::uint64_t member_id() const { return membership_.status().id; }
  // True if this node is a member of the newest record and holds all state: its answers count.
  bool votes() const { return membership_.status().voting; }

 private:
  // Registers itself with the group while it exists.
  class OpenShard;

  // GroupContext
  Runtime& runtime() override { return runtime_; }
  const wire::MemberRecord& record() const override { return membership_.record(); }
  std::uint64_t self_id() const override { return membership_.status().id; }
  std::uint64_t next_unique_id() override;
  bool voting() const override { return membership_.status().voting; }
  std::vector<std::uint64_t> reachable_voters() const override;
  void call(const wire::Member& member, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done) override;
  void defer(std::function<void()> action) override { rpc_.defer(std::move(action)); }
  void on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member) override;
  std::optional<wire::ShardLeader> lease_in_force(const std::string& shard) const override;
  std::size_t own_lease_count() const override { return leases_.lease_count_of(self_id()); }
  std::uint64_t promised_epoch(const std::string& shard) const override;

  MembershipCallbacks membership_callbacks();
  PingCallbacks ping_callbacks();
  void load();
  void activate();
  void run_periodic_work();
  void on_record_adopted();
  void notify_shards_of_membership();
  // Passes the shards that were added since the last call to `watch_shards`' listener.
  void announce_added_shards();

  Runtime& runtime_;
  DurableStore& store_;
  const NodeSettings settings_;
  CommitQueue commit_queue_;
  PeerTable peers_;
  LocalMembership membership_;
  Acceptor acceptor_;
  LeaseDirectory leases_;
  MemberRpcClient rpc_;
  RegisterService registers_;
  MemberPinger pinger_;
  MemberRecordExchange record_exchange_;
  StateTransferManager state_transfer_;
  MemberJoiner joiner_;
  ExcessMemberRemover excess_member_remover_;
  std::set<LeasedShard*> shards_;
  std::function<void(const std::string& shard)> on_shard_added_;
  std::set<std::string> announced_shards_;
  bool active_ = false;
  std::unique_ptr<Timer> periodic_timer_;
};

}  // namespace winchhall::cluster
