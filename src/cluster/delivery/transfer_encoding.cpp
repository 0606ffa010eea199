#include "cluster/delivery/transfer_encoding.hpp"

#include "cluster/common/digest.hpp"
#include "cluster/delivery/compression.hpp"

namespace winchhall::cluster {

std::string encode_transfer(const wire::ConfigurationDifference& difference) {
  return compress(difference.SerializeAsString());
}

std::optional<wire::ConfigurationDifference> decode_transfer(const std::string& bytes) {
  const std::optional<std::string> serialized = decompress(bytes);
  wire::ConfigurationDifference difference;
  if (!serialized || !difference.ParseFromString(*serialized)) return std::nullopt;
  return difference;
}

std::uint64_t transfer_digest(const std::string& bytes) {
  Digest digest;
  digest.add(bytes);
  return digest.value();
}

}  // namespace winchhall::cluster
