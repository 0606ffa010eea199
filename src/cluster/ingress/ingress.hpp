// Ingress of an `edge` machine: the HTTP server for clients' job requests and the one for readiness probes.
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

// Serves job requests and readiness probes of one process. Owns both HTTP servers, the subscription to the
// configuration and the job gateway. Runs on one event loop; not thread-safe.
class Ingress {
 public:
  // Uses these settings: front, ready, the internal ports (agent_listener_address), commands and the grace
  // period. `runtime` runs on `loop`; both must outlive the ingress.
  Ingress(Runtime& runtime, const NodeSettings& settings, boost::asio::io_context& loop);

  // Starts listening. Throws boost::system::system_error if it cannot listen on an address.
  void start();

  // Graceful shutdown. Readiness fails at once, requests are served until the platform has noticed, then the
  // connections are drained. `done` is called once no connection and no call is open, or shortly before the
  // grace period ends. Further calls have no effect.
  void shut_down(std::function<void()> done);

  // Ports that are listened on, after `start`.
  unsigned short front_port() const { return front_->port(); }
  unsigned short ready_port() const { return probes_->port(); }
  // The clients' server; null before `start`.
  const HttpServer* front() const { return front_.get(); }

  // Whether readiness probes are answered with 200.
  bool ready() const;
  // False if the settings require a command mode that is not implemented: accepted jobs could never run.
  bool accepts_jobs() const { return settings_.commands == CommandMode::heartbeat; }

 private:
  void on_probe(const HttpRequest& request, const HttpReplyCallback& reply) const;
  void start_drain();
  // Finishes the shutdown once no connection and no call is open or the deadline is reached; else checks
  // again later.
  void check_drained();
  void finish();

  Runtime& runtime_;
  NodeSettings settings_;
  boost::asio::io_context& loop_;
  ConfigurationSubscription subscription_;
  JobGateway gateway_;
  std::unique_ptr<HttpServer> front_;
  std::unique_ptr<HttpServer> probes_;
  bool shutting_down_ = false;
  TimePoint shutdown_deadline_;
  std::function<void()> done_;
  std::unique_ptr<Timer> drain_timer_;
  std::unique_ptr<Timer> fail_pending_timer_;
};

}  // namespace winchhall::cluster
