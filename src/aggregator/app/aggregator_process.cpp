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

// Blocks the signals that are read from the returned descriptor. Called first: an unblocked SIGHUP would end
// the program.
event_loop::UniqueFd open_signal_fd() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return event_loop::UniqueFd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
}

sockaddr_in require_address(const std::string& text, const char* purpose) {
  auto address = event_loop::parse_address(text);
  if (!address) throw std::runtime_error(std::string("no address to ") + purpose + ": '" + text + "'");
  return *address;
}

// `processes` of this aggregator share its descriptors.
http::LeafLimits leaf_limits(const Config& config, bool spans, int processes) {
  http::LeafLimits limits;
  limits.max_parts_per_frame = static_cast<std::size_t>(config.max_parts_per_frame);
  limits.max_parts_per_connection = static_cast<std::size_t>(config.max_parts_per_connection);
  limits.connect_timeout = config.connect_timeout;
  limits.idle_timeout = config.idle_timeout;
  limits.max_connections = config.max_sockets * 2 / 5 / static_cast<std::size_t>(processes);
  limits.spans = spans;
  return limits;
}

// Settings in effect: a folder of files reports changes by itself, so the endpoint list needs no requests.
winchhall::Settings effective_settings(const Config& config) {
  winchhall::Settings s = config.settings;
  if (config.operator_settings.files.enabled) s.list_on_request = s.list_watched = false;
  if (config.discovery.empty()) s.list_watched = false;  // no source: the list is static
  s.weights_count = config.operator_settings.files.enabled;
  return s;
}

// Reloads the configuration; false, with the old one kept, if the file can't be used.
bool reload(ConfigFile& file, http::Discovery* discovery) {
  try {
    file.reload();
    if (discovery) discovery->move(file.config().discovery);
    spdlog::info("configuration reloaded: discovery at {}, {} query classes",
                 discovery ? file.config().discovery : "none (files)", file.config().settings.classes.size());
    return true;
  } catch (const std::exception& error) {
    // An incomplete or invalid file must not end a running aggregator.
    spdlog::error("configuration rejected, the current one stays in effect: {}", error.what());
    return false;
  }
}

// Executes a command of the admin port.
admin::Reply handle_command(Lifecycle& lifecycle, admin::Command command, Millis now) {
  if (command == admin::Command::ready) return {lifecycle.is_ready(), lifecycle.name()};
  Lifecycle::Result r = lifecycle.handle(
      command == admin::Command::drain ? LifecycleEvent::drain : LifecycleEvent::resume, now);
  if (r.changed) spdlog::info("phase {}, by admin command: {}", lifecycle.name(), r.message);
  return {r.accepted, r.message};
}

// Tells the lifecycle which other processes of this name are live.
void update_lifecycle(Lifecycle& lifecycle, const hot_restart::ProcessRegistry& process_registry,
                      Millis now) {
  Phase before = lifecycle.phase();
  lifecycle.handle(LifecycleEvent::no_siblings, now);
  if (process_registry.has_predecessor(now)) lifecycle.handle(LifecycleEvent::predecessor, now);
  if (process_registry.has_successor(now)) lifecycle.handle(LifecycleEvent::successor, now);
  if (lifecycle.phase() != before)
    spdlog::info("phase {}, {} other processes", lifecycle.name(), process_registry.other_count(now));
}

// Starts to listen. If other processes of this name listen as well, new connections are steered to this one.
void start_listening(http::HttpServer& server, SiblingProcesses* siblings, Millis now) {
  server.listen();
  spdlog::info("listens on port {}", server.port());
  int others = siblings ? siblings->process_registry().listening_count(now) : 0;
  if (others > 0 && !server.steer_here(others))
    spdlog::warn(
        "cannot steer new connections to this process: the kernel distributes them over all processes of the "
        "port");
  if (others > 0) spdlog::info("takes over clients of {} other processes on the port", others);
  if (siblings) siblings->publish_now();
}

dynamic_config::FileConfigOptions files_options(const FilesConfig& config) {
  dynamic_config::FileConfigOptions o;
  o.folder = config.folder;
  o.store = config.store;
  o.max_file_bytes = config.max_file_bytes;
  o.bounds.zones = {config.zones.begin(), config.zones.end()};
  o.bounds.cells = config.cell_count;
  o.limits.max_removed_share = config.max_removed_share;
  o.limits.drain_time = config.drain_time;
  o.parse_files = read_config_files;
  return o;
}

}  // namespace

