// Follows the configuration and the leaders by long polls on control nodes.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/agent/control_directory.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_fetcher.hpp"

namespace winchhall::cluster {

// Keeps a long poll on each of several control nodes and updates the view from the answers. Replaces a node
// that fails or is not in contact with a quorum of the control group, and fetches a newer configuration from
// the nodes that announce it. Not thread-safe; calls back on the runtime's thread.
class ControlWatcher {
 public:
  using OnChange = std::function<void(const ViewChanges&)>;

  // `on_change` is called after each update that has changed the view's configuration or leaders. `runtime`,
  // `view` and `directory` must outlive the watcher.
  ControlWatcher(Runtime& runtime, ClusterView& view, ControlDirectory& directory, OnChange on_change);

  // Starts the polls.
  void start();
  // Queries a control node other than `failed` for the leaders at once, unless such a query is in progress or
  // was started a moment ago. `failed` may be empty.
  void refresh(const Address& failed);
  // Applies an update that a control node has sent in answer to a call other than the polls.
  void on_update(const Address& peer, const wire::ConfigurationUpdate& update) { apply_update(peer, update); }
  // True if a control node with quorum contact has answered within the contact time-out.
  bool has_quorum_contact() const;

 private:
  // A long poll on one control node.
  struct Slot {
    Address peer;                      // empty: no node is chosen
    std::uint64_t leaders_digest = 0;  // of the leaders that the peer returned last
    TimePoint sent_at;
    unsigned failures = 0;  // consecutive polls without an answer, whichever the peer
    std::unique_ptr<Timer> timer;
  };

  void assign_peer(std::size_t index);
  void poll(std::size_t index);
  // Time-out of a slot's next poll while no node with quorum contact is known.
  static Millis search_poll_timeout(const Slot& slot);
  void poll_after(std::size_t index, Millis delay);
  void on_answer(std::size_t index, const CallResult& result);
  // Starts the backoff of the slot's node and chooses another one.
  void replace_failed_peer(std::size_t index);
  std::set<Address> peers() const;
  ViewChanges apply_update(const Address& peer, const wire::ConfigurationUpdate& update);
  void on_difference_fetched();
  void on_refreshed(const Address& peer, const CallResult& result);

  // Number of control nodes that are polled at the same time.
  static constexpr std::size_t kSlots = 3;

  Runtime& runtime_;
  ClusterView& view_;
  ControlDirectory& directory_;
  OnChange on_change_;
  ConfigurationFetcher fetcher_;
  std::array<Slot, kSlots> slots_;
  std::optional<TimePoint> last_quorum_contact_;
  bool refreshing_ = false;
  std::optional<TimePoint> last_refresh_;
};

}  // namespace winchhall::cluster
