// Peer sampling by exchanges with other processes over the network.
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
// A process whose own address is empty accepts no requests: it shuffles only as a caller and is in no other
// process's view.
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
  // must outlive the sampler.
  PeerSampler(Runtime& runtime, PeerDescriptor self, ControlNodesCallback on_control_nodes);
  ~PeerSampler();

  // Addresses of the internal listeners of the seeds; may change at any time.
  void set_seeds(std::vector<Address> seeds) { contacts_.set_seeds(std::move(seeds)); }
  // Declares that this process accepts no requests from now on: others get a descriptor without an address.
  void set_caller_only() { self_.address.clear(); }
  // Begins the rounds.
  void start();
  // Ends the rounds; requests are still answered.
  void stop();
  // Answers a PeerShuffle before it returns. Returns false for a request of any other kind.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);

  // The current partial view.
  const PartialView& view() const { return view_; }
  // Internal listeners of the sampled control nodes, sorted.
  std::vector<Address> control_nodes() const { return sampled_control_nodes_.addresses(); }

 private:
  // A shuffle that this process has started and that is not answered yet.
  struct Exchange {
    Address partner;
    bool from_contacts = false;  // the partner was not in the view
    std::vector<PeerDescriptor> sent;
  };

  // Mean time from one round to the next.
  Millis interval() const;
  void round();
  void schedule_round();
  // Chooses the partner of the next shuffle and removes it from the view. The partner is empty if no peer is
  // known.
  Exchange choose_partner();
  void shuffle(Exchange exchange);
  void on_answer(const Exchange& exchange, const CallResult& result);
  void on_shuffled(const Exchange& exchange, const wire::PeerShuffle& answer);
  void on_failure(const Exchange& exchange);
  // Calls the callback if the sampled control nodes have changed.
  void report_control_nodes();
  wire::Envelope make_message(const std::vector<PeerDescriptor>& sent, bool answer) const;

  Runtime& runtime_;
  PeerDescriptor self_;
  const ControlNodesCallback on_control_nodes_;
  const RandomSource random_;
  PartialView view_;
  ContactList contacts_;
  SampledControlNodes sampled_control_nodes_;
  std::vector<Address> reported_control_nodes_;  // last passed to the callback
  unsigned rounds_ = 0;
  unsigned failures_ = 0;  // consecutive
  std::unique_ptr<Timer> timer_;
  const std::shared_ptr<bool> alive_;  // set to false by the destructor, for pending calls
};

}  // namespace winchhall::cluster
