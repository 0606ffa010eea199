#include "cluster/control/configuration_state.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "cluster/control/former_route_records.hpp"
#include "cluster/delivery/configuration_items.hpp"

namespace winchhall::cluster {

namespace {

constexpr const char* kSource = "configuration";

bool same_snapshot(const wire::ConfigurationSnapshotId& left, const wire::ConfigurationSnapshotId& right) {
  return left.version() == right.version() && left.digest() == right.digest();
}

std::string last_change_of(const wire::ConfigurationRecord& record) {
  return record.applied_size() == 0 ? std::string() : record.applied(record.applied_size() - 1).digest();
}

void append_items(std::vector<wire::ConfigurationItem> added, std::vector<wire::ConfigurationItem>& items) {
  std::move(added.begin(), added.end(), std::back_inserter(items));
}

}  // namespace

const Configuration* ConfigurationState::configuration() const {
  return document_ ? &document_->configuration() : nullptr;
}

bool ConfigurationState::matches(const wire::ConfigurationRecord& record) const {
  return record.version() == version_ && last_change_of(record) == last_change_;
}

RecordOutcome ConfigurationState::apply(const wire::ConfigurationRecord& record) {
  if (record.version() <= version_) return RecordOutcome::not_newer;
  if (!record.has_snapshot()) return load_complete(record, record.json());
  if (!extends_current_state(record)) return RecordOutcome::snapshot_needed;
  return leaf::try_handle_all(
      [&]() -> leaf::result<RecordOutcome> {
        for (const wire::ConfigurationPatchEntry& patch : record.patches()) {
          if (patch.version() > version_) BOOST_LEAF_CHECK(apply_patch(patch));
        }
        record_applied(record);
        return RecordOutcome::applied;
      },
      [&] {
        require_snapshot();
        return RecordOutcome::snapshot_needed;
      });
}

RecordOutcome ConfigurationState::apply(const wire::ConfigurationRecord& record, const std::string& json) {
  if (record.version() <= version_) return RecordOutcome::not_newer;
  return load_complete(record, json);
}

RecordOutcome ConfigurationState::load_complete(const wire::ConfigurationRecord& record,
                                                const std::string& json) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<RecordOutcome> {
        BOOST_LEAF_AUTO(document, ConfigurationDocument::read(json, kSource));
        FormerRoutes former_routes = read_former_routes(record);
        for (const wire::ConfigurationPatchEntry& entry : record.patches()) {
          BOOST_LEAF_AUTO(patch, parse_patch(entry.body(), kSource));
          BOOST_LEAF_AUTO(edit, document.check(patch, kSource));
          former_routes.record(document.apply(patch, std::move(edit)), entry.received_wall_ms(),
                               entry.version());
        }
        document_ = std::move(document);
        former_routes_ = std::move(former_routes);
        items_.apply(items_.difference_to_items(record.version(), all_items()));
        record_applied(record);
        return RecordOutcome::applied;
      },
      [] { return RecordOutcome::unreadable; });
}

// Returns true if the record consists of the present state and further patches: both are based on the same
// snapshot, and the version of the state is that of the snapshot or of one of the record's patches.
bool ConfigurationState::extends_current_state(const wire::ConfigurationRecord& record) const {
  if (!document_ || !same_snapshot(record.snapshot(), snapshot_)) return false;
  return version_ == snapshot_.version() ||
         std::any_of(record.patches().begin(), record.patches().end(),
                     [&](const auto& patch) { return patch.version() == version_; });
}

leaf::result<void> ConfigurationState::apply_patch(const wire::ConfigurationPatchEntry& entry) {
  BOOST_LEAF_AUTO(patch, parse_patch(entry.body(), kSource));
  BOOST_LEAF_AUTO(edit, document_->check(patch, kSource));
  std::vector<wire::ConfigurationItem> changes = items_of(edit);
  const FormerRoutes before = former_routes_;
  former_routes_.record(document_->apply(patch, std::move(edit)), entry.received_wall_ms(), entry.version());
  append_items(item_changes_between(before, former_routes_), changes);
  items_.apply(items_.difference_with_changes(entry.version(), std::move(changes)));
  version_ = entry.version();
  return {};
}

std::vector<wire::ConfigurationItem> ConfigurationState::all_items() const {
  std::vector<wire::ConfigurationItem> items = items_of(document_->configuration());
  append_items(items_of(former_routes_), items);
  return items;
}

void ConfigurationState::record_applied(const wire::ConfigurationRecord& record) {
  version_ = record.version();
  last_change_ = last_change_of(record);
  snapshot_ = record.snapshot();
}

// Called after a patch could not be applied: document and items may be ahead of the last applied record. Once
// the id of the snapshot is cleared, no record with a snapshot extends this state, so that the next one is
// loaded from its snapshot.
void ConfigurationState::require_snapshot() {
  last_change_.clear();
  snapshot_.Clear();
}

}  // namespace winchhall::cluster
