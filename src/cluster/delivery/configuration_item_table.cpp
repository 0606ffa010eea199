#include "cluster/delivery/configuration_item_table.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "cluster/common/digest.hpp"

namespace winchhall::cluster {

// The digest of a configuration is the sum of its items' digests, so that a change costs what it changes.
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
  const bool whole = difference.base_version() == 0;
  const ConfigurationId base{difference.base_version(), difference.base_digest()};
  if (difference.version() <= id_.version) return DifferenceCheck::not_newer;
  if (!whole && base != id_) return DifferenceCheck::other_base;
  if (digest_after(difference) != difference.digest()) return DifferenceCheck::wrong_digest;
  return DifferenceCheck::applicable;
}

std::uint64_t ConfigurationItemTable::digest_after(const wire::ConfigurationDifference& difference) const {
  const bool whole = difference.base_version() == 0;
  std::uint64_t digest = whole ? 0 : id_.digest;
  for (const wire::ConfigurationItem& item : difference.items()) {
    const Entry* const held = whole ? nullptr : find(item);
    if (held != nullptr) digest -= held->digest;
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
  // Removals that every remaining base knows of are told to nobody any more.
  auto& by_change = entries_.get<ByChange>();
  const auto end = by_change.upper_bound(past_versions_.front().version);
  for (auto entry = by_change.begin(); entry != end;) {
    entry = entry->removed ? by_change.erase(entry) : std::next(entry);
  }
}

wire::ConfigurationDifference ConfigurationItemTable::difference_to_items(
    std::uint64_t version, std::vector<wire::ConfigurationItem> items) const {
  wire::ConfigurationDifference difference;
  difference.set_base_version(id_.version);
  difference.set_base_digest(id_.digest);
  difference.set_version(version);
  std::set<std::pair<wire::ConfigurationItemKind, std::string>> kept;
  std::uint64_t digest = 0;
  for (wire::ConfigurationItem& item : items) {
    digest += digest_of(item);
    const Entry* const held = find(item);
    const bool same = held != nullptr && !held->removed && held->encoded == item.encoded();
    kept.emplace(item.kind(), item.name());
    if (!same) *difference.add_items() = std::move(item);
  }
  for (const Entry& entry : entries_.get<ByKey>()) {
    if (entry.removed || kept.contains({entry.kind, entry.name})) continue;
    wire::ConfigurationItem& item = *difference.add_items();
    item.set_kind(entry.kind);
    item.set_name(entry.name);
    item.set_removed(true);
  }
  difference.set_digest(digest);
  return difference;
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
  const auto older = [](const ConfigurationId& one, std::uint64_t version) { return one.version < version; };
  const auto found = std::lower_bound(past_versions_.begin(), past_versions_.end(), base.version, older);
  return found != past_versions_.end() && *found == base;
}

wire::ConfigurationDifference ConfigurationItemTable::difference_since(const ConfigurationId& base) const {
  wire::ConfigurationDifference difference;
  difference.set_version(id_.version);
  difference.set_digest(id_.digest);
  const auto& by_change = entries_.get<ByChange>();
  if (!has_past_version(base)) {
    for (const Entry& entry : by_change) {
      if (!entry.removed) add(entry, difference);
    }
    return difference;
  }
  difference.set_base_version(base.version);
  difference.set_base_digest(base.digest);
  for (auto entry = by_change.upper_bound(base.version); entry != by_change.end(); ++entry) {
    add(*entry, difference);
  }
  return difference;
}

void ConfigurationItemTable::add(const Entry& entry, wire::ConfigurationDifference& difference) {
  wire::ConfigurationItem& item = *difference.add_items();
  item.set_kind(entry.kind);
  item.set_name(entry.name);
  item.set_encoded(entry.encoded);
  item.set_removed(entry.removed);
}

}  // namespace winchhall::cluster
