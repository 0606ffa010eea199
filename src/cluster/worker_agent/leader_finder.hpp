// Finds the leader of a service by querying control nodes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

// A leader that a control node has named.
struct FoundLeader {
  Address address;
  std::uint64_t epoch = 0;
};

// Probes control nodes one after another until one names a leader. If a node does not answer soon, the next
// one is probed as well, with a bounded number of probes in flight. The nodes are the seeds and the members
// that the newest answer listed. Once all of these were probed without a result, every other probe goes to a
// node from peer sampling. Not thread-safe; calls back on the runtime's thread.
class LeaderFinder {
 public:
  using FoundCallback = std::function<void(const FoundLeader&)>;

  // `runtime` must outlive the finder. `on_found` is called at the end of each successful search.
  LeaderFinder(Runtime& runtime, const NodeSettings& settings, FoundCallback on_found);
  ~LeaderFinder();

  // Searches for the leader of `service` until one with an epoch of at least `min_epoch` is found or `stop`
  // is called. If a search is running already, only changes its target. Does nothing while no node is known.
  void search(const std::string& service, std::uint64_t min_epoch);
  void stop();
  bool searching() const { return searching_; }
  // Replaces the seeds (their internal listeners), after a change of the settings.
  void set_seeds(std::vector<Address> seeds);
  // Replaces the control nodes known from peer sampling.
  void set_sampled(std::vector<Address> nodes) { sampled_ = std::move(nodes); }

 private:
  bool has_nodes() const { return !nodes_.empty() || !sampled_.empty(); }
  void probe_next_node();
  void probe(const Address& node);
  void on_answer(const CallResult& result);
  // Returns the leader of the service's shard with the highest epoch, or an empty address if the update names
  // none.
  FoundLeader newest_leader_in(const wire::ConfigurationUpdate& update) const;
  void update_members(const wire::ConfigurationUpdate& update);
  void rebuild_nodes();
  void schedule_retry();
  // Precondition: `has_nodes()`.
  const Address& next_node();
  bool should_probe_sampled_node() const;

  Runtime& runtime_;
  const FoundCallback on_found_;
  std::vector<Address> seeds_;    // internal listeners
  std::vector<Address> members_;  // as the newest answer listed them
  std::vector<Address> nodes_;    // seeds, then members
  std::vector<Address> sampled_;
  std::size_t next_node_ = 0;
  std::size_t next_sampled_ = 0;
  std::size_t probes_without_leader_ = 0;  // since a leader was last found
  std::string shard_;
  std::uint64_t min_epoch_ = 0;
  bool searching_ = false;
  unsigned probes_in_flight_ = 0;     // of this search
  std::uint64_t leaders_digest_ = 0;  // of the leaders that this search received last; 0 if none yet
  std::uint64_t search_number_ = 0;   // incremented at the end of each search
  TimePoint last_probe_at_{};
  std::unique_ptr<Timer> timer_;
  const std::shared_ptr<bool> alive_;  // false once this object is destroyed
};

}  // namespace winchhall::cluster
