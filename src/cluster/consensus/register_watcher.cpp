#include "cluster/consensus/register_watcher.hpp"

#include <utility>

#include "cluster/consensus/ballot.hpp"
#include "cluster/consensus/register_keys.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kRefreshReadTimeout{3000};
}

void RegisterWatcher::watch(const std::string& key, Listener on_newer) {
  auto watch = std::make_shared<Watch>();
  watch->key = key;
  watch->on_newer = std::move(on_newer);
  watches_.push_back(watch);
  to_read_.insert(key);
  if (const std::optional<RegisterValue> value = acceptor_.chosen(key)) notify(*watch, *value);
}

void RegisterWatcher::notify_all() {
  // Iterates over a copy because a listener may add a watch.
  for (const std::shared_ptr<Watch>& watch : std::vector(watches_)) {
    if (const std::optional<RegisterValue> value = acceptor_.chosen(watch->key)) notify(*watch, *value);
  }
}

void RegisterWatcher::on_value_chosen(const std::string& key, const RegisterValue& value) {
  for (const std::shared_ptr<Watch>& watch : std::vector(watches_)) {
    if (watch->key == key) notify(*watch, value);
  }
}

void RegisterWatcher::notify(Watch& watch, const RegisterValue& value) {
  if (watch.last_notified == value.value) return;
  watch.last_notified = value.value;
  watch.on_newer(value);
}

void RegisterWatcher::on_configuration_ballot(const wire::Ballot& ballot) {
  if (is_lower(newest_reported_configuration_, ballot)) newest_reported_configuration_ = ballot;
}

void RegisterWatcher::refresh(bool has_quorum_contact) {
  if (has_quorum_contact && !had_quorum_contact_) {
    for (const std::shared_ptr<Watch>& watch : watches_) to_read_.insert(watch->key);
  }
  had_quorum_contact_ = has_quorum_contact;
  add_outdated_configuration();
  add_unresolved_registers();
  if (!has_quorum_contact) return;
  for (const std::string& key : std::exchange(to_read_, {})) read_from_majority(key);
}

void RegisterWatcher::add_outdated_configuration() {
  const std::optional<RegisterValue> known = acceptor_.chosen(kConfigurationRegisterKey);
  const wire::Ballot known_ballot = known ? known->ballot : wire::Ballot();
  if (is_lower(known_ballot, newest_reported_configuration_)) to_read_.insert(kConfigurationRegisterKey);
}

// The proposer of such a value may have acknowledged it and crashed before it notified other members.
void RegisterWatcher::add_unresolved_registers() {
  for (const std::shared_ptr<Watch>& watch : watches_) {
    const wire::Ballot unresolved = acceptor_.unresolved_ballot(watch->key);
    const bool stays_unresolved = is_set(unresolved) && same_ballot(unresolved, watch->unresolved_ballot);
    if (stays_unresolved) to_read_.insert(watch->key);
    watch->unresolved_ballot = unresolved;
  }
}

void RegisterWatcher::read_from_majority(const std::string& key) {
  if (!reads_in_progress_.insert(key).second) return;
  client_.read(key, kRefreshReadTimeout, [this, key](const std::optional<RegisterValue>& value) {
    reads_in_progress_.erase(key);
    if (!value) to_read_.insert(key);
  });
}

}  // namespace winchhall::cluster
