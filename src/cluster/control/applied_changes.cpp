#include "cluster/control/applied_changes.hpp"

#include <algorithm>

namespace winchhall::cluster {
namespace {

constexpr int kMaxAppliedChanges = 1024;
// Index of the oldest change that may be dropped. The first change is always kept, so that an operator's
// change without a base version always gets a definite outcome.
constexpr int kFirstDroppable = 1;

void drop_oldest_changes(wire::ConfigurationRecord& record) {
  const int excess = record.applied_size() - kMaxAppliedChanges;
  if (excess <= 0) return;
  record.set_forgotten_version(record.applied(kFirstDroppable + excess - 1).version());
  record.mutable_applied()->DeleteSubrange(kFirstDroppable, excess);
}

}  // namespace

bool was_applied(const ConfigurationChange& change, const wire::ConfigurationRecord& record) {
  return std::any_of(record.applied().begin(), record.applied().end(),
                     [&](const wire::AppliedChange& earlier) {
                       return earlier.base() == change.base && earlier.version() == change.version &&
                              earlier.digest() == change.digest;
                     });
}

// An applied change has a lower base version than its own version, and the version of a dropped change is at
// most that of the newest dropped change. A change with base 0 can only be the first one, which is never
// dropped.
bool may_have_been_dropped(const ConfigurationChange& change, const wire::ConfigurationRecord& record) {
  return change.base > 0 && change.base < change.version && change.version <= record.forgotten_version();
}

void append_applied_change(const ConfigurationChange& change, wire::ConfigurationRecord& record) {
  wire::AppliedChange* const applied = record.add_applied();
  applied->set_base(change.base);
  applied->set_version(change.version);
  applied->set_digest(change.digest);
  drop_oldest_changes(record);
}

}  // namespace winchhall::cluster
