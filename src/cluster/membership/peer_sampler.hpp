// Peer sampling of a process: shuffles its partial view with others over the network and tells of the control
// nodes that it comes to know that way.
//
// A process whose own address is empty takes no requests: it shuffles as a caller only and is in nobody's
// view.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/membership/contact_list.hpp"
#include "cluster/membership/partial_view.hpp"
#include "cluster/membership/sampled_control_nodes.hpp"

namespace winchhall::cluster {

class PeerSampler {
 public:
  // Told of all control nodes sampled (internal listeners, sorted) whenever they change.
  using ControlNodesCallback = std::function<void(const std::vector<Address>& nodes)>;

  // `self` is the descriptor that others get of this process. The runtime outlives the sampler.
  PeerSampler(Runtime& runtime, PeerDescriptor self, ControlNodesCallback on_control_nodes);
  ~PeerSampler();

  // Internal listeners of the seeds; may change at any time.
  void set_seeds(std::vector<Address> seeds) { contacts_.set_seeds(std::move(seeds)); }
  // This process takes no requests after all.
  void set_caller_only() { self_.address.clear(); }
  void start();
  // Shuffles no more; requests are still answered.
  void stop();
  // Answers a PeerShuffle; false: a request of another kind.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);

  const PartialView& view() const { return view_; }
  std::vector<Address> control_nodes() const { return sampled_control_nodes_.addresses(); }

 private:
  // A shuffle under way.
  struct Exchange {
    Address partner;
    bool contact = false;  // the partner was not in the view
    std::vector<PeerDescriptor> sent;
  };

  // Mean time from one round to the next.
  Millis interval() const;
  void round();
  void schedule_round();
  // Whom to shuffle with next; no partner: nobody is known.
  Exchange choose_partner();
  void shuffle(Exchange exchange);
  void on_answer(const Exchange& exchange, const CallResult& result);
  void on_shuffled(const Exchange& exchange, const wire::PeerShuffle& answer);
  void on_failure(const Exchange& exchange);
  void notify_control_nodes();
  wire::Envelope message(const std::vector<PeerDescriptor>& sent, bool answer) const;

  Runtime& runtime_;
  PeerDescriptor self_;
  const ControlNodesCallback on_control_nodes_;
  const RandomSource random_;
  PartialView view_;
  ContactList contacts_;
  SampledControlNodes sampled_control_nodes_;
  std::vector<Address> notified_control_nodes_;  // control nodes told of last
  unsigned rounds_ = 0;
  unsigned failures_ = 0;  // in a row
  std::unique_ptr<Timer> timer_;
  const std::shared_ptr<bool> alive_;  // false once this object is gone
};

}  // namespace winchhall::cluster
