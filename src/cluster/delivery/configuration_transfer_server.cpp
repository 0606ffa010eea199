#include "cluster/delivery/configuration_transfer_server.hpp"

#include <algorithm>

#include "cluster/delivery/transfer_encoding.hpp"

namespace winchhall::cluster {

namespace {

constexpr std::uint32_t kMinRequestedPartBytes = 512;

}  // namespace

void ConfigurationTransferServer::handle(const wire::ConfigurationFetch& fetch, const ReplyCallback& reply) {
  wire::Envelope envelope;
  wire::ConfigurationPart& part = *envelope.mutable_configuration_part();
  part.set_version(table_.id().version);
  const Transfer* const known = find_transfer(fetch.transfer());
  const std::uint32_t max_bytes = std::clamp(fetch.most_bytes(), kMinRequestedPartBytes, kMaxPartBytes);
  if (known != nullptr) {
    part = make_part(*known, fetch.offset(), max_bytes);
  } else if (table_.id().version > fetch.version()) {
    part = make_part(find_or_create_transfer({fetch.version(), fetch.digest()}), 0, max_bytes);
  }
  reply(std::move(envelope));
}

const ConfigurationTransferServer::Transfer* ConfigurationTransferServer::find_transfer(
    std::uint64_t digest) const {
  if (digest == 0) return nullptr;
  const auto found = std::find_if(transfers_.begin(), transfers_.end(),
                                  [&](const Transfer& transfer) { return transfer.digest == digest; });
  return found == transfers_.end() ? nullptr : &*found;
}

const ConfigurationTransferServer::Transfer& ConfigurationTransferServer::find_or_create_transfer(
    const ConfigurationId& callers_id) {
  const ConfigurationId base = table_.has_past_version(callers_id) ? callers_id : ConfigurationId{};
  const auto found = std::find_if(transfers_.begin(), transfers_.end(), [&](const Transfer& transfer) {
    return transfer.base == base && transfer.target == table_.id();
  });
  if (found != transfers_.end()) return *found;
  Transfer transfer{base, table_.id(), 0, encode_transfer(table_.difference_since(base))};
  transfer.digest = transfer_digest(transfer.bytes);
  transfers_.push_front(std::move(transfer));
  if (transfers_.size() > kMaxTransfers) transfers_.pop_back();
  return transfers_.front();
}

wire::ConfigurationPart ConfigurationTransferServer::make_part(const Transfer& transfer, std::uint32_t offset,
                                                               std::uint32_t max_bytes) {
  const std::size_t begin = std::min<std::size_t>(offset, transfer.bytes.size());
  wire::ConfigurationPart part;
  part.set_version(transfer.target.version);
  part.set_transfer(transfer.digest);
  part.set_size(static_cast<std::uint32_t>(transfer.bytes.size()));
  part.set_offset(static_cast<std::uint32_t>(begin));
  part.set_bytes(transfer.bytes.substr(begin, max_bytes));
  return part;
}

}  // namespace winchhall::cluster
