#include "aggregator/app/aggregator_process.hpp"

#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <memory>
#include <stdexcept>
#include <utility>

#include "aggregator/app/statistics_log.hpp"

namespace winchhall::app {
namespace {

constexpr Millis kStatisticsInterval = 10000;  // ms between the log lines with counters

// Blocks the signals that are read from the returned descriptor. Called before all else: an unblocked SIGHUP
// ends the program.
event_loop::UniqueFd open_signal_fd() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return event_loop::UniqueFd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
}

sockaddr_in address(const std::string& text, const char* what) {
  auto a = event_loop::parse_address(text);
  if (!a) throw std::runtime_error(std::string("no address to ") + what + ": '" + text + "'");
  return *a;
}

// `processes` of this aggregator share its descriptors.
http::LeafLimits leaf_limits(const Config& config, bool spans, int processes) {
  http::LeafLimits limits;
  limits.max_parts_per_frame = static_cast<std::size_t>(config.batch);
  limits.max_parts_per_connection = static_cast<std::size_t>(config.streams_per_conn);
  limits.connect_timeout = config.connect_timeout;
  limits.idle_timeout = config.conn_idle;
  limits.max_connections = config.sockets * 2 / 5 / static_cast<std::size_t>(processes);
  limits.spans = spans;
  return limits;
}

// Settings in effect: a folder of files reports changes by itself, so the endpoint list needs no requests.
winchhall::Settings settings_of(const Config& config) {
  winchhall::Settings s = config.settings;
  if (config.ops.files.enabled) s.list_on_request = s.list_watched = false;
  if (config.discovery.empty()) s.list_watched = false;  // no source: the list is static
  s.weights_count = config.ops.files.enabled;
  return s;
}

// Reloads the configuration; false, with the old one kept, if the file can't be used.
bool reload(ConfigFile& file, http::Discovery* discovery) {
  try {
    file.reload();
    if (discovery) discovery->move(file.config().discovery);
    spdlog::info("configuration read again: discovery at {}, {} classes of query",
                 discovery ? file.config().discovery : "none (files)", file.config().settings.classes.size());
    return true;
  } catch (const std::exception& error) {
    // An incomplete or invalid file must not end a running aggregator.
    spdlog::error("configuration not taken over, the old one stays: {}", error.what());
    return false;
  }
}

// Executes a command of the admin port.
admin::Reply handle_command(Lifecycle& lifecycle, admin::Command call, Millis now) {
  if (call == admin::Command::ready) return {lifecycle.admits(), lifecycle.name()};
  Lifecycle::Result r =
      lifecycle.give(call == admin::Command::drain ? LifecycleEvent::drain : LifecycleEvent::resume, now);
  if (r.changed) spdlog::info("phase {}, by the operators' door: {}", lifecycle.name(), r.message);
  return {r.taken, r.message};
}

// Tells the lifecycle which other processes of this name are live.
void update_lifecycle(Lifecycle& lifecycle, const hot_restart::ProcessRegistry& process_registry,
                      Millis now) {
  Phase before = lifecycle.phase();
  lifecycle.give(LifecycleEvent::alone, now);
  if (process_registry.predecessor(now)) lifecycle.give(LifecycleEvent::predecessor, now);
  if (process_registry.successor(now)) lifecycle.give(LifecycleEvent::successor, now);
  if (lifecycle.phase() != before)
    spdlog::info("phase {}, {} other processes", lifecycle.name(), process_registry.others(now));
}

// Starts to listen. If other processes of this name listen as well, new connections are steered to this one.
void open_to_clients(http::HttpServer& front, SiblingProcesses* siblings, Millis now) {
  front.listen();
  spdlog::info("listens on port {}", front.port());
  int others = siblings ? siblings->process_registry().listening(now) : 0;
  if (others > 0 && !front.steer_here(others))
    spdlog::warn("the kernel does not steer connections: they come to each process in turn");
  if (others > 0) spdlog::info("clients taken over from {} other processes", others);
  if (siblings) siblings->publish_now();
}

dynamic_config::FileConfigOptions files_options(const FilesConfig& config) {
  dynamic_config::FileConfigOptions o;
  o.folder = config.folder;
  o.store = config.store;
  o.max_file_bytes = config.most_bytes;
  o.bounds.zones = {config.zones.begin(), config.zones.end()};
  o.bounds.cells = config.cells;
  o.limits.max_removed_share = config.drop_share;
  o.limits.drain_time = config.drain_time;
  o.parse_files = read_config_files;
  return o;
}

}  // namespace

AggregatorProcess::AggregatorProcess() : signal_fd_(open_signal_fd()), config_(file_.config()) {
  config_.settings = settings_of(config_);
  if (!config_.known_read) spdlog::warn("the configuration's last list of servers cannot be read");
  if (!config_.control.empty()) find_siblings();
  router_ = std::make_unique<coordination::RequestRouter>(
      hot_restart::share_of(config_.settings, processes_), config_.seed, [this] { return loop_.now(); },
      [](const std::string& line) { spdlog::info("policy: {}", line); });
  create_transport();
  create_list_source();
  settings_transition_ = std::make_unique<coordination::SettingsTransition>(config_.settings);
  handle_signals();
  start_router();
  create_front_ends();
  if (!config_.control.empty()) create_admin_server();
}

