// The first member record of a group, and the identities of its founders.
#pragma once

#include <cstdint>

#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

// True if this process founds the group: the settings say that the whole system starts for the first time,
// and it is one of the seeds.
bool is_founder(const NodeSettings& settings);
// Member id of the founder with this `control` address. All nodes compute the same id.
std::uint64_t founder_id(const Address& control_address);
// The record with epoch 1, whose members are the seeds. All founders compute the same record.
wire::MemberRecord founding_record(const NodeSettings& settings);

}  // namespace winchhall::cluster
