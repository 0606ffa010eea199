// The configuration of the newest applied record of the register "configuration".
#pragma once

#include <optional>
#include <string>

#include "cluster/config/configuration_document.hpp"
#include "cluster/config/former_routes.hpp"
#include "cluster/delivery/configuration_item_table.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Result of the application of a record to the state.
enum class RecordOutcome {
  applied,
  not_newer,        // the state already has this version or a newer one
  snapshot_needed,  // the record is based on a snapshot that this state isn't based on
  unreadable,       // not valid for this version of the program: a newer one that allows more has written it
};

// The newest applied record, kept as a document, as items, and with the digest of its last change and the id
// of its snapshot. The application of patches costs time in proportion to the patches, not to the
// configuration.
//
// A plain value that does no I/O. Owned by ConfigurationFollower, which applies chosen records only. The
// version never decreases.
class ConfigurationState {
 public:
  // Version of the newest applied record; 0 before the first one.
  std::uint64_t version() const { return version_; }
  // The parsed configuration; null before the first record.
  const Configuration* configuration() const;
  // The text of the complete configuration as the operator sent it, with all patches applied; empty before
  // the first record.
  std::string json() const { return document_ ? document_->json() : std::string(); }
  // Must not be called before the first record.
  const ConfigurationDocument& document() const { return *document_; }
  // The routes that were in force before recent changes.
  const FormerRoutes& former_routes() const { return former_routes_; }
  // Configuration and former routes as items, with the differences between the versions that this state has
  // had. The table lives as long as the state.
  const ConfigurationItemTable& items() const { return items_; }
  // Returns true if both the version and the last change of the state are those of `record`. Equal versions
  // alone do not suffice.
  bool matches(const wire::ConfigurationRecord& record) const;

  // Applies a newer record if that needs no snapshot besides the record and the state.
  RecordOutcome apply(const wire::ConfigurationRecord& record);
  // Applies a newer record whose snapshot is `json`.
  RecordOutcome apply(const wire::ConfigurationRecord& record, const std::string& json);

 private:
  RecordOutcome load_complete(const wire::ConfigurationRecord& record, const std::string& json);
  bool extends_current_state(const wire::ConfigurationRecord& record) const;
  leaf::result<void> apply_patch(const wire::ConfigurationPatchEntry& entry);
  std::vector<wire::ConfigurationItem> all_items() const;
  void record_applied(const wire::ConfigurationRecord& record);
  void require_snapshot();

  std::uint64_t version_ = 0;
  std::string last_change_;  // digest of the change that created this version; empty if unknown
  std::optional<ConfigurationDocument> document_;
  FormerRoutes former_routes_;
  wire::ConfigurationSnapshotId snapshot_;  // that the state is based on; empty if there is none to rely on
  ConfigurationItemTable items_;
};

}  // namespace winchhall::cluster
