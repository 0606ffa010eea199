// Keeps the newest configuration by long polls on the agent of the same machine.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_fetcher.hpp"

namespace winchhall::cluster {

class ConfigurationSubscription {
 public:
  using OnNewer = std::function<void(const Configuration&)>;

  // `agent`: the agent's listener. `on_newer` is called for every newer configuration.
  ConfigurationSubscription(Runtime& runtime, Address agent, OnNewer on_newer);

  void start();
  // Null before the first; its version never goes back. Valid until the event loop's next turn.
  const Configuration* current() const { return replica_.configuration(); }
  // The agent has answered lately and said that it hears the control group.
  bool in_touch() const;

 private:
  void poll();
  void poll_after(Millis pause);
  void on_answer(const CallResult& result, TimePoint sent);
  // How long to wait before the next poll.
  Millis take_update(const wire::ConfigurationUpdate& update, TimePoint sent);
  bool adopt(const wire::ConfigurationUpdate& update);
  void on_taken();

  Runtime& runtime_;
  Address agent_;
  OnNewer on_newer_;
  ConfigurationReplica replica_;
  ConfigurationFetcher fetcher_;
  std::optional<TimePoint> last_answer_;
  bool agent_in_touch_ = false;
  std::unique_ptr<Timer> timer_;
};

}  // namespace winchhall::cluster
