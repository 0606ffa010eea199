// Heartbeats between the members of the control group.
#pragma once

#include <cstdint>
#include <functional>

#include "cluster/consensus/acceptor.hpp"
#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/peer_table.hpp"

namespace winchhall::cluster {

// Notifications of news in a ping or in the answer to one. Both are called on the event loop.
struct PingCallbacks {
  // The sender, which is reachable at this address, knows a newer member record than this node.
  std::function<void(const Address& sender)> on_newer_member_record;
  // The ballot of the newest configuration that the sender knows to be chosen; counter 0: none.
  std::function<void(const wire::Ballot& ballot)> on_configuration_ballot;
};

// Sends pings to the other members, answers theirs, and keeps the peer table up to date with the results. A
// ping carries the sender's member epoch, whether it votes, the leases in force at its acceptor and the
// ballot of the configuration that it knows. All references must outlive this object.
class MemberPinger {
 public:
  // `address`: this node's internal listener. `copied_epoch` returns the member epoch under which this node
  // last copied the state.
  MemberPinger(GroupContext& group, const Acceptor& acceptor, PeerTable& peers, Address address,
               std::function<std::uint64_t()> copied_epoch, PingCallbacks callbacks);

  // Pings every other member and learner of the newest member record once.
  void ping_members();
  // Answers a ping; one that wants the shards with the names of those that hold records here, and with the
  // ballot of the accepted configuration. A sender without recent contact is pinged immediately, so that a
  // restarted member counts as reachable before the next interval.
  void handle(const wire::MemberPing& ping, const ReplyCallback& reply);

 private:
  wire::MemberPing make_ping() const;
  void ping(const wire::Member& member);
  void on_ping_received(const wire::MemberPing& ping);
  void ping_sender_without_contact(std::uint64_t sender);

  GroupContext& group_;
  const Acceptor& acceptor_;
  PeerTable& peers_;
  const Address address_;
  const std::function<std::uint64_t()> copied_epoch_;
  const PingCallbacks callbacks_;
};

}  // namespace winchhall::cluster
