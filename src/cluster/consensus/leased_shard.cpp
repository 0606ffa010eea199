#include "cluster/consensus/leased_shard.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/stable_hash.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kLeaseCheckInterval{50};
// Parts of the election delay.
constexpr Millis kRankDelay{80};         // for each candidate that ranks before this one
constexpr Millis kOtherLeaseDelay{160};  // for each other shard that the candidate leads
constexpr Millis::rep kMaxJitterMs = 50;

}  // namespace

LeasedShard::LeasedShard(GroupContext& group, std::string name, ShardCallbacks callbacks)
    : group_(group), name_(std::move(name)), callbacks_(std::move(callbacks)) {
  schedule_check(Millis(0));
}

LeasedShard::~LeasedShard() {
  if (leadership_) leadership_->release();
}

bool LeasedShard::leads() const { return leadership_ && leadership_->leads(); }

std::uint64_t LeasedShard::epoch() const { return leadership_ ? leadership_->epoch() : 0; }

void LeasedShard::schedule_check(Millis delay) {
  check_timer_ = group_.runtime().after(delay, [this] { check_lease(); });
}

void LeasedShard::check_lease() {
  if (leadership_ || stepped_down_) return;
  if (!group_.voting() || !group_.has_quorum_contact() || !lease_is_free()) {
    request_at_.reset();
    return schedule_check(kLeaseCheckInterval);
  }
  const TimePoint now = group_.runtime().now();
  if (!request_at_) request_at_ = now + election_delay();
  if (now >= *request_at_) return request_lease();
  const Millis left = std::chrono::duration_cast<Millis>(*request_at_ - now) + Millis(1);
  schedule_check(std::min(left, kLeaseCheckInterval));
}

bool LeasedShard::lease_is_free() const {
  const std::optional<wire::ShardLeader> leader = group_.lease_in_force(name_);
  return !leader || leader->holder() == group_.self_id();
}

Millis LeasedShard::election_delay() const {
  // This node held the lease before a restart: the other candidates wait until it expires.
  if (group_.lease_in_force(name_)) return Millis(0);
  const auto rank_hash = [this](std::uint64_t member) {
    return stable_hash(name_ + "/" + std::to_string(member));
  };
  const std::uint64_t own_rank_hash = rank_hash(group_.self_id());
  const std::vector<std::uint64_t> voters = group_.reachable_voters();
  const Millis::rep rank = std::count_if(
      voters.begin(), voters.end(), [&](std::uint64_t member) { return rank_hash(member) < own_rank_hash; });
  const auto other_leases = static_cast<Millis::rep>(group_.own_lease_count());
  const auto jitter = static_cast<Millis::rep>(group_.runtime().random() % kMaxJitterMs);
  return kRankDelay * rank + kOtherLeaseDelay * other_leases + Millis(jitter);
}

void LeasedShard::request_lease() {
  request_at_.reset();
  const std::uint64_t epoch = std::max(highest_seen_epoch_, group_.promised_epoch(name_)) + 1;
  LeadershipCallbacks callbacks;
  callbacks.on_lead = [this, epoch](std::vector<ShardEntry> entries) {
    callbacks_.on_lead(epoch, std::move(entries));
  };
  callbacks.on_lost = [this] { step_down_on_lost_lease(); };
  leadership_ = std::make_shared<ShardLeadership>(group_, name_, epoch, std::move(callbacks));
  leadership_->start();
}

void LeasedShard::write(std::vector<ShardChange> changes, std::function<void(ShardWriteOutcome)> done) {
  if (leads()) return leadership_->write(changes, std::move(done));
  // The lease may have expired only after the caller checked it, and may still be renewed. But the caller's
  // later writes depend on this one, so none of them may succeed under this epoch.
  if (leadership_) leadership_->abandon();
  group_.defer([done = std::move(done)] { done(ShardWriteOutcome::lost); });
}

void LeasedShard::on_membership_changed() {
  // Keeps the leadership alive, as its callbacks may end it or destroy this object.
  const std::shared_ptr<ShardLeadership> leadership = leadership_;
  if (leadership) leadership->on_membership_changed();
}

void LeasedShard::step_down() {
  stepped_down_ = true;
  if (leadership_) step_down_on_lost_lease();
}

void LeasedShard::step_down_on_lost_lease() {
  const std::shared_ptr<ShardLeadership> ended = std::exchange(leadership_, nullptr);
  highest_seen_epoch_ = std::max(highest_seen_epoch_, ended->highest_epoch());
  ended->release();
  if (!stepped_down_) schedule_check(Millis(0));
  ended->fail_writes();
  if (ended->has_led()) callbacks_.on_lost();
}

}  // namespace winchhall::cluster
