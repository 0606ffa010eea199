#include "cluster/delivery/configuration_fetcher.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "cluster/delivery/transfer_encoding.hpp"

namespace winchhall::cluster {

namespace {

constexpr std::uint32_t kInitialPartBytes = 8u << 10;
constexpr std::uint32_t kMinPartBytes = 2u << 10;
constexpr std::uint32_t kMaxPartBytes = 128u << 10;
// The size of the parts is adjusted so that a part takes between these two times, and delays other calls on
// the same link no longer than that.
constexpr Millis kFastPart{40};
constexpr Millis kSlowPart{120};
constexpr Millis kPartTimeout{1200};
constexpr Millis kRetryDelayAfterFailure{50};
constexpr Millis kRetryDelayAfterRejection{1000};
// Limit on the size of a transfer, as a protection against peers that announce an excessive size.
constexpr std::uint32_t kMaxTransferBytes = 32u << 20;

}  // namespace

ConfigurationFetcher::ConfigurationFetcher(Runtime& runtime, ConfigurationReplica& replica,
                                           OnApplied on_applied)
    : runtime_(runtime),
      replica_(replica),
      on_applied_(std::move(on_applied)),
      part_bytes_(kInitialPartBytes) {}

void ConfigurationFetcher::on_version_announced(const Address& peer, std::uint64_t version) {
  announced_versions_[peer] = version;
  if (!request_in_flight_ && !retry_timer_) request_part();
}

std::uint64_t ConfigurationFetcher::announced_version(const Address& peer) const {
  const auto announced = announced_versions_.find(peer);
  return announced == announced_versions_.end() ? 0 : announced->second;
}

Address ConfigurationFetcher::choose_peer() const {
  const bool last_peer_is_usable =
      announced_version(last_peer_) > replica_.version() && !failed_.contains(last_peer_);
  if (last_peer_is_usable) return last_peer_;
  const Address peer = newest_peer(false);
  return peer.empty() ? newest_peer(true) : peer;
}

Address ConfigurationFetcher::newest_peer(bool include_failed) const {
  Address newest_peer;
  std::uint64_t newest = replica_.version();
  for (const auto& [peer, version] : announced_versions_) {
    if (version <= newest || (!include_failed && failed_.contains(peer))) continue;
    newest = version;
    newest_peer = peer;
  }
  return newest_peer;
}

void ConfigurationFetcher::request_part() {
  retry_timer_.reset();
  const Address peer = choose_peer();
  if (peer.empty()) return;
  request_in_flight_ = true;
  last_peer_ = peer;
  wire::Envelope request;
  wire::ConfigurationFetch& fetch = *request.mutable_configuration_fetch();
  if (!needs_full_configuration_) {
    fetch.set_version(replica_.version());
    fetch.set_digest(replica_.table().id().digest);
  }
  fetch.set_transfer(transfer_.digest);
  fetch.set_offset(static_cast<std::uint32_t>(transfer_.bytes.size()));
  fetch.set_most_bytes(part_bytes_);
  runtime_.call(
      peer, std::move(request), kPartTimeout,
      [this, peer, sent = runtime_.now()](const CallResult& result) { on_response(peer, sent, result); });
}

void ConfigurationFetcher::request_part_after(Millis delay) {
  retry_timer_ = runtime_.after(delay, [this] { request_part(); });
}

void ConfigurationFetcher::on_response(const Address& peer, TimePoint sent, const CallResult& result) {
  request_in_flight_ = false;
  if (!result.answer || !result.answer->has_configuration_part()) {
    failed_.insert(peer);
    part_bytes_ = std::max(part_bytes_ / 2, kMinPartBytes);
    return request_part_after(kRetryDelayAfterFailure);
  }
  failed_.erase(peer);
  const wire::ConfigurationPart& part = result.answer->configuration_part();
  // The last part of a transfer may be short, so its duration says nothing about the speed of the link.
  const bool is_full_size = part.bytes().size() >= part_bytes_;
  if (is_full_size) adjust_part_bytes(std::chrono::duration_cast<Millis>(runtime_.now() - sent));
  receive_part(peer, part);
}

void ConfigurationFetcher::adjust_part_bytes(Millis duration) {
  if (duration <= kFastPart) part_bytes_ = std::min(part_bytes_ * 2, kMaxPartBytes);
  if (duration >= kSlowPart) part_bytes_ = std::max(part_bytes_ / 2, kMinPartBytes);
}

void ConfigurationFetcher::receive_part(const Address& peer, const wire::ConfigurationPart& part) {
  const bool peer_has_nothing_newer = part.transfer() == 0;
  if (peer_has_nothing_newer) {
    announced_versions_[peer] = part.version();
    return request_part();
  }
  if (part.transfer() != transfer_.digest) transfer_ = Transfer{part.transfer(), part.size(), {}};
  const bool continues = part.offset() == transfer_.bytes.size() && part.size() == transfer_.size;
  if (!continues || part.bytes().empty() || part.size() > kMaxTransferBytes) return restart_transfer(peer);
  transfer_.bytes += part.bytes();
  if (transfer_.bytes.size() >= transfer_.size) return finish_transfer(peer);
  request_part();
}

void ConfigurationFetcher::finish_transfer(const Address& peer) {
  const Transfer transfer = std::exchange(transfer_, Transfer{});
  if (transfer_digest(transfer.bytes) != transfer.digest) return restart_transfer(peer);
  const std::optional<wire::ConfigurationDifference> difference = decode_transfer(transfer.bytes);
  if (!difference) return restart_transfer(peer);
  apply(*difference, peer);
}

void ConfigurationFetcher::apply(const wire::ConfigurationDifference& difference, const Address& peer) {
  const ApplyOutcome outcome = replica_.apply(difference);
  if (outcome == ApplyOutcome::rejected) return restart_transfer(peer);
  needs_full_configuration_ = false;
  if (outcome == ApplyOutcome::applied) on_applied_();
  // The callback may have announced a version, and so have started a request.
  if (!request_in_flight_) request_part();
}

void ConfigurationFetcher::restart_transfer(const Address& peer) {
  transfer_ = Transfer{};
  needs_full_configuration_ = true;
  failed_.insert(peer);
  request_part_after(kRetryDelayAfterRejection);
}

}  // namespace winchhall::cluster
