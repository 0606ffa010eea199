// The changes that a configuration record remembers as applied, so that a change which is sent again after
// its answer was lost is acknowledged instead of refused.
//
// The list is bounded. It keeps the first change ever applied and the newest ones; of those dropped in
// between only the highest version is kept (`forgotten_version`). A change that may be among the dropped ones
// is neither acknowledged nor refused.
#pragma once

#include "cluster/control/configuration_change.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// True if the record lists exactly this change: base, version, kind and body.
bool was_applied(const ConfigurationChange& change, const wire::ConfigurationRecord& record);

// True if the change may have been applied and dropped from the list since.
bool may_have_been_dropped(const ConfigurationChange& change, const wire::ConfigurationRecord& record);

// Adds a change to the record's list and drops the oldest ones above the bound.
void append_applied_change(const ConfigurationChange& change, wire::ConfigurationRecord& record);

}  // namespace winchhall::cluster
