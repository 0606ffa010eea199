// The serving program: builds the router, its transport, sources and front ends from the configuration and
// runs the event loop until the process has shut down.
#pragma once

#include <memory>

#include "aggregator/admin/admin_server.hpp"
#include "aggregator/app/config.hpp"
#include "aggregator/app/lifecycle.hpp"
#include "aggregator/app/sibling_processes.hpp"
#include "aggregator/coordination/request_router.hpp"
#include "aggregator/coordination/settings_transition.hpp"
#include "aggregator/dynamic_config/file_config_source.hpp"
#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/fd.hpp"
#include "aggregator/flight/flight_pool.hpp"
#include "aggregator/flight/flight_server.hpp"
#include "aggregator/http/http_server.hpp"
#include "aggregator/http/leaf_pool.hpp"
#include "aggregator/http/range_directory.hpp"
#include "aggregator/membership/discovery.hpp"

namespace winchhall::app {

// Owns everything that serves. All of it runs on the thread that calls run(), except the threads that the
// admin server and the file readers own. Members are destroyed in reverse order of construction, and each
// uses only those declared before it; the router keeps pointers to its later transport and sources, but
// doesn't use them when it is destroyed.
class AggregatorProcess {
 public:
  // Reads the configuration, opens the listeners and starts the router. Throws std::runtime_error if the
  // configuration can't be used, std::system_error if an address can't be bound.
  AggregatorProcess();
  AggregatorProcess(const AggregatorProcess&) = delete;
  AggregatorProcess& operator=(const AggregatorProcess&) = delete;

  // Serves until the lifecycle has reached Phase::Stopped.
  void run();

 private:
  // Construction, in this order.
  void find_sibling_processes();
  void create_transport();
  void create_list_source();
  void handle_signals();
  void start_router();
  void create_front_ends();
  void create_admin_server();

  // Steps of one turn of the event loop, in this order.
  void wait_for_events();
  void apply_settings_changes(Millis now);
  void advance_to_ready(Millis now);
  void apply_lifecycle_phase(Millis now);
  void log_statistics_if_due(Millis now);

  void apply_settings(const winchhall::Settings& settings);
  void publish_state(hot_restart::State& state);
  void on_siblings_scanned();
  std::size_t client_capacity() const;
  bool uses_spans() const {
    return config_.operator_settings.ranges.enabled || config_.operator_settings.files.enabled;
  }

  event_loop::UniqueFd signal_fd_;
  ConfigFile config_file_;
  Config config_;  // as of the start; config_file_ has the current values
  Lifecycle lifecycle_;
  event_loop::Loop loop_;
  std::unique_ptr<SiblingProcesses> siblings_;  // null without an admin address
  int process_count_ = 1;                       // live processes of this aggregator, this one included
  std::unique_ptr<coordination::RequestRouter> router_;
  std::unique_ptr<http::LeafPool> leaf_pool_;        // the transport: either this ...
  std::unique_ptr<flight::FlightPool> flight_pool_;  // ... or this
  std::unique_ptr<http::Discovery> discovery_;       // the source of the endpoint list: either this ...
  std::unique_ptr<dynamic_config::FileConfigSource> file_source_;  // ... or this
  std::unique_ptr<coordination::SettingsTransition> settings_transition_;
  bool configuration_reloaded_ = false;
  std::unique_ptr<http::RangeDirectory> range_directory_;  // null unless ranges are enabled
  std::unique_ptr<http::HttpServer> http_server_;
  std::unique_ptr<flight::FlightServer> flight_server_;  // null unless Flight is enabled
  std::unique_ptr<admin::AdminServer> admin_server_;     // null without an admin address
  Millis statistics_due_at_ = 0;
  bool listeners_closed_ = false;
  bool flight_draining_ = false;
};

}  // namespace winchhall::app
