// Encoding of a configuration difference for its transfer: serialized, compressed, and identified by a
// digest.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Serializes and compresses a difference.
std::string encode_transfer(const wire::ConfigurationDifference& difference);
// Reverses encode_transfer. None if the bytes are not a valid transfer.
std::optional<wire::ConfigurationDifference> decode_transfer(const std::string& bytes);

// Digest of an encoded transfer: identifies it and detects parts of different transfers that were combined.
// It is no protection against forgery.
std::uint64_t transfer_digest(const std::string& bytes);

}  // namespace winchhall::cluster
