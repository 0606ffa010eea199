// The configuration of one record of the register "configuration", advanced from record to record.
#pragma once

#include <optional>
#include <string>

#include "cluster/config/configuration_document.hpp"
#include "cluster/delivery/configuration_item_table.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// What became of a record that was applied to the state.
enum class RecordOutcome {
  applied,
  not_newer,        // its version is held already, or an older one
  snapshot_needed,  // the record builds on a snapshot that this state doesn't
  unreadable,       // made by a version of the program that allows more
};

// The newest record that was applied, as a document, as items and with what identifies it. Advancing by
// patches costs work in proportion to the patches, not to the configuration.
//
// A plain value without I/O; owned by ConfigurationFollower, which applies chosen records only. The version
// never goes back.
class ConfigurationState {
 public:
  // 0 before the first record.
  std::uint64_t version() const { return version_; }
  // Null before the first record.
  const Configuration* configuration() const;
  // The complete configuration as the operator gave it, patches applied; empty before the first record.
  std::string json() const { return document_ ? document_->json() : std::string(); }
  // Only to be called after the first record.
  const ConfigurationDocument& document() const { return *document_; }
  // The same configuration as items, with the differences between the versions that were held here. The table
  // lives as long as the state.
  const ConfigurationItemTable& items() const { return items_; }
  // True if the state was made by exactly the changes of `record`: not only the version is the same.
  bool matches(const wire::ConfigurationRecord& record) const;

  // Applies a newer record where nothing is needed but the record and the state.
  RecordOutcome apply(const wire::ConfigurationRecord& record);
  // Applies a newer record whose snapshot is `json`.
  RecordOutcome apply(const wire::ConfigurationRecord& record, const std::string& json);

 private:
  RecordOutcome load_complete(const wire::ConfigurationRecord& record, const std::string& json);
  bool extends_current_state(const wire::ConfigurationRecord& record) const;
  leaf::result<void> apply_patch(const wire::ConfigurationPatchEntry& entry);
  void record_applied(const wire::ConfigurationRecord& record);
  void require_snapshot();

  std::uint64_t version_ = 0;
  std::string last_change_;  // digest of the change that made this version; empty: not known
  std::optional<ConfigurationDocument> document_;
  wire::ConfigurationSnapshotId snapshot_;  // that the state builds on; empty: none, or not to be relied on
  ConfigurationItemTable items_;
};

}  // namespace winchhall::cluster