// With an admin address, another process of this name may serve beside this one during a hot restart. Its
// endpoint list is used if it is newer than the configured one.
void AggregatorProcess::find_siblings() {
  const char* folder = std::getenv("TMPDIR");
  siblings_ = std::make_unique<SiblingProcesses>(
      loop_, folder ? folder : "", config_.name, [this](hot_restart::State& s) { publish_state(s); },
      [this] { on_siblings_scanned(); });
  const hot_restart::ProcessRegistry& process_registry = siblings_->process_registry();
  processes_ += process_registry.others(loop_.now());
  update_lifecycle(lifecycle_, process_registry, loop_.now());
  if (const hot_restart::State* state = process_registry.latest_list();
      state && state->revision > config_.known_revision) {
    config_.known = state->members;
    config_.known_revision = state->revision;
    spdlog::info("list of process {}: revision {}, {} servers", state->id.text(), state->revision,
                 state->members.size());
  }
}

// The decisions are the same for every protocol; an operator's file states which one the servers speak.
void AggregatorProcess::create_transport() {
  const http::LeafLimits limits = leaf_limits(config_, uses_spans(), processes_);
  if (config_.ops.flight.enabled && config_.ops.flight.nodes)
    nodes_ = std::make_unique<flight::FlightPool>(
        loop_, *router_,
        flight::NodeLimits{limits.max_parts_per_connection, limits.connect_timeout, limits.idle_timeout,
                           limits.max_connections});
  else
    leafs_ = std::make_unique<http::LeafPool>(loop_, *router_, limits);
}

void AggregatorProcess::create_list_source() {
  if (config_.ops.files.enabled)
    files_ =
        std::make_unique<dynamic_config::FileConfigSource>(loop_, *router_, files_options(config_.ops.files));
  else
    discovery_ = std::make_unique<http::Discovery>(loop_, *router_, config_.discovery, config_.known_revision,
                                                   config_.connect_timeout);
}

// SIGHUP reloads the configuration; SIGTERM and SIGINT start the shutdown.
void AggregatorProcess::handle_signals() {
  loop_.add(signal_fd_.get(), POLLIN, [this](short) {
    signalfd_siginfo info;
    while (read(signal_fd_.get(), &info, sizeof info) == sizeof info) {
      if (info.ssi_signo == SIGHUP) {
        configuration_reloaded_ |= reload(file_, discovery_.get());
        continue;
      }
      if (lifecycle_.give(LifecycleEvent::terminate, loop_.now()).changed)
        spdlog::info("phase {}", lifecycle_.name());
    }
  });
}

void AggregatorProcess::start_router() {
  if (config_.ops.ranges.enabled)
    directory_ = std::make_unique<http::RangeDirectory>(
        loop_, *router_, config_.ops.ranges.directory,
        http::RangeDirectory::Limits{config_.ops.ranges.most, config_.ops.ranges.connect_timeout},
        config_.seed);
  coordination::Transport& transport = nodes_ ? static_cast<coordination::Transport&>(*nodes_) : *leafs_;
  coordination::MembershipSource& members =
      files_ ? static_cast<coordination::MembershipSource&>(*files_) : *discovery_;
  coordination::RangeSource* maps =
      files_ ? static_cast<coordination::RangeSource*>(files_.get()) : directory_.get();
  router_->attach(transport, members, maps);
  router_->start(config_.known);
  if (directory_) directory_->start();
  if (files_) files_->start();
}

void AggregatorProcess::create_front_ends() {
  const http::DecodeContext names{router_->settings(), config_.shards, uses_spans()};
  const sockaddr_in listen = address(config_.listen, "listen on");
  auto admits = [this] { return lifecycle_.admits(); };
  // Beside other processes it listens only once it can serve.
  front_ = siblings_ ? std::make_unique<http::HttpServer>(loop_, *router_, listen, names, client_capacity(),
                                                          admits, http::HttpServer::Shared{})
                     : std::make_unique<http::HttpServer>(loop_, *router_, listen, names, client_capacity(),
                                                          admits);
  if (config_.ops.flight.enabled) {
    analysts_ = std::make_unique<flight::FlightServer>(
        loop_, *router_, address(config_.ops.flight.listen, "listen on"),
        flight::FlightServerOptions{config_.shards, config_.seed, config_.sockets / 10, uses_spans(),
                                    siblings_ != nullptr});
    spdlog::info("Flight on port {} of {}, nodes over {}", analysts_->port(), config_.ops.flight.listen,
                 nodes_ ? "Flight" : "frames");
  }
  if (front_->is_listening())
    spdlog::info("{} listens on port {} of {}, {} servers known", config_.name, front_->port(),
                 config_.listen, config_.known.size());
  else
    spdlog::info("{} does not listen yet, {} servers known, {} other processes", config_.name,
                 config_.known.size(), processes_ - 1);
}

