#include "cluster/agent/control_watcher.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr Millis kWait{1000};
constexpr Millis kCallTimeout{1600};
// Between tries of a slot for which no node is at hand that has not failed lately.
constexpr Millis kChoosePause{100};
// Polls of one slot start at least this far apart, unless a newer configuration came.
constexpr Millis kMinPollInterval{100};
constexpr Millis kUnusableConfigurationPause{1000};
constexpr Millis kRefreshTimeout{500};
constexpr Millis kMinRefreshInterval{50};
constexpr Millis kSilence{3000};

wire::Envelope watch_request(std::uint64_t version, std::uint64_t leaders_digest, Millis wait) {
  wire::Envelope request;
  auto& watch = *request.mutable_configuration_watch();
  watch.set_version(version);
  watch.set_leaders_digest(leaders_digest);
  watch.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
  watch.set_fetches(true);
  return request;
}

}  // namespace

ControlWatcher::ControlWatcher(Runtime& runtime, ClusterView& view, ControlDirectory& directory,
                               OnChange on_change)
    : runtime_(runtime),
      view_(view),
      directory_(directory),
      on_change_(std::move(on_change)),
      fetcher_(runtime, view.replica(), [this] { on_fetched(); }) {}

void ControlWatcher::start() {
  for (std::size_t number = 0; number < kSlots; ++number) assign_peer(number);
}

bool ControlWatcher::in_touch() const {
  return last_quorum_contact_ && runtime_.now() - *last_quorum_contact_ <= kSilence;
}

void ControlWatcher::refresh(const Address& failed) {
  const bool just_done = last_refresh_ && runtime_.now() - *last_refresh_ < kMinRefreshInterval;
  if (refreshing_ || just_done) return;
  const Address peer = directory_.choose_any(failed);
  if (peer.empty()) return;
  refreshing_ = true;
  last_refresh_ = runtime_.now();
  runtime_.call(peer, watch_request(view_.version(), 0, Millis(0)), kRefreshTimeout,
                [this, peer](const CallResult& result) { on_refreshed(peer, result); });
}

void ControlWatcher::on_refreshed(const Address& peer, const CallResult& result) {
  refreshing_ = false;
  const bool answered = result.answer && result.answer->has_configuration_update();
  if (!answered) return directory_.record_failure(peer);
  apply_update(peer, result.answer->configuration_update());
}

void ControlWatcher::assign_peer(std::size_t number) {
  Slot& slot = slots_[number];
  slot.timer.reset();
  const auto choice = directory_.choose(peers());
  if (!choice) {
    slot.timer = runtime_.after(kChoosePause, [this, number] { assign_peer(number); });
    return;
  }
  slot.peer = choice->address;
  slot.leaders_digest = 0;
  if (choice->rested) return poll(number);
  poll_later(number, kChoosePause);
}

void ControlWatcher::poll(std::size_t number) {
  Slot& slot = slots_[number];
  slot.timer.reset();
  slot.sent = runtime_.now();
  // What the peer has offered is being fetched: only what is newer is news.
  const std::uint64_t version = std::max(view_.version(), fetcher_.announced_version(slot.peer));
  runtime_.call(slot.peer, watch_request(version, slot.leaders_digest, kWait), kCallTimeout,
                [this, number](const CallResult& result) { on_answer(number, result); });
}

void ControlWatcher::poll_later(std::size_t number, Millis pause) {
  slots_[number].timer = runtime_.after(pause, [this, number] { poll(number); });
}

void ControlWatcher::on_answer(std::size_t number, const CallResult& result) {
  Slot& slot = slots_[number];
  if (!result.answer || !result.answer->has_configuration_update()) {
    directory_.record_failure(slot.peer);
    return replace_peer(number);
  }
  const auto& update = result.answer->configuration_update();
  slot.leaders_digest = update.leaders_digest();
  const auto changes = apply_update(slot.peer, update);
  if (!update.in_touch()) {
    directory_.record_failure(slot.peer);
    return replace_peer(number);
  }
  if (changes.configuration) return poll(number);
  const auto elapsed = std::chrono::duration_cast<Millis>(runtime_.now() - slot.sent);
  const Millis spacing = changes.rejected ? kUnusableConfigurationPause : kMinPollInterval;
  if (elapsed >= spacing) return poll(number);
  poll_later(number, spacing - elapsed);
}

// The node that failed rests for a while, so that another one is chosen if there is any.
void ControlWatcher::replace_peer(std::size_t number) {
  fetcher_.remove_peer(slots_[number].peer);
  slots_[number].peer.clear();
  assign_peer(number);
}

std::set<Address> ControlWatcher::peers() const {
  std::set<Address> peers;
  for (const Slot& slot : slots_) {
    if (!slot.peer.empty()) peers.insert(slot.peer);
  }
  return peers;
}

ViewChanges ControlWatcher::apply_update(const Address& peer, const wire::ConfigurationUpdate& update) {
  if (update.in_touch()) {
    directory_.record_success(peer);
    last_quorum_contact_ = runtime_.now();
  }
  const ViewChanges changes = view_.apply_update(update, runtime_.now());
  if (changes.members) directory_.set_members(view_.members());
  if (changes.configuration || changes.leaders) on_change_(changes);
  const bool to_fetch = update.version() > view_.version() && update.configuration().empty();
  if (to_fetch) fetcher_.on_version_announced(peer, update.version());
  return changes;
}

void ControlWatcher::on_fetched() {
  view_.on_difference_applied(runtime_.now());
  ViewChanges changes;
  changes.configuration = true;
  on_change_(changes);
}

}  // namespace winchhall::cluster
