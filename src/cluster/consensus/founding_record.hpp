// The first member record of a group, and the identities of its founders.
#pragma once

#include <cstdint>

#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

// True if this process founds the group: the settings say that the whole system starts for the first time,
// and it is one of the seeds.
bool is_founder(const NodeSettings& settings);
// Member id of the founder with this `control` address, the same wherever it is computed.
std::uint64_t founder_id(const Address& control_address);
// The record with epoch 1, the same at every founder: its members are the seeds.
wire::MemberRecord founding_record(const NodeSettings& settings);

}  // namespace winchhall::cluster
