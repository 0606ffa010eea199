// The replicated register that holds the operator's configuration: its key, its value and the time limit of
// operations on it.
#pragma once

#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Key of the register.
inline constexpr const char* kConfigurationRegister = "configuration";

// Time limit of one operator's call, and of one read of a snapshot.
inline constexpr Millis kConfigurationQuorumTimeout{3500};

// Decodes a value of the register. A value that can't be decoded counts as one that was never written
// (version 0).
wire::ConfigurationRecord parse_configuration_record(const std::string& value);

}  // namespace winchhall::cluster