AggregatorProcess::AggregatorProcess() : signal_fd_(open_signal_fd()), config_(config_file_.config()) {
  config_.settings = effective_settings(config_);
  if (!config_.initial_list_valid)
    spdlog::warn("configuration: 'known' is not a valid server list and is ignored");
  if (!config_.admin_address.empty()) find_sibling_processes();
  router_ = std::make_unique<coordination::RequestRouter>(
      hot_restart::share_of(config_.settings, process_count_), config_.seed, [this] { return loop_.now(); },
      [](const std::string& line) { spdlog::info("policy: {}", line); });
  create_transport();
  create_list_source();
  settings_transition_ = std::make_unique<coordination::SettingsTransition>(config_.settings);
  handle_signals();
  start_router();
  create_front_ends();
  if (!config_.admin_address.empty()) create_admin_server();
}

// With an admin address, another process of this name may serve beside this one during a hot restart. Its
// endpoint list is used if it is newer than the configured one.
void AggregatorProcess::find_sibling_processes() {
  const char* folder = std::getenv("TMPDIR");
  siblings_ = std::make_unique<SiblingProcesses>(
      loop_, folder ? folder : "", config_.name, [this](hot_restart::State& s) { publish_state(s); },
      [this] { on_siblings_scanned(); });
  const hot_restart::ProcessRegistry& process_registry = siblings_->process_registry();
  process_count_ += process_registry.other_count(loop_.now());
  update_lifecycle(lifecycle_, process_registry, loop_.now());
  if (const hot_restart::State* state = process_registry.latest_list();
      state && state->revision > config_.initial_list_revision) {
    config_.initial_members = state->members;
    config_.initial_list_revision = state->revision;
    spdlog::info("server list taken from process {}: revision {}, {} servers", state->id.text(),
                 state->revision, state->members.size());
  }
}

// The decisions are the same for every protocol; an operator's file states which one the servers speak.
void AggregatorProcess::create_transport() {
  const http::LeafLimits limits = leaf_limits(config_, uses_spans(), process_count_);
  if (config_.operator_settings.flight.enabled && config_.operator_settings.flight.use_for_nodes)
    flight_pool_ = std::make_unique<flight::FlightPool>(
        loop_, *router_,
        flight::NodeLimits{limits.max_parts_per_connection, limits.connect_timeout, limits.idle_timeout,
                           limits.max_connections});
  else
    leaf_pool_ = std::make_unique<http::LeafPool>(loop_, *router_, limits);
}

void AggregatorProcess::create_list_source() {
  if (config_.operator_settings.files.enabled)
    file_source_ = std::make_unique<dynamic_config::FileConfigSource>(
        loop_, *router_, files_options(config_.operator_settings.files));
  else
    discovery_ = std::make_unique<http::Discovery>(loop_, *router_, config_.discovery,
                                                   config_.initial_list_revision, config_.connect_timeout);
}

// SIGHUP reloads the configuration; SIGTERM and SIGINT start the shutdown.
void AggregatorProcess::handle_signals() {
  loop_.add(signal_fd_.get(), POLLIN, [this](short) {
    signalfd_siginfo info;
    while (read(signal_fd_.get(), &info, sizeof info) == sizeof info) {
      if (info.ssi_signo == SIGHUP) {
        configuration_reloaded_ |= reload(config_file_, discovery_.get());
        continue;
      }
      if (lifecycle_.handle(LifecycleEvent::terminate, loop_.now()).changed)
        spdlog::info("phase {}", lifecycle_.name());
    }
  });
}

void AggregatorProcess::start_router() {
  if (config_.operator_settings.ranges.enabled)
    range_directory_ = std::make_unique<http::RangeDirectory>(
        loop_, *router_, config_.operator_settings.ranges.directory,
        http::RangeDirectory::Limits{config_.operator_settings.ranges.max_ranges,
                                     config_.operator_settings.ranges.connect_timeout},
        config_.seed);
  coordination::Transport& transport =
      flight_pool_ ? static_cast<coordination::Transport&>(*flight_pool_) : *leaf_pool_;
  coordination::MembershipSource& members =
      file_source_ ? static_cast<coordination::MembershipSource&>(*file_source_) : *discovery_;
  coordination::RangeSource* maps =
      file_source_ ? static_cast<coordination::RangeSource*>(file_source_.get()) : range_directory_.get();
  router_->attach(transport, members, maps);
  router_->start(config_.initial_members);
  if (range_directory_) range_directory_->start();
  if (file_source_) file_source_->start();
}

