// Runs and retries the state transfer to this node while it is a member or learner that lacks the state.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "cluster/consensus/acceptor.hpp"
#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/local_membership.hpp"
#include "cluster/consensus/state_transfer.hpp"

namespace winchhall::cluster {

// Handles both directions: copies the other members' state to this node's acceptor if this node is a
// newcomer, and serves pages of this node's state to newcomers. All references must outlive this object.
class StateTransferManager {
 public:
  StateTransferManager(GroupContext& group, Acceptor& acceptor, LocalMembership& membership)
      : group_(group), acceptor_(acceptor), membership_(membership) {}
  ~StateTransferManager() { stop(); }

  // Starts a transfer if this node needs one and none is in progress. To be called periodically.
  void start_if_needed();
  // To be called when a newer member record is in use: resets the backoff of retries.
  void on_record_adopted() { failed_transfers_ = 0; }
  // Ends a transfer in progress.
  void stop();

  // Serves one page of the acceptor's state.
  void handle(const wire::StatePull& pull, const ReplyCallback& reply) const;

 private:
  void on_finished(const std::vector<TransferredState>& copies, std::uint64_t member_epoch);
  void retry_later();

  GroupContext& group_;
  Acceptor& acceptor_;
  LocalMembership& membership_;
  std::shared_ptr<StateTransfer> transfer_;
  unsigned failed_transfers_ = 0;  // since the member record was adopted
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace winchhall::cluster
