// Keys of the registers that the control group itself reads.
#pragma once

#include <string>

namespace winchhall::cluster {

// The member record (see member_record.hpp).
inline const std::string kMembersRegisterKey = "members";
// The cluster's configuration, whose ballot is included in every ping.
inline const std::string kConfigurationRegisterKey = "configuration";

}  // namespace winchhall::cluster
