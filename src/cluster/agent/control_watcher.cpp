#include "cluster/agent/control_watcher.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr Millis kLongPollWait{1000};
constexpr Millis kLongPollTimeout{1600};
// Time-out of a poll while no control node with quorum contact is known. Such a poll is answered at once. The
// time-out is short so that a node which starts after this agent is found by the next poll, and not only when
// TCP retransmits after one second. It is doubled with each consecutive failure, towards the time-out of a
// long poll, so that slow nodes are found too.
constexpr Millis kSearchPollTimeout{300};
constexpr unsigned kMaxSearchTimeoutDoublings = 2;
// Delay before a slot polls a node that is backing off, or searches again for a node to poll.
constexpr Millis kNoReadyPeerDelay{100};
// Minimum time between the starts of two polls of a slot, unless the first one returned a newer
// configuration.
constexpr Millis kMinPollInterval{100};
constexpr Millis kMinPollIntervalAfterRejection{1000};
constexpr Millis kRefreshTimeout{500};
constexpr Millis kMinRefreshInterval{50};
// Quorum contact counts as lost if no node with a quorum has answered for this long.
constexpr Millis kContactTimeout{3000};

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
      fetcher_(runtime, view.replica(), [this] { on_difference_fetched(); }) {}

void ControlWatcher::start() {
  for (std::size_t index = 0; index < kSlots; ++index) assign_peer(index);
}

bool ControlWatcher::has_quorum_contact() const {
  return last_quorum_contact_ && runtime_.now() - *last_quorum_contact_ <= kContactTimeout;
}

void ControlWatcher::refresh(const Address& failed) {
  const bool just_refreshed = last_refresh_ && runtime_.now() - *last_refresh_ < kMinRefreshInterval;
  if (refreshing_ || just_refreshed) return;
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

void ControlWatcher::assign_peer(std::size_t index) {
  Slot& slot = slots_[index];
  slot.timer.reset();
  const auto choice = directory_.choose(peers());
  if (!choice) {
    slot.timer = runtime_.after(kNoReadyPeerDelay, [this, index] { assign_peer(index); });
    return;
  }
  slot.peer = choice->address;
  slot.leaders_digest = 0;
  if (choice->ready) return poll(index);
  poll_after(index, kNoReadyPeerDelay);
}

void ControlWatcher::poll(std::size_t index) {
  Slot& slot = slots_[index];
  slot.timer.reset();
  slot.sent_at = runtime_.now();
  // The version that the peer has announced is being fetched: only a newer one should end the poll.
  const std::uint64_t version = std::max(view_.version(), fetcher_.announced_version(slot.peer));
  const bool searching = !has_quorum_contact();
  const Millis wait = searching ? Millis(0) : kLongPollWait;
  const Millis timeout = searching ? search_poll_timeout(slot) : kLongPollTimeout;
  runtime_.call(slot.peer, watch_request(version, slot.leaders_digest, wait), timeout,
                [this, index](const CallResult& result) { on_answer(index, result); });
}

Millis ControlWatcher::search_poll_timeout(const Slot& slot) {
  return kSearchPollTimeout * (1 << std::min(slot.failures, kMaxSearchTimeoutDoublings));
}

void ControlWatcher::poll_after(std::size_t index, Millis delay) {
  slots_[index].timer = runtime_.after(delay, [this, index] { poll(index); });
}

void ControlWatcher::on_answer(std::size_t index, const CallResult& result) {
  Slot& slot = slots_[index];
  const bool answered = result.answer && result.answer->has_configuration_update();
  if (!answered) return replace_failed_peer(index);
  slot.failures = 0;
  const auto& update = result.answer->configuration_update();
  slot.leaders_digest = update.leaders_digest();
  const ViewChanges changes = apply_update(slot.peer, update);
  if (!update.in_touch()) return replace_failed_peer(index);
  if (changes.configuration) return poll(index);
  const auto elapsed = std::chrono::duration_cast<Millis>(runtime_.now() - slot.sent_at);
  const Millis interval = changes.rejected ? kMinPollIntervalAfterRejection : kMinPollInterval;
  if (elapsed >= interval) return poll(index);
  poll_after(index, interval - elapsed);
}

void ControlWatcher::replace_failed_peer(std::size_t index) {
  Slot& slot = slots_[index];
  ++slot.failures;
  directory_.record_failure(slot.peer);
  fetcher_.remove_peer(slot.peer);
  slot.peer.clear();
  assign_peer(index);
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
  const bool announces_newer = update.version() > view_.version() && update.configuration().empty();
  if (announces_newer) fetcher_.on_version_announced(peer, update.version());
  return changes;
}

void ControlWatcher::on_difference_fetched() {
  view_.on_difference_applied(runtime_.now());
  ViewChanges changes;
  changes.configuration = true;
  on_change_(changes);
}

}  // namespace winchhall::cluster
