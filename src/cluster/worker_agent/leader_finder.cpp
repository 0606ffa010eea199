#include "cluster/worker_agent/leader_finder.hpp"

#include <algorithm>
#include <limits>

namespace winchhall::cluster {
namespace {

constexpr Millis kProbeTimeout{500};
constexpr Millis kProbeWait{250};  // a node that knows nothing new answers after so long, or once it does
constexpr unsigned kMaxProbesInFlight = 3;
constexpr Millis kPause{100};
constexpr Millis kHedge{200};  // without an answer for so long, another node is asked beside
constexpr std::uint64_t kPauseJitterMs = 50;
constexpr std::size_t kMaxNodes = 64;

}  // namespace

LeaderFinder::LeaderFinder(Runtime& runtime, const NodeSettings& settings, FoundCallback found)
    : runtime_(runtime),
      found_(std::move(found)),
      seeds_(settings.seed_internal_addresses()),
      nodes_(seeds_),
      next_node_(static_cast<std::size_t>(runtime.random() % std::max<std::size_t>(1, nodes_.size()))),
      alive_(std::make_shared<bool>(true)) {}

LeaderFinder::~LeaderFinder() { *alive_ = false; }

void LeaderFinder::search(const std::string& service, std::uint64_t least_epoch) {
  shard_ = "service/" + service;
  min_epoch_ = least_epoch;
  if (searching_ || (nodes_.empty() && sampled_.empty())) return;
  searching_ = true;
  leaders_digest_ = 0;
  const bool too_soon = last_probe_at_ != TimePoint{} && runtime_.now() - last_probe_at_ < kPause;
  if (too_soon) {
    pause();
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

bool LeaderFinder::is_sampled_turn() const {
  const bool all_asked = unanswered_probes_ >= nodes_.size();
  const bool turn = nodes_.empty() || unanswered_probes_ % 2 == 0;
  return all_asked && turn && !sampled_.empty();
}

const Address& LeaderFinder::next_node() {
  const bool sampled_turn = is_sampled_turn();
  ++unanswered_probes_;
  if (sampled_turn) {
    next_sampled_ = (next_sampled_ + 1) % sampled_.size();
    return sampled_[next_sampled_];
  }
  next_node_ = (next_node_ + 1) % nodes_.size();
  return nodes_[next_node_];
}

void LeaderFinder::probe_next_node() {
  if (!searching_) return;
  if ((nodes_.empty() && sampled_.empty()) || probes_in_flight_ >= kMaxProbesInFlight) return pause();
  ask(next_node());
}

void LeaderFinder::ask(const Address& node) {
  wire::Envelope request;
  wire::ConfigurationWatch& watch = *request.mutable_configuration_watch();
  watch.set_version(std::numeric_limits<std::uint64_t>::max());  // the configuration itself is not wanted
  watch.set_leaders_digest(leaders_digest_);
  if (leaders_digest_ != 0) watch.set_wait_ms(static_cast<std::uint32_t>(kProbeWait.count()));
  ++probes_in_flight_;
  last_probe_at_ = runtime_.now();
  timer_ = runtime_.after(kHedge, [this] { probe_next_node(); });
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
  FoundLeader best;
  for (const wire::ShardLeader& leader : update.leaders()) {
    const bool better = leader.shard() == shard_ && !leader.address().empty() && leader.epoch() >= best.epoch;
    if (better) best = FoundLeader{leader.address(), leader.epoch()};
  }
  if (best.address.empty() || best.epoch < min_epoch_) return pause();
  stop();
  unanswered_probes_ = 0;
  found_(best);
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

void LeaderFinder::pause() {
  if (!searching_) return;
  const Millis jitter(static_cast<std::int64_t>(runtime_.random() % kPauseJitterMs));
  timer_ = runtime_.after(kPause + jitter, [this] { probe_next_node(); });
}

}  // namespace winchhall::cluster
