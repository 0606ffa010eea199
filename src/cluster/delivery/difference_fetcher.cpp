#include "cluster/delivery/difference_fetcher.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "cluster/common/digest.hpp"
#include "cluster/delivery/compression.hpp"

namespace winchhall::cluster {

namespace {

constexpr std::uint32_t kFirstPartBytes = 8u << 10;
constexpr std::uint32_t kLeastPartBytes = 2u << 10;
constexpr std::uint32_t kMostPartBytes = 128u << 10;
// Parts are sized to take about this long, so that other calls on the link wait no longer.
constexpr Millis kFastPart{40};
constexpr Millis kSlowPart{120};
constexpr Millis kPartTimeout{1200};
constexpr Millis kPauseAfterFailure{50};
constexpr Millis kPauseAfterUnusable{1000};
// Bytes of one transfer that are taken at most.
constexpr std::uint32_t kMostTransferBytes = 32u << 20;

}  // namespace

DifferenceFetcher::DifferenceFetcher(Runtime& runtime, ConfigurationReplica& replica, OnTaken on_taken)
    : runtime_(runtime), replica_(replica), on_taken_(std::move(on_taken)), part_bytes_(kFirstPartBytes) {}

void DifferenceFetcher::offer(const Address& peer, std::uint64_t version) {
  offers_[peer] = version;
  if (!asking_ && !pause_) ask();
}

std::uint64_t DifferenceFetcher::offered_by(const Address& peer) const {
  const auto offer = offers_.find(peer);
  return offer == offers_.end() ? 0 : offer->second;
}

Address DifferenceFetcher::choose_peer() const {
  const bool last_serves = offered_by(last_peer_) > replica_.version() && !failed_.contains(last_peer_);
  if (last_serves) return last_peer_;
  const Address sound = newest_peer(false);
  return sound.empty() ? newest_peer(true) : sound;
}

Address DifferenceFetcher::newest_peer(bool also_failed) const {
  Address best;
  std::uint64_t newest = replica_.version();
  for (const auto& [peer, version] : offers_) {
    if (version <= newest || (!also_failed && failed_.contains(peer))) continue;
    newest = version;
    best = peer;
  }
  return best;
}

void DifferenceFetcher::ask() {
  pause_.reset();
  const Address peer = choose_peer();
  if (peer.empty()) return;
  asking_ = true;
  last_peer_ = peer;
  wire::Envelope request;
  wire::ConfigurationFetch& fetch = *request.mutable_configuration_fetch();
  if (!whole_wanted_) {
    fetch.set_version(replica_.version());
    fetch.set_digest(replica_.table().id().digest);
  }
  fetch.set_transfer(transfer_.digest);
  fetch.set_offset(static_cast<std::uint32_t>(transfer_.bytes.size()));
  fetch.set_most_bytes(part_bytes_);
  runtime_.call(
      peer, std::move(request), kPartTimeout,
      [this, peer, sent = runtime_.now()](const CallResult& result) { on_answer(peer, sent, result); });
}

void DifferenceFetcher::ask_later(Millis pause) {
  pause_ = runtime_.after(pause, [this] { ask(); });
}

void DifferenceFetcher::on_answer(const Address& peer, TimePoint sent, const CallResult& result) {
  asking_ = false;
  if (!result.answer || !result.answer->has_configuration_part()) {
    failed_.insert(peer);
    part_bytes_ = std::max(part_bytes_ / 2, kLeastPartBytes);
    return ask_later(kPauseAfterFailure);
  }
  failed_.erase(peer);
  const wire::ConfigurationPart& part = result.answer->configuration_part();
  if (part.bytes().size() >= part_bytes_) {
    adapt_part_bytes(std::chrono::duration_cast<Millis>(runtime_.now() - sent));
  }
  take_part(peer, part);
}

void DifferenceFetcher::adapt_part_bytes(Millis took) {
  if (took <= kFastPart) part_bytes_ = std::min(part_bytes_ * 2, kMostPartBytes);
  if (took >= kSlowPart) part_bytes_ = std::max(part_bytes_ / 2, kLeastPartBytes);
}

void DifferenceFetcher::take_part(const Address& peer, const wire::ConfigurationPart& part) {
  if (part.transfer() == 0) {  // it has nothing newer
    offers_[peer] = part.version();
    return ask();
  }
  if (part.transfer() != transfer_.digest) transfer_ = Transfer{part.transfer(), part.size(), {}};
  const bool follows = part.offset() == transfer_.bytes.size() && part.size() == transfer_.size;
  if (!follows || part.bytes().empty() || part.size() > kMostTransferBytes) return start_over(peer);
  transfer_.bytes += part.bytes();
  if (transfer_.bytes.size() >= transfer_.size) return finish_transfer(peer);
  ask();
}

void DifferenceFetcher::finish_transfer(const Address& peer) {
  const Transfer transfer = std::exchange(transfer_, Transfer{});
  Digest digest;
  digest.add(transfer.bytes);
  if (digest.value() != transfer.digest) return start_over(peer);
  const std::optional<std::string> text = uncompressed(transfer.bytes);
  wire::ConfigurationDifference difference;
  if (!text || !difference.ParseFromString(*text)) return start_over(peer);
  take(difference, peer);
}

void DifferenceFetcher::take(const wire::ConfigurationDifference& difference, const Address& peer) {
  const TakeOutcome outcome = replica_.take(difference);
  if (outcome == TakeOutcome::unusable) return start_over(peer);
  whole_wanted_ = false;
  if (outcome == TakeOutcome::taken) on_taken_();
  if (!asking_) ask();
}

void DifferenceFetcher::start_over(const Address& peer) {
  transfer_ = Transfer{};
  whole_wanted_ = true;
  failed_.insert(peer);
  ask_later(kPauseAfterUnusable);
}

}  // namespace winchhall::cluster
