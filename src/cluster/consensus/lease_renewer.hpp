// Asks for one epoch of a shard's lease, and renews it until it is lost or given back.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cluster/consensus/group_context.hpp"

namespace winchhall::cluster {

struct LeaseCallbacks {
  // A member granted, or renewed. `voting`: its answer counts.
  std::function<void(std::uint64_t member, bool voting)> on_granted;
  // A majority has granted; called once.
  std::function<void()> on_acquired;
  // The lease wasn't got, can't be renewed in time, or a higher epoch was seen. Called at most once, and
  // last.
  std::function<void()> on_lost;
};

class LeaseRenewer : public std::enable_shared_from_this<LeaseRenewer> {
 public:
  LeaseRenewer(GroupContext& group, std::string shard, std::uint64_t epoch, LeaseCallbacks callbacks);

  void start();
  // Gives the lease back at every member and ends without a word.
  void release();

  // True while the lease certainly holds, by the clock of this moment.
  bool holds() const { return acquired_ && !ended_ && group_.runtime().now() < end_; }
  std::uint64_t epoch() const { return epoch_; }
  // Tells this request for the epoch from any other.
  std::uint64_t session() const { return session_; }
  // Highest epoch of the shard seen in any answer.
  std::uint64_t highest_epoch() const { return highest_epoch_; }
  // Epoch of the member record under which the majority granted first.
  std::uint64_t granted_under() const { return granted_under_; }

 private:
  // One request to all members; a majority of one round's answers extends the lease from the round's sending.
  struct Round {
    TimePoint sent_at{};
    wire::MemberRecord record;
    std::set<std::uint64_t> granted;
    std::size_t refused = 0;
    bool own_lease_requested = false;
  };

  wire::Envelope request(bool release) const;
  void send_round();
  void ask(const std::shared_ptr<Round>& round, const wire::Member& member);
  void request_own_lease_last(const std::shared_ptr<Round>& round);
  void answered(const std::shared_ptr<Round>& round, const wire::Member& member, const CallResult& result);
  void count_grant(Round& round, std::uint64_t member);
  void on_majority_granted(const Round& round);
  void arm_expiry_timer();
  void lose();

  GroupContext& group_;
  const std::string shard_;
  const std::uint64_t epoch_;
  const std::uint64_t session_;
  LeaseCallbacks callbacks_;
  bool acquired_ = false;
  bool ended_ = false;
  TimePoint end_{};
  std::uint64_t highest_epoch_;
  std::uint64_t granted_under_ = 0;
  std::unique_ptr<Timer> renew_timer_;
  std::unique_ptr<Timer> end_timer_;
};

}  // namespace winchhall::cluster
