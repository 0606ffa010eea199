// The control group: a member, or a candidate, of the group of nodes that keep registers and shards.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/acceptor.hpp"
#include "cluster/consensus/excess_member_remover.hpp"
#include "cluster/consensus/leased_shard.hpp"
#include "cluster/consensus/member_joiner.hpp"
#include "cluster/consensus/member_rpc_client.hpp"
#include "cluster/consensus/peer_table.hpp"
#include "cluster/consensus/quorum_register_client.hpp"
#include "cluster/consensus/state_transfer.hpp"
#include "cluster/store/store.hpp"

namespace winchhall::cluster {

class ControlGroup : private GroupContext {
 public:
  // Told of a register's newer values that are known to be chosen.
  using RegisterWatch = std::function<void(const RegisterValue& value)>;

  ControlGroup(Runtime& runtime, DurableStore& store, const NodeSettings& settings);
  ~ControlGroup() override;

  // Loads the store and takes part from now on.
  void start();
  // Before a planned end: leaves the group where it can do without this member. `done` is called once, after
  // at most `limit`.
  void leave(Millis limit, std::function<void()> done);
  // Takes part no more; shards that are still led are to be stepped down before.
  void stop();
  // Answers requests of other control nodes; false: of another kind.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);

  RegisterClient& registers() { return client_; }
  // This node's part in a shard. To be destroyed before the group.
  std::unique_ptr<ReplicatedShard> open_shard(std::string name, ShardCallbacks callbacks);
  // Internal listeners of the seeds, after a change of the settings.
  void set_seeds(std::vector<Address> seeds) { seeds_ = std::move(seeds); }
  // Control nodes that peer sampling brought up: also asked for the record while no majority is heard.
  void set_sampled_control(std::vector<Address> nodes) { sampled_ = std::move(nodes); }
  // Calls `on_newer` for the value known now, if any, and for every newer one that differs.
  void watch_register(const std::string& key, RegisterWatch on_newer);

  // A register's value as far as it is known to be chosen here; none: never heard of one.
  std::optional<std::string> locally_known_value(const std::string& key) const;
  // Drops what is kept here of registers that are never needed again.
  void drop_registers(const std::function<bool(const std::string& key)>& unneeded);
  // Every member has said that it reads configuration records with snapshots.
  bool members_read_snapshots() const;

  // Names of the shards that this node keeps a replica of.
  std::vector<std::string> stored_shards() const;

  // Newest member record known; epoch 0: none yet.
  const wire::MemberRecord& members() const { return record_; }
  // Leases in force as far as known here.
  std::vector<wire::ShardLeader> leaders() const;
  // True while a majority of the members was heard within the last second.
  bool has_quorum_contact() const override;
  std::uint64_t member_id() const { return membership_status_.id; }
  // A member of the newest record that holds all state: its answers count.
  bool votes() const { return membership_status_.voting; }

 private:
  struct Watch {
    std::string key;
    RegisterWatch on_newer;
    std::optional<std::string> told;
    wire::Ballot unresolved_ballot;  // at the last tick
  };
  class OpenShard;

  // GroupContext
  Runtime& runtime() override { return runtime_; }
  const wire::MemberRecord& record() const override { return record_; }
  std::uint64_t self_id() const override { return membership_status_.id; }
  std::uint64_t next_unique_id() override;
  bool voting() const override { return membership_status_.voting; }
  std::vector<std::uint64_t> reachable_voters() const override;
  void call(const wire::Member& member, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done) override;
  void defer(std::function<void()> action) override { calls_.defer(std::move(action)); }
  void on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member) override;
  std::optional<wire::ShardLeader> lease_in_force(const std::string& shard) const override;
  std::size_t own_lease_count() const override;
  std::uint64_t promised_epoch(const std::string& shard) const override;

  // Identity and member records
  void load();
  void initialize_identity();
  wire::Member self_member() const;
  void activate();
  void adopt(const wire::MemberRecord& record);
  void adopted(const wire::MemberRecord& record, const wire::NodeIdentity& identity);
  void update_membership_status();

  // Exchange with others
  void tick();
  void ping(const wire::Member& member);
  wire::MemberPing make_ping() const;
  void ping_back(std::uint64_t from);
  void on_ping_received(const wire::MemberPing& ping);
  void fetch_member_record(const Address& address);
  void push_member_record(const wire::Member& member);
  void request_to_join();
  std::vector<Address> join_targets() const;
  void synchronize();
  void retry_state_transfer_later();
  void synchronized(const std::vector<TransferredState>& copies, std::uint64_t member_epoch);

  // Registers
  void register_chosen(const std::string& key, const RegisterValue& value);
  void on_attempt_chosen(const std::string& key, const RegisterValue& value, bool newly_chosen);
  std::set<Address> commit_recipients(const std::string& key, const RegisterValue& value) const;
  void handle_chosen(const wire::RegisterChosen& chosen, const ReplyCallback& reply);
  void handle_state_pull(const wire::StatePull& pull, const ReplyCallback& reply);
  void tell(Watch& watch, const RegisterValue& value);
  void refresh_registers();
  void refresh_unresolved_registers();
  void refresh(const std::string& key);

  Runtime& runtime_;
  DurableStore& store_;
  const NodeSettings settings_;
  std::vector<Address> seeds_;    // internal listeners; those of the settings at first
  std::vector<Address> sampled_;  // control nodes from peer sampling
  CommitQueue commit_queue_;
  MembershipStatus membership_status_;
  wire::NodeIdentity identity_;
  wire::MemberRecord record_;
  std::uint64_t adopting_epoch_ = 0;
  Acceptor acceptor_;
  MemberRpcClient calls_;
  PeerTable peers_;
  QuorumRegisterClient client_;
  MemberJoiner member_joiner_;
  ExcessMemberRemover excess_member_remover_;
  std::set<LeasedShard*> shards_;
  std::vector<std::shared_ptr<Watch>> watches_;
  bool active_ = false;
  std::shared_ptr<StateTransfer> sync_;
  unsigned failed_syncs_ = 0;  // since the record was adopted
  std::unique_ptr<Timer> sync_timer_;
  bool fetching_ = false;
  bool joining_ = false;
  bool leaving_ = false;
  std::size_t next_join_target_ = 0;
  std::map<std::uint64_t, TimePoint> pushed_at_;
  bool had_quorum_contact_ = false;
  std::set<std::string> to_refresh_;
  std::set<std::string> refreshing_;
  wire::Ballot
      newest_reported_configuration_;  // highest chosen ballot of the configuration that others told of
  std::unique_ptr<Timer> tick_timer_;
};

}  // namespace winchhall::cluster
