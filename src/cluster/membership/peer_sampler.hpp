// Peer sampling of a process over the network.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/membership/contact_list.hpp"
#include "cluster/membership/partial_view.hpp"
#include "cluster/membership/sampled_control_nodes.hpp"

namespace winchhall::cluster {

// Shuffles the partial view of this process with those of others in rounds, and reports the control nodes
// that it learns of. Protocol: see PartialView.
//
// A process whose own address is empty takes no requests: it shuffles as a caller only and is in nobody's
// view.
//
// Rounds are frequent (1.5 s) while the view forms and rare (5 s) afterwards; after consecutive failures the
// interval doubles from 1.5 s up to 12 s. Owns the view, the contacts and the sampled control nodes.
// Single-threaded: all calls and callbacks happen on the event loop. May be destroyed while calls are
// pending; their results are ignored then.
class PeerSampler {
 public:
  // Called with the addresses of all sampled control nodes (internal listeners, sorted) whenever these
  // change.
  using ControlNodesCallback = std::function<void(const std::vector<Address>& nodes)>;

  // `self` is the descriptor that others get of this process. `on_control_nodes` may be empty. `runtime`
  // outlives the sampler.
  PeerSampler(Runtime& runtime, PeerDescriptor self, ControlNodesCallback on_control_nodes);
  ~PeerSampler();

  // Addresses of the internal listeners of the seeds; may change at any time.
  void set_seeds(std::vector<Address> seeds) { contacts_.set_seeds(std::move(seeds)); }
  // From now on this process takes no requests: others get a descriptor without an address.
  void set_caller_only() { self_.address.clear(); }
  // Begins the rounds.
  void start();
  // Ends the rounds; requests are still answered.
  void stop();
  // Answers a PeerShuffle, within this call; false: a request of another kind.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);

  const PartialView& view() const { return view_; }
  std::vector<Address> control_nodes() const { return sampled_control_nodes_.addresses(); }

 private:
  // A shuffle that this process began and that isn't answered yet.
  struct Exchange {
    Address partner;
    bool from_contacts = false;  // the partner was not in the view
    std::vector<PeerDescriptor> sent;
  };

  // Mean time from one round to the next.
  Millis interval() const;
  void round();
  void schedule_round();
  // Chooses the partner of the next shuffle and removes it from the view; empty partner: no peer is known.
  Exchange choose_partner();
  void shuffle(Exchange exchange);
  void on_answer(const Exchange& exchange, const CallResult& result);
  void on_shuffled(const Exchange& exchange, const wire::PeerShuffle& answer);
  void on_failure(const Exchange& exchange);
  void notify_control_nodes();
  wire::Envelope make_message(const std::vector<PeerDescriptor>& sent, bool answer) const;

  Runtime& runtime_;
  PeerDescriptor self_;
  const ControlNodesCallback on_control_nodes_;
  const RandomSource random_;
  PartialView view_;
  ContactList contacts_;
  SampledControlNodes sampled_control_nodes_;
  std::vector<Address> notified_control_nodes_;  // that the callback got last
  unsigned rounds_ = 0;
  unsigned failures_ = 0;  // consecutive
  std::unique_ptr<Timer> timer_;
  const std::shared_ptr<bool> alive_;  // set to false by the destructor, for pending calls
};

}  // namespace winchhall::cluster