void AggregatorProcess::create_admin_server() {
  admin_server_ = std::make_unique<admin::AdminServer>(
      loop_, address(config_.control, "open the operators' door at"),
      [this](admin::Command call) { return handle_command(lifecycle_, call, loop_.now()); });
  spdlog::info("operators' door on port {} of {}", admin_server_->port(), config_.control);
}

void AggregatorProcess::run() {
  statistics_due_at_ = loop_.now() + kStatisticsInterval;
  while (lifecycle_.phase() != Phase::Stopped) {
    wait_for_events();
    apply_settings_changes(loop_.now());
    router_->run();
    Millis now = loop_.now();
    advance_to_ready(now);
    apply_lifecycle_phase(now);
    log_statistics_if_due(now);
  }
  spdlog::info("phase {}", lifecycle_.name());
}

void AggregatorProcess::wait_for_events() {
  Millis now = loop_.now();
  loop_.run_once(std::clamp(std::min(router_->next_due(), settings_transition_->due()) - now, 0.0, 500.0));
}

void AggregatorProcess::apply_settings_changes(Millis now) {
  if (std::exchange(configuration_reloaded_, false)) {
    apply_settings(settings_transition_->begin(settings_of(file_.config()), now));
    spdlog::info("new settings: safe under old and new from now on");
  }
  if (auto settled = settings_transition_->complete_if_due(now)) {
    apply_settings(*settled);
    spdlog::info("new settings: alone from now on");
  }
}

// With ranges, the range map is required as well: a query without one could only be rejected.
void AggregatorProcess::advance_to_ready(Millis now) {
  if (router_->known_servers() > 0 && (!directory_ || !router_->map().empty()) &&
      (!siblings_ || siblings_->process_registry().may_begin(now)) &&
      lifecycle_.give(LifecycleEvent::endpoints_available, now).changed)
    spdlog::info("phase {}", lifecycle_.name());
}

// Opens and closes listeners and connections as the lifecycle's phase requires.
void AggregatorProcess::apply_lifecycle_phase(Millis now) {
  if (lifecycle_.admits() && !front_->is_listening()) open_to_clients(*front_, siblings_.get(), now);
  if (admin_server_) admin_server_->serving(lifecycle_.admits());
  front_->close_after_response(lifecycle_.drains());
  if (lifecycle_.closes_idle(now)) front_->close_idle();
  if (analysts_ && lifecycle_.closes_idle(now) != flight_clients_dismissed_) {
    flight_clients_dismissed_ = !flight_clients_dismissed_;
    flight_clients_dismissed_ ? analysts_->begin_drain() : analysts_->end_drain();
  }
  if (!listeners_closed_ && lifecycle_.closes_listener(now)) {
    front_->stop_listening();
    if (analysts_) analysts_->stop_listening();
    listeners_closed_ = true;
  }
  if (listeners_closed_ && router_->open_queries() == 0 && !front_->busy() &&
      !(analysts_ && analysts_->busy()))
    lifecycle_.give(LifecycleEvent::drained, now);
}

void AggregatorProcess::log_statistics_if_due(Millis now) {
  if (now < statistics_due_at_) return;
  statistics_due_at_ = now + kStatisticsInterval;
  log_query_counters(*router_);
  log_open_work(*router_, front_->connections(), leafs_ ? leafs_->connections() : nodes_->connections());
  if (directory_) log_ranges(*router_, *directory_);
  if (files_) log_files(*files_);
}

// Puts settings into effect everywhere, as this process's share.
void AggregatorProcess::apply_settings(const winchhall::Settings& settings) {
  router_->change_settings(hot_restart::share_of(settings, processes_));
  front_->set_shard_count(file_.config().shards);
  front_->set_max_connections(client_capacity());
  if (leafs_) leafs_->set_limits(leaf_limits(file_.config(), uses_spans(), processes_));
}

// Revision and members must be of the same moment: a successor that got the new revision with the old members
// would never receive the changes in between.
void AggregatorProcess::publish_state(hot_restart::State& state) {
  state.phase = lifecycle_.name();
  state.listens = front_->is_listening();
  state.revision = std::max(router_->list_revision(), discovery_ ? config_.known_revision : 0);
  state.members = router_->members();
}

void AggregatorProcess::on_siblings_scanned() {
  update_lifecycle(lifecycle_, siblings_->process_registry(), loop_.now());
  int live = 1 + siblings_->process_registry().others(loop_.now());
  if (std::exchange(processes_, live) != live) apply_settings(settings_transition_->effective());
}

std::size_t AggregatorProcess::client_capacity() const {
  return config_.sockets * 4 / 10 / static_cast<std::size_t>(processes_);
}

}  // namespace winchhall::app
