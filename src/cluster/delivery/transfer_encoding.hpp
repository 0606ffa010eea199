// The byte sequence as which a configuration difference is transferred: serialized, compressed, and
// identified by a digest.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

std::string encode_transfer(const wire::ConfigurationDifference& difference);
// None: the bytes are not a valid transfer.
std::optional<wire::ConfigurationDifference> decode_transfer(const std::string& bytes);

// Identifies a transfer and detects parts that were mixed up; no protection against forgery.
std::uint64_t transfer_digest(const std::string& bytes);

}  // namespace winchhall::cluster
