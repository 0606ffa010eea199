// Distributes the newest member record between control nodes and requests this node's admission to the group.
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

// This node sends its record to nodes at an older epoch and requests the record from nodes at a newer one.
// While it isn't a member, or has no contact with a majority, it sends requests to members, seeds and sampled
// control nodes in turn. All references must outlive this object.
class MemberRecordExchange {
 public:
  // `on_record` is called with every record received, also with known and older ones.
  MemberRecordExchange(GroupContext& group, MemberRpcClient& rpc, const LocalMembership& membership,
                       const NodeSettings& settings,
                       std::function<void(const wire::MemberRecord& record)> on_record);

  // Replaces the internal listeners of the seeds, which are initially those of the settings.
  void set_seeds(std::vector<Address> seeds) { seeds_ = std::move(seeds); }
  // Internal listeners of control nodes found by peer sampling: asked while there is no quorum contact.
  void set_sampled_control(std::vector<Address> nodes) { sampled_control_ = std::move(nodes); }

  // A member answered under another epoch than this node's: brings the older side up to date.
  void on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member);
  // Requests the record of one node. Ignored while an earlier request is in flight.
  void fetch(const Address& address);
  // Sends the next node a request for admission if this node should be a member and isn't, or a request for
  // the record while there is no quorum contact. To be called periodically.
  void request_to_join();
  // Sends no further requests for admission, as this node is about to shut down.
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
  std::vector<Address> sampled_control_;
  bool fetch_in_flight_ = false;
  bool join_in_flight_ = false;
  bool leaving_ = false;
  std::size_t next_join_target_ = 0;
  std::map<std::uint64_t, TimePoint> pushed_at_;  // by member
};

}  // namespace winchhall::cluster
