// The items of one version of the configuration, and what has changed since each version that this process
// held before: differences are made, checked and applied here. Work grows with what changes.
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

// A version with the digest of all its items, so that no difference is applied to another base than its own.
struct ConfigurationId {
  std::uint64_t version = 0;  // 0: nothing held
  std::uint64_t digest = 0;

  bool operator==(const ConfigurationId&) const = default;
};

// Why a difference was not applied.
enum class DifferenceCheck {
  applicable,
  other_base,    // made for another version than the one held
  not_newer,     // would bring an older version back
  wrong_digest,  // the items that it makes are not those of its version
};

class ConfigurationItemTable {
 public:
  // Versions that differences are made from; older ones get the whole configuration.
  static constexpr std::size_t kMaxPastVersions = 1024;

  const ConfigurationId& id() const { return id_; }

  // Whether a difference may be applied to what is held. Changes nothing.
  DifferenceCheck check(const wire::ConfigurationDifference& difference) const;
  // Applies a difference that was checked, and whose base is the version held.
  void apply(const wire::ConfigurationDifference& difference);

  // What makes `version`, given whole, of what is held.
  wire::ConfigurationDifference difference_to_items(std::uint64_t version,
                                                    std::vector<wire::ConfigurationItem> items) const;
  // What makes `version` of what is held by putting these items in or taking them out.
  wire::ConfigurationDifference difference_with_changes(std::uint64_t version,
                                                        std::vector<wire::ConfigurationItem> changes) const;
  // What makes the version held of an earlier one; the whole configuration if `base` was never held here or
  // is too long ago.
  wire::ConfigurationDifference difference_since(const ConfigurationId& base) const;
  // A difference from this base needs only what has changed since.
  bool has_past_version(const ConfigurationId& base) const;

 private:
  struct Entry {
    wire::ConfigurationItemKind kind = wire::CONFIGURATION_ITEM_UNKNOWN;
    std::string name;
    std::string encoded;
    bool removed = false;
    std::uint64_t changed_at = 0;  // version that brought it, or took it away
    std::uint64_t digest = 0;      // 0: removed
  };
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
  std::uint64_t digest_after(const wire::ConfigurationDifference& difference) const;
  void put(const wire::ConfigurationItem& item, std::uint64_t version);
  void record_version(const ConfigurationId& id);
  static void add(const Entry& entry, wire::ConfigurationDifference& difference);

  ConfigurationId id_;
  Entries entries_;
  std::deque<ConfigurationId> past_versions_;  // versions held here, oldest first; the last one is held now
};

}  // namespace winchhall::cluster
