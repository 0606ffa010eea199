#include "cluster/worker_agent/leader_finder.hpp"

#include <algorithm>
#include <limits>

#include "cluster/common/service_shard.hpp"

namespace winchhall::cluster {
namespace {

constexpr Millis kProbeTimeout{500};
constexpr Millis kProbeWait{250};  // time for which a node without newer leaders defers its answer
constexpr unsigned kMaxProbesInFlight = 3;
constexpr Millis kRetryDelay{100};
constexpr std::uint64_t kRetryJitterMs = 50;
constexpr Millis kHedgeDelay{200};  // from one probe to the next, while the first is unanswered
constexpr std::size_t kMaxNodes = 64;

}  // namespace

LeaderFinder::LeaderFinder(Runtime& runtime, const NodeSettings& settings, FoundCallback on_found)
    : runtime_(runtime),
      on_found_(std::move(on_found)),
      seeds_(settings.seed_internal_addresses()),
      nodes_(seeds_),
      next_node_(static_cast<std::size_t>(runtime.random() % std::max<std::size_t>(1, nodes_.size()))),
      alive_(std::make_shared<bool>(true)) {}

LeaderFinder::~LeaderFinder() { *alive_ = false; }

void LeaderFinder::search(const std::string& service, std::uint64_t min_epoch) {
  shard_ = shard_of_service(service);
  min_epoch_ = min_epoch;
  if (searching_ || !has_nodes()) return;
  searching_ = true;
  leaders_digest_ = 0;
  const bool probed_recently = last_probe_at_ != TimePoint{} && runtime_.now() - last_probe_at_ < kRetryDelay;
  if (probed_recently) {
    schedule_retry();
  } else {
    probe_next_node();
  }
}

void LeaderFinder::stop() {
  searching_ = false;
  probes_in_flight_ = 0;
  ++search_number_;
  timer_.reset();
}

bool LeaderFinder::should_probe_sampled_node() const {
  const bool all_probed = probes_without_leader_ >= nodes_.size();
  const bool every_other_time = nodes_.empty() || probes_without_leader_ % 2 == 0;
  return all_probed && every_other_time && !sampled_.empty();
}

const Address& LeaderFinder::next_node() {
  const bool probe_sampled = should_probe_sampled_node();
  ++probes_without_leader_;
  if (probe_sampled) {
    next_sampled_ = (next_sampled_ + 1) % sampled_.size();
    return sampled_[next_sampled_];
  }
  next_node_ = (next_node_ + 1) % nodes_.size();
  return nodes_[next_node_];
}

void LeaderFinder::probe_next_node() {
  if (!searching_) return;
  if (!has_nodes() || probes_in_flight_ >= kMaxProbesInFlight) return schedule_retry();
  probe(next_node());
}

void LeaderFinder::probe(const Address& node) {
  wire::Envelope request;
  wire::ConfigurationWatch& watch = *request.mutable_configuration_watch();
  watch.set_version(std::numeric_limits<std::uint64_t>::max());  // only the leaders are wanted
  watch.set_leaders_digest(leaders_digest_);
  if (leaders_digest_ != 0) watch.set_wait_ms(static_cast<std::uint32_t>(kProbeWait.count()));
  ++probes_in_flight_;
  last_probe_at_ = runtime_.now();
  timer_ = runtime_.after(kHedgeDelay, [this] { probe_next_node(); });
  runtime_.call(node, std::move(request), kProbeTimeout,
                [this, alive = alive_, number = search_number_](const CallResult& result) {
                  if (!*alive) return;
                  if (number == search_number_) --probes_in_flight_;
                  on_answer(result);
                });
}

void LeaderFinder::on_answer(const CallResult& result) {
  if (!result.answer || !result.answer->has_configuration_update()) return;
  const wire::ConfigurationUpdate& update = result.answer->configuration_update();
  update_members(update);
  if (!searching_) return;
  leaders_digest_ = update.leaders_digest();
  const FoundLeader leader = newest_leader_in(update);
  if (leader.address.empty() || leader.epoch < min_epoch_) return schedule_retry();
  stop();
  probes_without_leader_ = 0;
  on_found_(leader);
}

FoundLeader LeaderFinder::newest_leader_in(const wire::ConfigurationUpdate& update) const {
  FoundLeader newest;
  for (const wire::ShardLeader& leader : update.leaders()) {
    if (leader.shard() != shard_ || leader.address().empty()) continue;
    if (leader.epoch() >= newest.epoch) newest = FoundLeader{leader.address(), leader.epoch()};
  }
  return newest;
}

void LeaderFinder::update_members(const wire::ConfigurationUpdate& update) {
  if (update.members().empty()) return;
  members_.clear();
  for (const wire::Member& member : update.members()) members_.push_back(member.address());
  rebuild_nodes();
}

void LeaderFinder::set_seeds(std::vector<Address> seeds) {
  seeds_ = std::move(seeds);
  rebuild_nodes();
}

void LeaderFinder::rebuild_nodes() {
  nodes_ = seeds_;
  for (const Address& member : members_) {
    const bool known = std::find(nodes_.begin(), nodes_.end(), member) != nodes_.end();
    if (!known && !member.empty() && nodes_.size() < kMaxNodes) nodes_.push_back(member);
  }
}

void LeaderFinder::schedule_retry() {
  if (!searching_) return;
  const Millis jitter(static_cast<std::int64_t>(runtime_.random() % kRetryJitterMs));
  timer_ = runtime_.after(kRetryDelay + jitter, [this] { probe_next_node(); });
}

}  // namespace winchhall::cluster
