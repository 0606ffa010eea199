// Fetching of newer configurations from peers.
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

// Brings a replica to the newest version that a peer has announced. Requests one part at a time from one
// peer; the size of the parts is adapted to the speed at which they arrive. A failed request is retried with
// another peer where possible, and an interrupted transfer is resumed at the offset reached.
//
// Owns the transfer in progress. Runs on the thread of its runtime.
class ConfigurationFetcher {
 public:
  // Called after each difference that the replica has applied.
  using OnApplied = std::function<void()>;

  // `runtime` and `replica` must outlive the fetcher.
  ConfigurationFetcher(Runtime& runtime, ConfigurationReplica& replica, OnApplied on_applied);

  // Records that a peer has announced this version, and fetches from it if the version is newer than the
  // replica's.
  void on_version_announced(const Address& peer, std::uint64_t version);
  // Sends no further requests to this peer until it announces a version again.
  void remove_peer(const Address& peer) { announced_versions_.erase(peer); }
  // The version that the peer announced last; 0 if none.
  std::uint64_t announced_version(const Address& peer) const;

 private:
  // The part of a transfer that has been received.
  struct Transfer {
    std::uint64_t digest = 0;  // identifies it; 0: none
    std::uint32_t size = 0;    // of the complete transfer, in bytes
    std::string bytes;         // received so far
  };

  void request_part();
  void request_part_after(Millis delay);
  // Chooses a peer with a newer version than the replica's; empty if there is none. The peer of the last
  // request is preferred, then the peer with the newest version. Peers in `failed_` are chosen only if there
  // is no other.
  Address choose_peer() const;
  Address newest_peer(bool include_failed) const;
  void on_response(const Address& peer, TimePoint sent, const CallResult& result);
  // Adapts the size of the next parts to the time that a full-size part took.
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
