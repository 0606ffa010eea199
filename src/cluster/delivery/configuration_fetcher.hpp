// Fetches newer configurations from peers: one part at a time from one peer, with parts sized by how fast
// they arrive. A failed request is retried with another peer where possible, and an interrupted transfer is
// resumed at the offset reached.
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

// Runs on the thread of its runtime.
class ConfigurationFetcher {
 public:
  // Called after each difference that the replica has applied.
  using OnApplied = std::function<void()>;

  // `runtime` and `replica` must outlive the fetcher.
  ConfigurationFetcher(Runtime& runtime, ConfigurationReplica& replica, OnApplied on_applied);

  // A peer has announced that it has this version. Fetches from it if the version is newer than the
  // replica's.
  void on_version_announced(const Address& peer, std::uint64_t version);
  // No further requests go to this peer until it announces a version again.
  void remove_peer(const Address& peer) { announced_versions_.erase(peer); }
  // The version that the peer announced last; 0 if none.
  std::uint64_t announced_version(const Address& peer) const;

 private:
  // The transfer in progress.
  struct Transfer {
    std::uint64_t digest = 0;  // identifies it; 0: none
    std::uint32_t size = 0;
    std::string bytes;  // received so far
  };

  void request_part();
  void request_part_after(Millis delay);
  // A peer with a newer version than the replica's; empty if none. Preferred is the peer of the last request,
  // then the peer with the newest version; peers whose last request failed come last.
  Address choose_peer() const;
  Address newest_peer(bool include_failed) const;
  void on_response(const Address& peer, TimePoint sent, const CallResult& result);
  void adjust_part_bytes(Millis duration);
  void receive_part(const Address& peer, const wire::ConfigurationPart& part);
  void finish_transfer(const Address& peer);
  void apply(const wire::ConfigurationDifference& difference, const Address& peer);
  // Discards the transfer and requests the full configuration after a delay.
  void restart_transfer(const Address& peer);

  Runtime& runtime_;
  ConfigurationReplica& replica_;
  OnApplied on_applied_;
  std::map<Address, std::uint64_t> announced_versions_;
  std::set<Address> failed_;  // peers whose last request failed or whose last transfer was unusable
  Address last_peer_;
  Transfer transfer_;
  bool needs_full_configuration_ = false;  // since a difference was rejected
  std::uint32_t part_bytes_;
  bool request_in_flight_ = false;
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace winchhall::cluster
