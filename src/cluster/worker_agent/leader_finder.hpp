// Finds the leader of a service by asking control nodes in turn, a few of them at once.
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

// A leader as a control node named it.
struct FoundLeader {
  Address address;
  std::uint64_t epoch = 0;
};

class LeaderFinder {
 public:
  using FoundCallback = std::function<void(const FoundLeader&)>;

  // Both references outlive the finder.
  LeaderFinder(Runtime& runtime, const NodeSettings& settings, FoundCallback found);
  ~LeaderFinder();

  // Looks for the leader of a service with at least this epoch, until one is found or `stop`. Does nothing
  // while a search is on.
  void search(const std::string& service, std::uint64_t least_epoch);
  void stop();
  bool searching() const { return searching_; }
  // Internal listeners of the seeds, after a change of the settings.
  void set_seeds(std::vector<Address> seeds);
  // Control nodes that peer sampling brought up: asked in turn with the others once all those were asked in
  // vain.
  void set_sampled(std::vector<Address> nodes) { sampled_ = std::move(nodes); }

 private:
  void probe_next_node();
  void ask(const Address& node);
  void on_answer(const CallResult& result);
  void update_members(const wire::ConfigurationUpdate& update);
  void rebuild_nodes();
  void pause();
  // A seed or a member, or, where all of these were asked in vain, sometimes a sampled node.
  const Address& next_node();
  bool is_sampled_turn() const;

  Runtime& runtime_;
  const FoundCallback found_;
  std::vector<Address> seeds_;    // internal listeners
  std::vector<Address> members_;  // heard of last
  std::vector<Address> nodes_;    // seeds, then members
  std::vector<Address> sampled_;
  std::size_t next_node_ = 0;
  std::size_t next_sampled_ = 0;
  std::size_t unanswered_probes_ = 0;  // asks since a leader was found last
  std::string shard_;
  std::uint64_t min_epoch_ = 0;
  bool searching_ = false;
  unsigned probes_in_flight_ = 0;     // nodes that have not answered in this search
  std::uint64_t leaders_digest_ = 0;  // of the leaders that were named last in this search
  std::uint64_t search_number_ = 0;   // rises with the end of each search
  TimePoint last_probe_at_{};
  std::unique_ptr<Timer> timer_;
  const std::shared_ptr<bool> alive_;  // false once this object is gone
};

}  // namespace winchhall::cluster
