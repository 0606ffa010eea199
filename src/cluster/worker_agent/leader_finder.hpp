// Finds the leader of a service by asking control nodes, one at a time and with pauses.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
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
  using Found = std::function<void(const FoundLeader&)>;

  // Both references outlive the finder.
  LeaderFinder(Runtime& runtime, const NodeSettings& settings, Found found);
  ~LeaderFinder();

  // Looks for the leader of a service with at least this epoch, until one is found or `stop`. Does nothing
  // while a search is on.
  void search(const std::string& service, std::uint64_t least_epoch);
  void stop();
  bool searching() const { return searching_; }

 private:
  void ask_next();
  void ask(const Address& node);
  void on_answer(const CallResult& result);
  void learn_members(const wire::ConfigurationUpdate& update);
  void pause();
  const Address& next_node();

  Runtime& runtime_;
  const Found found_;
  const std::vector<Address> seeds_;  // internal listeners
  std::vector<Address> nodes_;        // seeds, then members heard of
  std::size_t next_node_ = 0;
  std::string shard_;
  std::uint64_t least_epoch_ = 0;
  bool searching_ = false;
  bool asking_ = false;
  TimePoint asked_at_{};
  std::unique_ptr<Timer> timer_;
  const std::shared_ptr<bool> alive_;  // false once this object is gone
};

}  // namespace winchhall::cluster
