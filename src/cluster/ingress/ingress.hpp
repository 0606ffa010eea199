// HTTP front of an `edge` machine: clients' job requests at `front`, the platform's probes at `ready`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/http/server.hpp"
#include "cluster/ingress/configuration_subscription.hpp"
#include "cluster/ingress/job_gateway.hpp"

namespace winchhall::cluster {

class Ingress {
 public:
  // Of `settings` are used: front, ready, internal ports (agent_listener_address) and the grace period.
  // `runtime` runs on `loop`.
  Ingress(Runtime& runtime, const NodeSettings& settings, boost::asio::io_context& loop);

  // Listens. Throws boost::system::system_error if an address can't be listened on.
  void start();
  // Planned end: not ready at once, served on until the platform has seen it, then drained. `done` is called
  // once nothing is open, or shortly before the grace period ends.
  void shut_down(std::function<void()> done);
  // Ports that are listened on once started.
  unsigned short front_port() const { return front_->port(); }
  unsigned short ready_port() const { return probes_->port(); }
  // Serves the clients; null: not started.
  const HttpServer* front() const { return front_.get(); }
  // True: a probe is answered with 200.
  bool ready() const;
  // False where the settings ask for what isn't built: jobs that would be taken could never run.
  bool accepts_jobs() const { return settings_.commands == CommandMode::heartbeat; }

 private:
  void on_probe(const HttpRequest& request, const HttpReplyCallback& reply) const;
  void stop_serving();
  void watch_drain();
  void give_up();
  void finish();

  Runtime& runtime_;
  NodeSettings settings_;
  boost::asio::io_context& loop_;
  ConfigurationSubscription feed_;
  JobGateway gateway_;
  std::unique_ptr<HttpServer> front_;
  std::unique_ptr<HttpServer> probes_;
  bool shutting_down_ = false;
  TimePoint end_;
  std::function<void()> done_;
  std::unique_ptr<Timer> drain_timer_;
  std::unique_ptr<Timer> give_up_timer_;
};

}  // namespace winchhall::cluster
