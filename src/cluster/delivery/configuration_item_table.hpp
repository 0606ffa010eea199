// Table of a configuration's encoded items, from which differences between versions are made.
#pragma once

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Identifies a configuration by its version and the digest of its items, so that a difference is never
// applied to a base of the same version but other content.
struct ConfigurationId {
  std::uint64_t version = 0;  // 0: no configuration
  std::uint64_t digest = 0;

  bool operator==(const ConfigurationId&) const = default;
};

// Whether a difference can be applied, and if not, why.
enum class DifferenceCheck {
  applicable,
  other_base,    // made for another base than the current version
  not_newer,     // its version is not newer than the current one
  wrong_digest,  // the resulting items do not have the digest of its version
};

// Holds the encoded items of a process's current configuration version and, for each item, the version that
// changed it last. Makes, checks and applies differences, in time proportional to the number of items that
// change. Owns its items. Not thread-safe.
class ConfigurationItemTable {
 public:
  // Number of past versions from which differences can be made. Processes with an older version get the full
  // configuration.
  static constexpr std::size_t kMaxPastVersions = 1024;

  // The current version.
  const ConfigurationId& id() const { return id_; }

  // Checks a difference against the current version. Changes nothing.
  DifferenceCheck check(const wire::ConfigurationDifference& difference) const;
  // Applies a difference that has been checked and is based on the current version.
  void apply(const wire::ConfigurationDifference& difference);

  // The difference from the current version to `version`, which consists of exactly these items.
  wire::ConfigurationDifference difference_to_items(std::uint64_t version,
                                                    std::vector<wire::ConfigurationItem> items) const;
  // The difference from the current version to `version`, which results from these upserts and removals.
  wire::ConfigurationDifference difference_with_changes(std::uint64_t version,
                                                        std::vector<wire::ConfigurationItem> changes) const;
  // The difference from `base` to the current version; the full configuration if `base` is not a past
  // version.
  wire::ConfigurationDifference difference_since(const ConfigurationId& base) const;
  // True if this process had exactly `base`, not more than kMaxPastVersions versions ago.
  bool has_past_version(const ConfigurationId& base) const;

 private:
  struct Entry {
    wire::ConfigurationItemKind kind = wire::CONFIGURATION_ITEM_UNKNOWN;
    std::string name;
    std::string encoded;
    bool removed = false;          // a tombstone, until no past version contains the item
    std::uint64_t changed_at = 0;  // version that last upserted or removed the item
    std::uint64_t digest = 0;      // 0: removed
  };
  // Tags of the two indexes: by kind and name, and by `changed_at`.
  struct ByKey {};
  struct ByChange {};
  using KeyOfEntry = boost::multi_index::composite_key<
      Entry, boost::multi_index::member<Entry, wire::ConfigurationItemKind, &Entry::kind>,
      boost::multi_index::member<Entry, std::string, &Entry::name>>;
  using Entries = boost::multi_index_container<
      Entry, boost::multi_index::indexed_by<
                 boost::multi_index::hashed_unique<boost::multi_index::tag<ByKey>, KeyOfEntry>,
                 boost::multi_index::ordered_non_unique<
                     boost::multi_index::tag<ByChange>,
                     boost::multi_index::member<Entry, std::uint64_t, &Entry::changed_at>>>>;

  static std::uint64_t digest_of(const wire::ConfigurationItem& item);
  const Entry* find(const wire::ConfigurationItem& item) const;
  // The digest of all items once the difference is applied.
  std::uint64_t digest_after(const wire::ConfigurationDifference& difference) const;
  // The upserts and removals that turn the current items into exactly `items`.
  std::vector<wire::ConfigurationItem> changes_to_items(std::vector<wire::ConfigurationItem> items) const;
  void put(const wire::ConfigurationItem& item, std::uint64_t version);
  // Makes `id` the current version and forgets the oldest past version above the limit.
  void record_version(const ConfigurationId& id);
  void erase_old_tombstones();
  static void append_item(const Entry& entry, wire::ConfigurationDifference& difference);

  ConfigurationId id_;
  Entries entries_;
  std::deque<ConfigurationId> past_versions_;  // oldest first; the last one is the current version
};

}  // namespace winchhall::cluster
