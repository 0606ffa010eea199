// Acquires and renews one epoch of a shard's lease.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cluster/consensus/group_context.hpp"

namespace winchhall::cluster {

// Notifications of a LeaseRenewer to its owner.
struct LeaseCallbacks {
  // A member or learner granted or renewed the lease. `voting`: its answer counts for a majority.
  std::function<void(std::uint64_t member, bool voting)> on_granted;
  // A majority has granted the lease for the first time; called at most once.
  std::function<void()> on_acquired;
  // The lease was not acquired in time, could not be renewed in time, or a higher epoch was seen. Called at
  // most once, and last.
  std::function<void()> on_lost;
};

// The holder's side of a quorum lease (see lease_timing.hpp). A round sends one request to every member; once
// a majority of voting members at the round's member epoch has granted it, the lease is usable until
// `kLeaseUsable` after the round was sent. An acceptor keeps its grant for longer than that after the request
// arrived, so no other node can get a majority before this holder's lease has expired.
//
// This node's own acceptor is asked last, once its grant would complete a majority: otherwise a candidate in
// a minority partition would raise its own promised epoch repeatedly, and its higher epoch would depose the
// current holder when the partition heals.
class LeaseRenewer : public std::enable_shared_from_this<LeaseRenewer> {
 public:
  // `group` must outlive this object. `epoch`: higher than any that this node has promised or seen.
  LeaseRenewer(GroupContext& group, std::string shard, std::uint64_t epoch, LeaseCallbacks callbacks);

  // Sends the first round; further ones follow until the lease ends.
  void start();
  // Releases the lease at every member and ends without calling `on_lost`.
  void release();

  // True if the lease is certainly held at the current time.
  bool is_held() const { return acquired_ && !ended_ && group_.runtime().now() < expires_at_; }
  std::uint64_t epoch() const { return epoch_; }
  // Distinguishes this acquisition of the epoch from any other one, including those by earlier incarnations
  // of this process.
  std::uint64_t session() const { return session_; }
  // Highest epoch of the shard seen in any answer.
  std::uint64_t highest_epoch() const { return highest_epoch_; }

 private:
  struct Round {
    TimePoint sent_at{};
    wire::MemberRecord record;
    std::set<std::uint64_t> granted;  // voting members
    std::size_t rejected = 0;
    bool own_lease_requested = false;
  };

  wire::Envelope make_request(bool release) const;
  void send_round();
  void request_lease(const std::shared_ptr<Round>& round, const wire::Member& member);
  void renew_at_learners(const wire::MemberRecord& record);
  void request_own_lease_last(const std::shared_ptr<Round>& round);
  void on_reply(const std::shared_ptr<Round>& round, const wire::Member& member, const CallResult& result);
  void on_granted(const std::shared_ptr<Round>& round, const wire::LeaseReply& reply);
  void on_rejected(Round& round, const wire::LeaseReply& reply);
  void count_grant(Round& round, std::uint64_t member);
  void on_majority_granted(const Round& round);
  void arm_expiry_timer();
  void end_as_lost();

  GroupContext& group_;
  const std::string shard_;
  const std::uint64_t epoch_;
  const std::uint64_t session_;
  LeaseCallbacks callbacks_;
  bool acquired_ = false;
  bool ended_ = false;
  TimePoint expires_at_{};  // before the lease is acquired: deadline of the attempt
  std::uint64_t highest_epoch_;
  std::unique_ptr<Timer> renew_timer_;
  std::unique_ptr<Timer> expiry_timer_;
};

}  // namespace winchhall::cluster
