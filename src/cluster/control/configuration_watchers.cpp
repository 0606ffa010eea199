#include "cluster/control/configuration_watchers.hpp"

#include <algorithm>

#include "cluster/common/digest.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kLeadersCheckInterval{50};
constexpr Millis kMaxWatchDuration{10'000};

}  // namespace

std::uint64_t ConfigurationWatchers::leaders_digest() const {
  std::vector<wire::ShardLeader> leaders = group_.leaders();
  std::sort(leaders.begin(), leaders.end(),
            [](const wire::ShardLeader& left, const wire::ShardLeader& right) {
              return left.shard() < right.shard();
            });
  Digest digest;
  for (const wire::ShardLeader& leader : leaders) {
    digest.add(leader.shard());
    digest.add(leader.epoch());
    digest.add(leader.address());
  }
  for (const wire::Member& member : group_.members()) {
    digest.add(member.id());
    digest.add(member.address());
  }
  return digest.value();
}

void ConfigurationWatchers::watch(const wire::ConfigurationWatch& request, ReplyCallback reply) {
  const Millis wait = std::min(Millis(request.wait_ms()), kMaxWatchDuration);
  Watcher watcher{request, std::move(reply), runtime_.now() + wait};
  const std::uint64_t digest = leaders_digest();
  if (is_due(watcher, digest)) return answer(watcher, digest);
  watchers_.push_back(std::move(watcher));
  if (!check_timer_) schedule_check();
}

void ConfigurationWatchers::answer_all() {
  check_timer_.reset();
  const std::uint64_t digest = leaders_digest();
  std::list<Watcher> open;
  open.swap(watchers_);
  for (const Watcher& watcher : open) answer(watcher, digest);
}

bool ConfigurationWatchers::is_due(const Watcher& watcher, std::uint64_t digest) const {
  return state_.version() > watcher.request.version() || digest != watcher.request.leaders_digest() ||
         runtime_.now() >= watcher.deadline;
}

void ConfigurationWatchers::answer(const Watcher& watcher, std::uint64_t digest) const {
  wire::Envelope envelope;
  wire::ConfigurationUpdate& update = *envelope.mutable_configuration_update();
  update.set_version(state_.version());
  const bool send_complete = !watcher.request.fetches() && state_.version() > watcher.request.version();
  if (send_complete) update.set_configuration(state_.json());
  for (const wire::ShardLeader& leader : group_.leaders()) *update.add_leaders() = leader;
  for (const wire::Member& member : group_.members()) *update.add_members() = member;
  update.set_leaders_digest(digest);
  update.set_in_touch(group_.has_quorum_contact());
  watcher.reply(std::move(envelope));
}

void ConfigurationWatchers::answer_due_watchers() {
  if (watchers_.empty()) return;
  const std::uint64_t digest = leaders_digest();
  for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
    if (!is_due(*watcher, digest)) {
      ++watcher;
      continue;
    }
    const Watcher answered = std::move(*watcher);
    watcher = watchers_.erase(watcher);
    answer(answered, digest);
  }
}

void ConfigurationWatchers::schedule_check() {
  check_timer_ = runtime_.after(kLeadersCheckInterval, [this] {
    answer_due_watchers();
    if (watchers_.empty()) {
      check_timer_.reset();
    } else {
      schedule_check();
    }
  });
}

}  // namespace winchhall::cluster
