#include "cluster/delivery/configuration_transfer_server.hpp"

#include <algorithm>

#include "cluster/common/digest.hpp"
#include "cluster/delivery/compression.hpp"

namespace winchhall::cluster {

namespace {

constexpr std::uint32_t kMinRequestedPartBytes = 512;

std::uint64_t digest_of_bytes(const std::string& bytes) {
  Digest digest;
  digest.add(bytes);
  return digest.value();
}

}  // namespace

void ConfigurationTransferServer::handle(const wire::ConfigurationFetch& fetch, const ReplyCallback& reply) {
  wire::Envelope envelope;
  wire::ConfigurationPart& part = *envelope.mutable_configuration_part();
  part.set_version(table_.id().version);
  const Transfer* const known = find(fetch.transfer());
  const std::uint32_t most_bytes = std::clamp(fetch.most_bytes(), kMinRequestedPartBytes, kMaxPartBytes);
  if (known != nullptr) {
    part = part_of(*known, fetch.offset(), most_bytes);
  } else if (table_.id().version > fetch.version()) {
    part = part_of(begin({fetch.version(), fetch.digest()}), 0, most_bytes);
  }
  reply(std::move(envelope));
}

const ConfigurationTransferServer::Transfer* ConfigurationTransferServer::find(std::uint64_t digest) const {
  if (digest == 0) return nullptr;
  const auto found = std::find_if(transfers_.begin(), transfers_.end(),
                                  [&](const Transfer& transfer) { return transfer.digest == digest; });
  return found == transfers_.end() ? nullptr : &*found;
}

const ConfigurationTransferServer::Transfer& ConfigurationTransferServer::begin(const ConfigurationId& held) {
  const ConfigurationId base = table_.has_past_version(held) ? held : ConfigurationId{};
  const auto found = std::find_if(transfers_.begin(), transfers_.end(), [&](const Transfer& transfer) {
    return transfer.base == base && transfer.target == table_.id();
  });
  if (found != transfers_.end()) return *found;
  Transfer transfer{base, table_.id(), 0, compress(table_.difference_since(base).SerializeAsString())};
  transfer.digest = digest_of_bytes(transfer.bytes);
  transfers_.push_front(std::move(transfer));
  if (transfers_.size() > kMaxTransfers) transfers_.pop_back();
  return transfers_.front();
}

wire::ConfigurationPart ConfigurationTransferServer::part_of(const Transfer& transfer, std::uint32_t offset,
                                                             std::uint32_t most_bytes) {
  const std::size_t begin = std::min<std::size_t>(offset, transfer.bytes.size());
  wire::ConfigurationPart part;
  part.set_version(transfer.target.version);
  part.set_transfer(transfer.digest);
  part.set_size(static_cast<std::uint32_t>(transfer.bytes.size()));
  part.set_offset(static_cast<std::uint32_t>(begin));
  part.set_bytes(transfer.bytes.substr(begin, most_bytes));
  return part;
}

}  // namespace winchhall::cluster
