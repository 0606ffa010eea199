// The replicated register that holds the operator's configuration: its key, the encoding of its value, and
// the timeout of operations on it.
#pragma once

#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Key of the register.
inline constexpr const char* kConfigurationRegister = "configuration";

// Timeout of one operator's call, and of one read of a snapshot.
inline constexpr Millis kConfigurationQuorumTimeout{3500};

// Decodes a value of the register. A value that cannot be decoded is treated as never written (version 0).
wire::ConfigurationRecord parse_configuration_record(const std::string& value);

}  // namespace winchhall::cluster
