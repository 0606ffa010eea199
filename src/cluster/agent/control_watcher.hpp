// Long-polls several control nodes at once for the newest version of the configuration and the leaders,
// replaces those that fail, and fetches a newer configuration from one of them.
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

class ControlWatcher {
 public:
  using OnChange = std::function<void(const ViewChanges&)>;

  // `on_change` is called after each update that has changed the view.
  ControlWatcher(Runtime& runtime, ClusterView& view, ControlDirectory& directory, OnChange on_change);

  void start();
  // Asks another control node than `failed` at once for the leaders, unless that is under way or was done
  // just now.
  void refresh(const Address& failed);
  // A control node that hears a majority of its group has answered lately.
  bool in_touch() const;

 private:
  // A poll under way on one control node.
  struct Slot {
    Address peer;  // empty: none chosen
    std::uint64_t leaders_digest = 0;
    TimePoint sent;
    std::unique_ptr<Timer> timer;
  };

  void assign_peer(std::size_t number);
  void poll(std::size_t number);
  void poll_later(std::size_t number, Millis pause);
  void on_answer(std::size_t number, const CallResult& result);
  void replace_peer(std::size_t number);
  std::set<Address> peers() const;
  ViewChanges apply_update(const Address& peer, const wire::ConfigurationUpdate& update);
  // A difference was fetched and taken.
  void on_fetched();
  void on_refreshed(const Address& peer, const CallResult& result);

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
