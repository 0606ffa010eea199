#include "cluster/delivery/configuration_fetcher.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "cluster/common/digest.hpp"
#include "cluster/delivery/compression.hpp"

namespace winchhall::cluster {

namespace {

constexpr std::uint32_t kFirstPartBytes = 8u << 10;
constexpr std::uint32_t kMinPartBytes = 2u << 10;
constexpr std::uint32_t kMaxPartBytes = 128u << 10;
// Parts are sized to take about this long, so that other calls on the link wait no longer.
constexpr Millis kFastPart{40};
constexpr Millis kSlowPart{120};
constexpr Millis kPartTimeout{1200};
constexpr Millis kRetryDelayAfterFailure{50};
constexpr Millis kRetryDelayAfterRejection{1000};
// Bytes of one transfer that are taken at most.
constexpr std::uint32_t kMaxTransferBytes = 32u << 20;

}  // namespace

ConfigurationFetcher::ConfigurationFetcher(Runtime& runtime, ConfigurationReplica& replica,
                                           OnApplied on_applied)
    : runtime_(runtime),
      replica_(replica),
      on_applied_(std::move(on_applied)),
      part_bytes_(kFirstPartBytes) {}

void ConfigurationFetcher::on_version_announced(const Address& peer, std::uint64_t version) {
  announced_versions_[peer] = version;
  if (!request_in_flight_ && !retry_timer_) request_part();
}

std::uint64_t ConfigurationFetcher::announced_version(const Address& peer) const {
  const auto on_version_announced = announced_versions_.find(peer);
  return on_version_announced == announced_versions_.end() ? 0 : on_version_announced->second;
}

Address ConfigurationFetcher::choose_peer() const {
  const bool last_serves =
      announced_version(last_peer_) > replica_.version() && !failed_.contains(last_peer_);
  if (last_serves) return last_peer_;
  const Address sound = newest_peer(false);
  return sound.empty() ? newest_peer(true) : sound;
}

Address ConfigurationFetcher::newest_peer(bool also_failed) const {
  Address best;
  std::uint64_t newest = replica_.version();
  for (const auto& [peer, version] : announced_versions_) {
    if (version <= newest || (!also_failed && failed_.contains(peer))) continue;
    newest = version;
    best = peer;
  }
  return best;
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

void ConfigurationFetcher::schedule_request(Millis pause) {
  retry_timer_ = runtime_.after(pause, [this] { request_part(); });
}

void ConfigurationFetcher::on_response(const Address& peer, TimePoint sent, const CallResult& result) {
  request_in_flight_ = false;
  if (!result.answer || !result.answer->has_configuration_part()) {
    failed_.insert(peer);
    part_bytes_ = std::max(part_bytes_ / 2, kMinPartBytes);
    return schedule_request(kRetryDelayAfterFailure);
  }
  failed_.erase(peer);
  const wire::ConfigurationPart& part = result.answer->configuration_part();
  if (part.bytes().size() >= part_bytes_) {
    adjust_part_bytes(std::chrono::duration_cast<Millis>(runtime_.now() - sent));
  }
  receive_part(peer, part);
}

void ConfigurationFetcher::adjust_part_bytes(Millis took) {
  if (took <= kFastPart) part_bytes_ = std::min(part_bytes_ * 2, kMaxPartBytes);
  if (took >= kSlowPart) part_bytes_ = std::max(part_bytes_ / 2, kMinPartBytes);
}

void ConfigurationFetcher::receive_part(const Address& peer, const wire::ConfigurationPart& part) {
  if (part.transfer() == 0) {  // it has nothing newer
    announced_versions_[peer] = part.version();
    return request_part();
  }
  if (part.transfer() != transfer_.digest) transfer_ = Transfer{part.transfer(), part.size(), {}};
  const bool follows = part.offset() == transfer_.bytes.size() && part.size() == transfer_.size;
  if (!follows || part.bytes().empty() || part.size() > kMaxTransferBytes) return restart_transfer(peer);
  transfer_.bytes += part.bytes();
  if (transfer_.bytes.size() >= transfer_.size) return finish_transfer(peer);
  request_part();
}

void ConfigurationFetcher::finish_transfer(const Address& peer) {
  const Transfer transfer = std::exchange(transfer_, Transfer{});
  Digest digest;
  digest.add(transfer.bytes);
  if (digest.value() != transfer.digest) return restart_transfer(peer);
  const std::optional<std::string> text = decompress(transfer.bytes);
  wire::ConfigurationDifference difference;
  if (!text || !difference.ParseFromString(*text)) return restart_transfer(peer);
  apply(difference, peer);
}

void ConfigurationFetcher::apply(const wire::ConfigurationDifference& difference, const Address& peer) {
  const ApplyOutcome outcome = replica_.apply(difference);
  if (outcome == ApplyOutcome::rejected) return restart_transfer(peer);
  needs_full_configuration_ = false;
  if (outcome == ApplyOutcome::applied) on_applied_();
  if (!request_in_flight_) request_part();
}

void ConfigurationFetcher::restart_transfer(const Address& peer) {
  transfer_ = Transfer{};
  needs_full_configuration_ = true;
  failed_.insert(peer);
  schedule_request(kRetryDelayAfterRejection);
}

}  // namespace winchhall::cluster
