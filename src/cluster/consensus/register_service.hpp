// One node's access to the registers: changes, notifications of chosen values, watches.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/member_rpc_client.hpp"
#include "cluster/consensus/quorum_register_client.hpp"
#include "cluster/consensus/register_acceptor.hpp"
#include "cluster/consensus/register_watcher.hpp"

namespace winchhall::cluster {

// Owns this node's proposer (`client`) and its watches, and connects them with its acceptor, which learns the
// chosen values. A value newly chosen by an attempt of this node is sent to all members and learners, so that
// they learn it without reading from a majority. The notification may be lost (see register_watcher.hpp). All
// references must outlive this object.
class RegisterService {
 public:
  // Called with every member record that is known to be chosen, including known and older ones.
  using MemberRecordCallback = std::function<void(const wire::MemberRecord& record)>;

  // `proposer`: see QuorumRegisterClient. `address`: this node's internal listener.
  RegisterService(GroupContext& group, MemberRpcClient& rpc, RegisterAcceptor& acceptor,
                  std::uint64_t proposer, Address address, MemberRecordCallback on_member_record);

  RegisterClient& client() { return client_; }
  RegisterWatcher& watcher() { return watcher_; }

  // Deletes this node's state of registers that are never needed again.
  void drop(const std::function<bool(const std::string& key)>& unneeded);
  // To be called when this node's acceptor has learned a newer chosen value.
  void on_value_learned(const std::string& key, const RegisterValue& value);
  // Handles another member's notification of a chosen value.
  void handle(const wire::RegisterChosen& chosen, const ReplyCallback& reply);

 private:
  void on_attempt_chosen(const std::string& key, const RegisterValue& value, bool newly_chosen);
  std::set<Address> commit_recipients(const std::string& key, const RegisterValue& value) const;

  GroupContext& group_;
  MemberRpcClient& rpc_;
  RegisterAcceptor& acceptor_;
  const Address address_;
  const MemberRecordCallback on_member_record_;
  QuorumRegisterClient client_;
  RegisterWatcher watcher_;
};

}  // namespace winchhall::cluster
