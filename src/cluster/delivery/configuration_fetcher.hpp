// Fetches newer configurations, part by part: one part at a time from one peer, sized by how fast parts come,
// and from another peer where one fails. A transfer that was cut off is gone on with where it stopped.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_replica.hpp"

namespace winchhall::cluster {

class ConfigurationFetcher {
 public:
  // Told after each difference that the replica has taken.
  using OnApplied = std::function<void()>;

  // `replica` outlives the fetcher.
  ConfigurationFetcher(Runtime& runtime, ConfigurationReplica& replica, OnApplied on_applied);

  // A peer says that it has this version.
  void on_version_announced(const Address& peer, std::uint64_t version);
  // The peer is not to be asked any more.
  void remove_peer(const Address& peer) { announced_versions_.erase(peer); }
  // Newest version that the peer said it has; 0: none.
  std::uint64_t announced_version(const Address& peer) const;

 private:
  // What has come of a transfer.
  struct Transfer {
    std::uint64_t digest = 0;  // 0: none
    std::uint32_t size = 0;
    std::string bytes;
  };

  void request_part();
  void schedule_request(Millis pause);
  // A peer with something newer: the one asked last, else the one with the newest, by preference one that
  // hasn't failed since it last answered; empty: none.
  Address choose_peer() const;
  Address newest_peer(bool also_failed) const;
  void on_response(const Address& peer, TimePoint sent, const CallResult& result);
  void receive_part(const Address& peer, const wire::ConfigurationPart& part);
  void finish_transfer(const Address& peer);
  void apply(const wire::ConfigurationDifference& difference, const Address& peer);
  void restart_transfer(const Address& peer);
  void adjust_part_bytes(Millis took);

  Runtime& runtime_;
  ConfigurationReplica& replica_;
  OnApplied on_applied_;
  std::map<Address, std::uint64_t> announced_versions_;  // newest version that a peer said it has
  std::set<Address> failed_;  // peers whose last part did not come, or could not be used
  Address last_peer_;
  Transfer transfer_;
  bool needs_full_configuration_ = false;  // a difference could not be used
  std::uint32_t part_bytes_;
  bool request_in_flight_ = false;
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace winchhall::cluster