void AggregatorProcess::create_front_ends() {
  const http::DecodeContext context{router_->settings(), config_.shard_count, uses_spans()};
  const sockaddr_in listen = require_address(config_.listen, "listen on");
  auto is_ready = [this] { return lifecycle_.is_ready(); };
  // Beside other processes it listens only once it can serve.
  http_server_ =
      siblings_
          ? std::make_unique<http::HttpServer>(loop_, *router_, listen, context, client_capacity(), is_ready,
                                               http::HttpServer::Shared{})
          : std::make_unique<http::HttpServer>(loop_, *router_, listen, context, client_capacity(), is_ready);
  if (config_.operator_settings.flight.enabled) {
    flight_server_ = std::make_unique<flight::FlightServer>(
        loop_, *router_, require_address(config_.operator_settings.flight.listen, "listen on"),
        flight::FlightServerOptions{config_.shard_count, config_.seed, config_.max_sockets / 10, uses_spans(),
                                    siblings_ != nullptr});
    spdlog::info("Flight on port {} of {}, nodes over {}", flight_server_->port(),
                 config_.operator_settings.flight.listen, flight_pool_ ? "Flight" : "frames");
  }
  if (http_server_->is_listening())
    spdlog::info("{} listens on port {} of {}, {} servers known", config_.name, http_server_->port(),
                 config_.listen, config_.initial_members.size());
  else
    spdlog::info("{} does not listen yet, {} servers known, {} other processes", config_.name,
                 config_.initial_members.size(), process_count_ - 1);
}

void AggregatorProcess::create_admin_server() {
  admin_server_ = std::make_unique<admin::AdminServer>(
      loop_, require_address(config_.admin_address, "open the operators' door at"),
      [this](admin::Command command) { return handle_command(lifecycle_, command, loop_.now()); });
  spdlog::info("operators' door on port {} of {}", admin_server_->port(), config_.admin_address);
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
    apply_settings(settings_transition_->begin(effective_settings(config_file_.config()), now));
    spdlog::info("settings change: the stricter of old and new settings apply during the transition");
  }
  if (auto settled = settings_transition_->complete_if_due(now)) {
    apply_settings(*settled);
    spdlog::info("settings change: the new settings apply");
  }
}

// With ranges, the range map is required as well: a query without one could only be rejected.
void AggregatorProcess::advance_to_ready(Millis now) {
  if (router_->known_servers() > 0 && (!range_directory_ || !router_->map().empty()) &&
      (!siblings_ || siblings_->process_registry().may_serve(now)) &&
      lifecycle_.handle(LifecycleEvent::endpoints_available, now).changed)
    spdlog::info("phase {}", lifecycle_.name());
}

// Opens and closes listeners and connections as the lifecycle's phase requires.
void AggregatorProcess::apply_lifecycle_phase(Millis now) {
  if (lifecycle_.is_ready() && !http_server_->is_listening())
    start_listening(*http_server_, siblings_.get(), now);
  if (admin_server_) admin_server_->serving(lifecycle_.is_ready());
  http_server_->close_after_response(lifecycle_.is_draining());
  if (lifecycle_.closes_idle_connections(now)) http_server_->close_idle();
  if (flight_server_ && lifecycle_.closes_idle_connections(now) != flight_draining_) {
    flight_draining_ = !flight_draining_;
    flight_draining_ ? flight_server_->begin_drain() : flight_server_->end_drain();
  }
  if (!listeners_closed_ && lifecycle_.closes_listener(now)) {
    http_server_->stop_listening();
    if (flight_server_) flight_server_->stop_listening();
    listeners_closed_ = true;
  }
  if (listeners_closed_ && router_->open_queries() == 0 && !http_server_->busy() &&
      !(flight_server_ && flight_server_->busy()))
    lifecycle_.handle(LifecycleEvent::drained, now);
}

void AggregatorProcess::log_statistics_if_due(Millis now) {
  if (now < statistics_due_at_) return;
  statistics_due_at_ = now + kStatisticsInterval;
  log_query_counters(*router_);
  log_open_work(*router_, http_server_->connections(),
                leaf_pool_ ? leaf_pool_->connections() : flight_pool_->connections());
  if (range_directory_) log_ranges(*router_, *range_directory_);
  if (file_source_) log_files(*file_source_);
}

// Puts settings into effect everywhere, as this process's share.
void AggregatorProcess::apply_settings(const winchhall::Settings& settings) {
  router_->change_settings(hot_restart::share_of(settings, process_count_));
  http_server_->set_shard_count(config_file_.config().shard_count);
  http_server_->set_max_connections(client_capacity());
  if (leaf_pool_) leaf_pool_->set_limits(leaf_limits(config_file_.config(), uses_spans(), process_count_));
}

// Revision and members must be of the same moment: a successor that got the new revision with the old members
// would never receive the changes in between.
void AggregatorProcess::publish_state(hot_restart::State& state) {
  state.phase = lifecycle_.name();
  state.listens = http_server_->is_listening();
  state.revision = std::max(router_->list_revision(), discovery_ ? config_.initial_list_revision : 0);
  state.members = router_->members();
}

void AggregatorProcess::on_siblings_scanned() {
  update_lifecycle(lifecycle_, siblings_->process_registry(), loop_.now());
  int live = 1 + siblings_->process_registry().other_count(loop_.now());
  if (std::exchange(process_count_, live) != live) apply_settings(settings_transition_->effective());
}

std::size_t AggregatorProcess::client_capacity() const {
  return config_.max_sockets * 4 / 10 / static_cast<std::size_t>(process_count_);
}

}  // namespace winchhall::app
