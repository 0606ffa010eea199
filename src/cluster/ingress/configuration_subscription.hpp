// Subscription of an ingress to the configuration, by long polls to the agent on the same machine.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_fetcher.hpp"

namespace winchhall::cluster {

// Keeps the newest configuration that the agent has announced. The version never decreases, even if a
// restarted agent announces an older one. Owns the replica of the configuration. Not thread-safe.
class ConfigurationSubscription {
 public:
  using UpdateCallback = std::function<void(const Configuration&)>;

  // `agent`: the agent's RPC listener. `on_update` is called with every newer configuration. The runtime must
  // outlive the subscription.
  ConfigurationSubscription(Runtime& runtime, Address agent, UpdateCallback on_update);

  // Starts polling.
  void start();
  // Null before the first configuration. Valid until the next iteration of the event loop.
  const Configuration* current() const { return replica_.configuration(); }
  // Whether the agent has responded recently, and was in contact with a quorum of the control group at that
  // time.
  bool is_connected() const;

 private:
  void poll();
  void poll_after(Millis delay);
  void on_response(const CallResult& result, TimePoint sent_at);
  // Returns the delay before the next poll.
  Millis process_update(const wire::ConfigurationUpdate& update, TimePoint sent_at);
  // Returns false if the configuration is invalid.
  bool apply(const wire::ConfigurationUpdate& update);
  void on_applied();

  Runtime& runtime_;
  Address agent_;
  UpdateCallback on_update_;
  ConfigurationReplica replica_;
  ConfigurationFetcher fetcher_;
  std::optional<TimePoint> last_response_at_;
  bool agent_has_contact_ = false;
  std::unique_ptr<Timer> poll_timer_;
};

}  // namespace winchhall::cluster
