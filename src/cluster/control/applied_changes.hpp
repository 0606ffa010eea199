// The list of applied changes in a configuration record. It makes changes idempotent: a change that is sent
// again because the response was lost is acknowledged instead of rejected as a conflict.
//
// The list is bounded. It keeps the first change ever applied and the newest ones. Of the changes dropped in
// between, only the highest version is kept (`forgotten_version`). A change that may be one of the dropped
// changes is neither acknowledged nor rejected.
#pragma once

#include "cluster/control/configuration_change.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Returns true if the record lists exactly this change, that is the same base, version, kind and body.
bool was_applied(const ConfigurationChange& change, const wire::ConfigurationRecord& record);

// Returns true if the change may have been applied and later dropped from the list.
bool may_have_been_dropped(const ConfigurationChange& change, const wire::ConfigurationRecord& record);

// Appends a change to the record's list and drops the oldest changes in excess of the bound.
void append_applied_change(const ConfigurationChange& change, wire::ConfigurationRecord& record);

}  // namespace winchhall::cluster
