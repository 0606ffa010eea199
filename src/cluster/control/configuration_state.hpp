// The configuration as a record of the register "configuration" has it, kept from record to record: a newer
// one costs what it changes.
#pragma once

#include <optional>
#include <string>

#include "cluster/config/configuration_document.hpp"
#include "cluster/delivery/configuration_item_table.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// What came of a newer record.
enum class RecordOutcome {
  taken,
  not_newer,
  snapshot_needed,  // the record builds on a snapshot that this state doesn't
  unreadable,       // made by a version of the program that allows more
};

class ConfigurationState {
 public:
  std::uint64_t version() const { return version_; }
  // Null before the first record.
  const Configuration* configuration() const;
  // The whole configuration as the operator gave it, patches applied; empty before the first record.
  std::string json() const { return document_ ? document_->json() : std::string(); }
  const ConfigurationDocument& document() const { return *document_; }
  // The same as items, for everyone who fetches differences.
  const ConfigurationItemTable& items() const { return items_; }
  // True if this is the configuration of `record`.
  bool is_at(const wire::ConfigurationRecord& record) const;

  // Takes a newer record that needs nothing but what is here.
  RecordOutcome take(const wire::ConfigurationRecord& record);
  // Takes a newer record whose snapshot is `json`.
  RecordOutcome take(const wire::ConfigurationRecord& record, const std::string& json);

 private:
  RecordOutcome load_complete(const wire::ConfigurationRecord& record, const std::string& json);
  bool extends_current_state(const wire::ConfigurationRecord& record) const;
  leaf::result<void> apply_patch(const wire::ConfigurationPatchEntry& entry);
  void note_taken(const wire::ConfigurationRecord& record);
  // After a patch that could not be applied: only a whole configuration helps.
  void discard_document();

  std::uint64_t version_ = 0;
  std::string last_change_;  // digest of the change that made this version
  std::optional<ConfigurationDocument> document_;
  wire::ConfigurationSnapshotId snapshot_;
  ConfigurationItemTable items_;
};

}  // namespace winchhall::cluster
