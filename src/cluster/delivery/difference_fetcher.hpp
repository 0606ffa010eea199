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

class DifferenceFetcher {
 public:
  // Told after each difference that the replica has taken.
  using OnTaken = std::function<void()>;

  // `replica` outlives the fetcher.
  DifferenceFetcher(Runtime& runtime, ConfigurationReplica& replica, OnTaken on_taken);

  // A peer says that it has this version.
  void offer(const Address& peer, std::uint64_t version);
  // The peer is not to be asked any more.
  void withdraw(const Address& peer) { offers_.erase(peer); }
  // Newest version that the peer said it has; 0: none.
  std::uint64_t offered_by(const Address& peer) const;

 private:
  // What has come of a transfer.
  struct Transfer {
    std::uint64_t digest = 0;  // 0: none
    std::uint32_t size = 0;
    std::string bytes;
  };

  void ask();
  void ask_later(Millis pause);
  // A peer with something newer: the one asked last, else the one with the newest, by preference one that
  // hasn't failed since it last answered; empty: none.
  Address choose_peer() const;
  Address newest_peer(bool also_failed) const;
  void on_answer(const Address& peer, TimePoint sent, const CallResult& result);
  void take_part(const Address& peer, const wire::ConfigurationPart& part);
  void finish_transfer(const Address& peer);
  void take(const wire::ConfigurationDifference& difference, const Address& peer);
  void start_over(const Address& peer);
  void adapt_part_bytes(Millis took);

  Runtime& runtime_;
  ConfigurationReplica& replica_;
  OnTaken on_taken_;
  std::map<Address, std::uint64_t> offers_;  // newest version that a peer said it has
  std::set<Address> failed_;                 // peers whose last part did not come, or could not be used
  Address last_peer_;
  Transfer transfer_;
  bool whole_wanted_ = false;  // a difference could not be used
  std::uint32_t part_bytes_;
  bool asking_ = false;
  std::unique_ptr<Timer> pause_;
};

}  // namespace winchhall::cluster
