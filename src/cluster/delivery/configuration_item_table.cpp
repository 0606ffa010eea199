#include "cluster/delivery/configuration_item_table.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "cluster/common/digest.hpp"
#include "cluster/delivery/configuration_items.hpp"

namespace winchhall::cluster {

// The digest of a configuration is the sum of its items' digests, modulo 2^64: independent of their order,
// and updated in time proportional to the change.
std::uint64_t ConfigurationItemTable::digest_of(const wire::ConfigurationItem& item) {
  Digest digest;
  digest.add(static_cast<std::uint64_t>(item.kind()));
  digest.add(item.name());
  digest.add(item.encoded());
  return digest.value();
}

const ConfigurationItemTable::Entry* ConfigurationItemTable::find(const wire::ConfigurationItem& item) const {
  const auto& by_key = entries_.get<ByKey>();
  const auto found = by_key.find(std::make_tuple(item.kind(), item.name()));
  return found == by_key.end() ? nullptr : &*found;
}

DifferenceCheck ConfigurationItemTable::check(const wire::ConfigurationDifference& difference) const {
  const bool is_full = difference.base_version() == 0;
  const ConfigurationId base{difference.base_version(), difference.base_digest()};
  if (difference.version() <= id_.version) return DifferenceCheck::not_newer;
  if (!is_full && base != id_) return DifferenceCheck::other_base;
  if (digest_after(difference) != difference.digest()) return DifferenceCheck::wrong_digest;
  return DifferenceCheck::applicable;
}

std::uint64_t ConfigurationItemTable::digest_after(const wire::ConfigurationDifference& difference) const {
  const bool is_full = difference.base_version() == 0;
  std::uint64_t digest = is_full ? 0 : id_.digest;
  for (const wire::ConfigurationItem& item : difference.items()) {
    const Entry* const replaced = is_full ? nullptr : find(item);
    if (replaced != nullptr) digest -= replaced->digest;
    if (!item.removed()) digest += digest_of(item);
  }
  return digest;
}

void ConfigurationItemTable::apply(const wire::ConfigurationDifference& difference) {
  for (const wire::ConfigurationItem& item : difference.items()) put(item, difference.version());
  record_version({difference.version(), id_.digest});
}

void ConfigurationItemTable::put(const wire::ConfigurationItem& item, std::uint64_t version) {
  Entry entry{item.kind(), item.name(), item.encoded(), item.removed(), version, 0};
  if (!item.removed()) entry.digest = digest_of(item);
  auto& by_key = entries_.get<ByKey>();
  const auto found = by_key.find(std::make_tuple(entry.kind, entry.name));
  if (found != by_key.end()) id_.digest -= found->digest;
  id_.digest += entry.digest;
  if (found == by_key.end()) {
    by_key.insert(std::move(entry));
  } else {
    by_key.replace(found, entry);
  }
}

void ConfigurationItemTable::record_version(const ConfigurationId& id) {
  id_ = id;
  past_versions_.push_back(id);
  if (past_versions_.size() <= kMaxPastVersions) return;
  past_versions_.pop_front();
  erase_old_tombstones();
}

// These removals are not newer than any remaining past version, so no difference needs them any more.
void ConfigurationItemTable::erase_old_tombstones() {
  auto& by_change = entries_.get<ByChange>();
  const auto end = by_change.upper_bound(past_versions_.front().version);
  for (auto entry = by_change.begin(); entry != end;) {
    entry = entry->removed ? by_change.erase(entry) : std::next(entry);
  }
}

wire::ConfigurationDifference ConfigurationItemTable::difference_to_items(
    std::uint64_t version, std::vector<wire::ConfigurationItem> items) const {
  return difference_with_changes(version, changes_to_items(std::move(items)));
}

std::vector<wire::ConfigurationItem> ConfigurationItemTable::changes_to_items(
    std::vector<wire::ConfigurationItem> items) const {
  std::vector<wire::ConfigurationItem> changes;
  std::set<std::pair<wire::ConfigurationItemKind, std::string>> retained;
  for (wire::ConfigurationItem& item : items) {
    const Entry* const current = find(item);
    const bool unchanged = current != nullptr && !current->removed && current->encoded == item.encoded();
    retained.emplace(item.kind(), item.name());
    if (!unchanged) changes.push_back(std::move(item));
  }
  for (const Entry& entry : entries_.get<ByKey>()) {
    if (entry.removed || retained.contains({entry.kind, entry.name})) continue;
    changes.push_back(removed_item(entry.kind, entry.name));
  }
  return changes;
}

wire::ConfigurationDifference ConfigurationItemTable::difference_with_changes(
    std::uint64_t version, std::vector<wire::ConfigurationItem> changes) const {
  wire::ConfigurationDifference difference;
  difference.set_base_version(id_.version);
  difference.set_base_digest(id_.digest);
  difference.set_version(version);
  for (wire::ConfigurationItem& item : changes) *difference.add_items() = std::move(item);
  difference.set_digest(digest_after(difference));
  return difference;
}

bool ConfigurationItemTable::has_past_version(const ConfigurationId& base) const {
  if (base.version == 0) return false;
  const auto is_older = [](const ConfigurationId& id, std::uint64_t version) { return id.version < version; };
  const auto found = std::lower_bound(past_versions_.begin(), past_versions_.end(), base.version, is_older);
  return found != past_versions_.end() && *found == base;
}

wire::ConfigurationDifference ConfigurationItemTable::difference_since(const ConfigurationId& base) const {
  wire::ConfigurationDifference difference;
  difference.set_version(id_.version);
  difference.set_digest(id_.digest);
  const auto& by_change = entries_.get<ByChange>();
  if (!has_past_version(base)) {
    for (const Entry& entry : by_change) {
      if (!entry.removed) append_item(entry, difference);
    }
    return difference;
  }
  difference.set_base_version(base.version);
  difference.set_base_digest(base.digest);
  for (auto entry = by_change.upper_bound(base.version); entry != by_change.end(); ++entry) {
    append_item(*entry, difference);
  }
  return difference;
}

void ConfigurationItemTable::append_item(const Entry& entry, wire::ConfigurationDifference& difference) {
  wire::ConfigurationItem& item = *difference.add_items();
  item.set_kind(entry.kind);
  item.set_name(entry.name);
  item.set_encoded(entry.encoded);
  item.set_removed(entry.removed);
}

}  // namespace winchhall::cluster
