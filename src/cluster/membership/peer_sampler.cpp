#include "cluster/membership/peer_sampler.hpp"

#include <algorithm>
#include <utility>

namespace winchhall::cluster {

namespace {

constexpr std::size_t kViewCapacity = 8;
constexpr std::size_t kShuffledEntries = 3;  // sent along with the sender's own descriptor
constexpr std::size_t kFormerPeerCapacity = 16;
constexpr std::size_t kSampledControlNodeCapacity = 8;
// Mean times between rounds. Rounds are frequent while the view forms and after a single failure. They are
// rare once the view is settled or while all peers fail, to save bandwidth and processor time.
constexpr Millis kUnsettledInterval{1500};
constexpr Millis kSettledInterval{5000};
constexpr unsigned kMaxBackoffDoublings = 3;
// Number of rounds after which a view counts as settled.
constexpr unsigned kFormingRounds = 8;
// Once in this many rounds the partner is a contact outside the view, which merges overlays that were
// separated by a partition.
constexpr unsigned kRoundsPerContact = 8;
constexpr Millis kShuffleTimeout{1000};

}  // namespace

PeerSampler::PeerSampler(Runtime& runtime, PeerDescriptor self, ControlNodesCallback on_control_nodes)
    : runtime_(runtime),
      self_(std::move(self)),
      on_control_nodes_(std::move(on_control_nodes)),
      random_([this] { return runtime_.random(); }),
      view_(self_.address, kViewCapacity),
      contacts_(self_.address, kFormerPeerCapacity),
      sampled_control_nodes_(self_.address, kSampledControlNodeCapacity),
      alive_(std::make_shared<bool>(true)) {}

PeerSampler::~PeerSampler() { *alive_ = false; }

void PeerSampler::start() { schedule_round(); }

void PeerSampler::stop() { timer_.reset(); }

Millis PeerSampler::interval() const {
  if (failures_ > 0) return kUnsettledInterval * (1u << std::min(failures_ - 1, kMaxBackoffDoublings));
  const bool settled = rounds_ >= kFormingRounds && !view_.empty();
  return settled ? kSettledInterval : kUnsettledInterval;
}

void PeerSampler::schedule_round() {
  // The delay is uniform between 3/4 and 5/4 of the interval, so that processes that were started together do
  // not stay synchronized.
  const Millis min_delay = interval() * 3 / 4;
  const auto spread = static_cast<std::uint64_t>(interval().count() / 2);
  const Millis jitter(static_cast<std::int64_t>(random_() % (spread + 1)));
  timer_ = runtime_.after(min_delay + jitter, [this] { round(); });
}

void PeerSampler::round() {
  ++rounds_;
  view_.increment_ages();
  Exchange exchange = choose_partner();
  if (!exchange.partner.empty()) shuffle(std::move(exchange));
  schedule_round();
}

PeerSampler::Exchange PeerSampler::choose_partner() {
  if (view_.empty() || rounds_ % kRoundsPerContact == 0) {
    Address contact = contacts_.choose(view_, random_);
    if (!contact.empty()) return Exchange{std::move(contact), true, {}};
  }
  std::optional<PeerDescriptor> oldest = view_.take_oldest();
  if (!oldest) return Exchange{};
  return Exchange{std::move(oldest->address), false, {}};
}

void PeerSampler::shuffle(Exchange exchange) {
  exchange.sent = view_.choose(kShuffledEntries, exchange.partner, random_);
  runtime_.call(exchange.partner, make_message(exchange.sent, false), kShuffleTimeout,
                [this, alive = alive_, exchange](const CallResult& result) {
                  if (*alive) on_answer(exchange, result);
                });
}

void PeerSampler::on_answer(const Exchange& exchange, const CallResult& result) {
  const bool answered = result.answer && result.answer->has_peer_shuffle();
  if (!answered) return on_failure(exchange);
  on_shuffled(exchange, result.answer->peer_shuffle());
}

void PeerSampler::on_shuffled(const Exchange& exchange, const wire::PeerShuffle& answer) {
  failures_ = 0;
  contacts_.remove_former(exchange.partner);
  std::vector<PeerDescriptor> received = descriptors_of(answer);
  sampled_control_nodes_.increment_ages();
  sampled_control_nodes_.merge(received);
  report_control_nodes();
  const bool partner_described = !received.empty() && received.front().address == exchange.partner;
  if (!partner_described) return view_.merge(received, exchange.sent);
  const PeerDescriptor partner = received.front();
  received.erase(received.begin());
  view_.merge(received, exchange.sent);
  view_.insert_if_space(partner);
}

// A contact that does not answer is considered dead if other peers answer, that is, if the view is not empty.
// Otherwise this process itself may be partitioned, and the contact is kept.
void PeerSampler::on_failure(const Exchange& exchange) {
  ++failures_;
  if (!exchange.from_contacts) return contacts_.add_former(exchange.partner);
  if (!view_.empty()) contacts_.remove_former(exchange.partner);
}

bool PeerSampler::handle(const wire::Envelope& request, const ReplyCallback& reply) {
  if (!request.has_peer_shuffle()) return false;
  const std::vector<PeerDescriptor> received = descriptors_of(request.peer_shuffle());
  const std::vector<PeerDescriptor> sent =
      view_.choose(kShuffledEntries, request.peer_shuffle().from().address(), random_);
  reply(make_message(sent, true));
  view_.merge(received, sent);
  sampled_control_nodes_.merge(received);
  report_control_nodes();
  return true;
}

void PeerSampler::report_control_nodes() {
  std::vector<Address> nodes = sampled_control_nodes_.addresses();
  if (nodes == reported_control_nodes_) return;
  reported_control_nodes_ = std::move(nodes);
  if (on_control_nodes_) on_control_nodes_(reported_control_nodes_);
}

wire::Envelope PeerSampler::make_message(const std::vector<PeerDescriptor>& sent, bool answer) const {
  wire::Envelope envelope;
  wire::PeerShuffle& shuffle = *envelope.mutable_peer_shuffle();
  *shuffle.mutable_from() = to_wire(self_);
  shuffle.set_answer(answer);
  for (const PeerDescriptor& peer : sent) *shuffle.add_peers() = to_wire(peer);
  return envelope;
}

}  // namespace winchhall::cluster
