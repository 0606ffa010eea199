// Spreads the newest member record between control nodes, and asks for this node's admission to the group.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/local_membership.hpp"
#include "cluster/consensus/member_rpc_client.hpp"

namespace winchhall::cluster {

// A node that sees another one at an older epoch sends it the record, one at a newer epoch is asked for it. A
// node that isn't a member, or that has no contact with a majority, asks members, seeds and sampled control
// nodes in turn. All references must outlive this object.
class MemberRecordExchange {
 public:
  // `on_record` is called with every record received, also with known and older ones.
  MemberRecordExchange(GroupContext& group, MemberRpcClient& rpc, const LocalMembership& membership,
                       const NodeSettings& settings,
                       std::function<void(const wire::MemberRecord& record)> on_record);

  // Internal listeners of the seeds; those of the settings at first.
  void set_seeds(std::vector<Address> seeds) { seeds_ = std::move(seeds); }
  // Internal listeners of control nodes found by peer sampling: asked while there is no quorum contact.
  void set_sampled_control(std::vector<Address> nodes) { sampled_ = std::move(nodes); }

  // A member answered under another epoch than this node's: brings the older side up to date.
  void on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member);
  // Asks one node for its record. One request at a time; further ones are dropped.
  void fetch(const Address& address);
  // Asks the next node for admission if this node should be a member and isn't, and for the record while
  // there is no quorum contact. To be called periodically.
  void request_to_join();
  // This node is about to end: no more requests for admission.
  void stop_joining() { leaving_ = true; }

 private:
  bool wants_to_join() const;
  std::vector<Address> join_targets() const;
  void request_record(const Address& address, wire::Envelope request, bool& in_flight);
  void push(const wire::Member& member);

  GroupContext& group_;
  MemberRpcClient& rpc_;
  const LocalMembership& membership_;
  const NodeSettings& settings_;
  const std::function<void(const wire::MemberRecord& record)> on_record_;
  std::vector<Address> seeds_;
  std::vector<Address> sampled_;
  bool fetch_in_flight_ = false;
  bool join_in_flight_ = false;
  bool leaving_ = false;
  std::size_t next_join_target_ = 0;
  std::map<std::uint64_t, TimePoint> pushed_at_;  // by member
};

}  // namespace winchhall::cluster
