#include "aggregator/app/serve.hpp"

#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <memory>
#include <stdexcept>

#include "aggregator/admin/admin_server.hpp"
#include "aggregator/app/lifecycle.hpp"
#include "aggregator/app/sibling_processes.hpp"
#include "aggregator/coordination/request_router.hpp"
#include "aggregator/coordination/settings_transition.hpp"
#include "aggregator/dynamic_config/file_config_source.hpp"
#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/flight/flight_pool.hpp"
#include "aggregator/flight/flight_server.hpp"
#include "aggregator/http/http_server.hpp"
#include "aggregator/http/leaf_pool.hpp"
#include "aggregator/http/range_directory.hpp"
#include "aggregator/membership/discovery.hpp"

namespace winchhall::app {
namespace {

// The largest resident size of the process so far, in KiB (getrusage(2), ru_maxrss); -1 where it is not told.
long peak_resident_kib() {
  rusage usage{};
  return getrusage(RUSAGE_SELF, &usage) == 0 ? usage.ru_maxrss : -1;
}

sockaddr_in address(const std::string& text, const char* what) {
  auto a = event_loop::parse_address(text);
  if (!a) throw std::runtime_error(std::string("no address to ") + what + ": '" + text + "'");
  return *a;
}

// `processes` of this aggregator have its descriptors together.
http::LeafLimits leaf_limits(const Config& config, bool spans, int processes) {
  http::LeafLimits limits;
  limits.batch = static_cast<std::size_t>(config.batch);
  limits.streams = static_cast<std::size_t>(config.streams_per_conn);
  limits.connect_timeout = config.connect_timeout;
  limits.idle = config.conn_idle;
  limits.connections = config.sockets * 2 / 5 / static_cast<std::size_t>(processes);
  limits.spans = spans;
  return limits;
}

// Files tell of themselves; nobody has to be asked for the list.
winchhall::Settings settings_of(const Config& config) {
  winchhall::Settings s = config.settings;
  if (config.ops.files.enabled) s.list_on_request = s.list_watched = false;
  if (config.discovery.empty()) s.list_watched = false;  // pushed by nobody: the list is what it is
  s.weights_count = config.ops.files.enabled;
  return s;
}

// False where nothing was taken over.
bool reload(ConfigFile& file, http::Discovery* discovery) {
  try {
    file.reload();
    if (discovery) discovery->move(file.config().discovery);
    spdlog::info("configuration read again: discovery at {}, {} classes of query",
                 discovery ? file.config().discovery : "none (files)", file.config().settings.classes.size());
    return true;
  } catch (const std::exception& error) {
    // Guards against a file that is half there, or spoilt: an aggregator that runs is never ended by it.
    spdlog::error("configuration not taken over, the old one stays: {}", error.what());
    return false;
  }
}

// The door's calls as orders to the phases.
admin::Reply handle_command(Lifecycle& lifecycle, admin::Command call, Millis now) {
  if (call == admin::Command::ready) return {lifecycle.admits(), lifecycle.name()};
  Lifecycle::Result r =
      lifecycle.give(call == admin::Command::drain ? LifecycleEvent::drain : LifecycleEvent::resume, now);
  if (r.changed) spdlog::info("phase {}, by the operators' door: {}", lifecycle.name(), r.message);
  return {r.taken, r.message};
}

// The phases, told which other processes of this name there are.
void meet(Lifecycle& lifecycle, const hot_restart::ProcessRegistry& process_registry, Millis now) {
  Phase before = lifecycle.phase();
  lifecycle.give(LifecycleEvent::alone, now);
  if (process_registry.predecessor(now)) lifecycle.give(LifecycleEvent::predecessor, now);
  if (process_registry.successor(now)) lifecycle.give(LifecycleEvent::successor, now);
  if (lifecycle.phase() != before)
    spdlog::info("phase {}, {} other processes", lifecycle.name(), process_registry.others(now));
}

// New connections come here from now on, where another process of this name listens as well.
void open_to_clients(http::HttpServer& front, SiblingProcesses* siblings, Millis now) {
  front.listen();
  spdlog::info("listens on port {}", front.port());
  int others = siblings ? siblings->process_registry().listening(now) : 0;
  if (others > 0 && !front.steer_here(others))
    spdlog::warn("the kernel does not steer connections: they come to each process in turn");
  if (others > 0) spdlog::info("clients taken over from {} other processes", others);
  if (siblings) siblings->publish_now();
}

void log_ranges(const coordination::RequestRouter& router, const http::RangeDirectory& directory) {
  const auto& moves = router.moves();
  const auto& asked = directory.figures();
  spdlog::info(
      "ranges: revision {} of {} ranges; parts replaced {} joined {} elsewhere {} held back {} denied {} "
      "dropped {}; directory asked {} taken {} refused {} broken {}",
      ranges::text_of(router.map().revision()), router.map().size(), moves.replaced, moves.joined,
      moves.elsewhere, moves.on_hold, moves.denied, moves.dropped, asked.asked, asked.taken, asked.refused,
      asked.broken);
}

dynamic_config::FileConfigOptions files_options(const FilesConfig& config) {
  dynamic_config::FileConfigOptions o;
  o.folder = config.folder;
  o.store = config.store;
  o.most_bytes = config.most_bytes;
  o.bounds.zones = {config.zones.begin(), config.zones.end()};
  o.bounds.cells = config.cells;
  o.limits.drop_share = config.drop_share;
  o.limits.drain_time = config.drain_time;
  o.read = read_set;
  return o;
}

void log_files(dynamic_config::FileConfigSource& files) {
  const auto& f = files.figures();
  spdlog::info(
      "files: number {} generation {}; looks {} taken {} refused {} held {} disturbed {} kept {} not kept {}",
      files.generation_manager().number(),
      files.generation_manager().current()
          ? dynamic_config::digest_text(files.generation_manager().current()->digest)
          : "none",
      f.scans, f.taken, f.refused, f.held, f.disturbed, f.stored, f.not_stored);
}

}  // namespace

void serve() {
  // Before all else: a SIGHUP that finds no handler ends the program.
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  event_loop::UniqueFd signal_fd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  ConfigFile file;
  Config config = file.config();
  config.settings = settings_of(config);
  if (!config.known_read) spdlog::warn("the configuration's last list of servers cannot be read");
  Lifecycle lifecycle;
  event_loop::Loop loop;

  // Where operators have a door, another process of this name may serve beside this one for a while.
  std::function<void(hot_restart::State&)> fill;
  std::function<void()> met;
  std::unique_ptr<SiblingProcesses> siblings;
  int processes = 1;
  if (!config.control.empty()) {
    const char* folder = std::getenv("TMPDIR");
    siblings = std::make_unique<SiblingProcesses>(
        loop, folder ? folder : "", config.name, [&](hot_restart::State& s) { fill(s); }, [&] { met(); });
    const hot_restart::ProcessRegistry& process_registry = siblings->process_registry();
    processes += process_registry.others(loop.now());
    meet(lifecycle, process_registry, loop.now());
    if (const hot_restart::State* state = process_registry.latest_list();
        state && state->revision > config.known_revision) {
      config.known = state->members;
      config.known_revision = state->revision;
      spdlog::info("list of process {}: revision {}, {} servers", state->id.text(), state->revision,
                   state->members.size());
    }
  }

  coordination::RequestRouter router(
      hot_restart::share_of(config.settings, processes), config.seed, [&] { return loop.now(); },
      [](const std::string& line) { spdlog::info("policy: {}", line); });
  // One set of decisions, whatever wire the nodes speak: an operator's file says which.
  std::unique_ptr<http::LeafPool> leafs;
  std::unique_ptr<flight::FlightPool> nodes;
  const FlightConfig& flight_config = config.ops.flight;
  const FilesConfig& files_config = config.ops.files;
  const bool spans = config.ops.ranges.enabled || files_config.enabled;
  const http::LeafLimits limits = leaf_limits(config, spans, processes);
  if (flight_config.enabled && flight_config.nodes)
    nodes = std::make_unique<flight::FlightPool>(
        loop, router,
        flight::NodeLimits{limits.streams, limits.connect_timeout, limits.idle, limits.connections});
  else
    leafs = std::make_unique<http::LeafPool>(loop, router, limits);
  coordination::Transport& transport = nodes ? static_cast<coordination::Transport&>(*nodes) : *leafs;
  // Who tells the nodes: discovery, or a folder of files.
  std::unique_ptr<http::Discovery> discovery;
  std::unique_ptr<dynamic_config::FileConfigSource> files;
  if (files_config.enabled)
    files = std::make_unique<dynamic_config::FileConfigSource>(loop, router, files_options(files_config));
  else
    discovery = std::make_unique<http::Discovery>(loop, router, config.discovery, config.known_revision,
                                                  config.connect_timeout);
  coordination::SettingsTransition settings_transition(config.settings);
  bool retuned = false;
  loop.add(signal_fd.get(), POLLIN, [&](short) {
    signalfd_siginfo info;
    while (read(signal_fd.get(), &info, sizeof info) == sizeof info) {
      if (info.ssi_signo == SIGHUP) {
        retuned |= reload(file, discovery.get());
        continue;
      }
      if (lifecycle.give(LifecycleEvent::terminate, loop.now()).changed)
        spdlog::info("phase {}", lifecycle.name());
    }
  });
  std::unique_ptr<http::RangeDirectory> directory;
  if (config.ops.ranges.enabled)
    directory = std::make_unique<http::RangeDirectory>(
        loop, router, config.ops.ranges.directory,
        http::RangeDirectory::Limits{config.ops.ranges.most, config.ops.ranges.connect_timeout}, config.seed);
  coordination::MembershipSource& members =
      files ? static_cast<coordination::MembershipSource&>(*files) : *discovery;
  coordination::RangeSource* maps =
      files ? static_cast<coordination::RangeSource*>(files.get()) : directory.get();
  router.attach(transport, members, maps);
  router.start(config.known);
  if (directory) directory->start();
  if (files) files->start();
  const http::ClientNames names{router.settings(), config.shards, spans};
  const sockaddr_in listen = address(config.listen, "listen on");
  auto admits = [&] { return lifecycle.admits(); };
  auto client_capacity = [&] { return config.sockets * 4 / 10 / static_cast<std::size_t>(processes); };
  auto fronts =
      siblings ? std::make_unique<http::HttpServer>(loop, router, listen, names, client_capacity(), admits,
                                                    http::HttpServer::Shared{})
               : std::make_unique<http::HttpServer>(loop, router, listen, names, client_capacity(), admits);
  http::HttpServer& front = *fronts;
  std::unique_ptr<flight::FlightServer> analysts;
  if (flight_config.enabled) {
    analysts = std::make_unique<flight::FlightServer>(
        loop, router, address(flight_config.listen, "listen on"), config.shards, config.seed,
        config.sockets / 10, spans, siblings != nullptr);
    spdlog::info("Flight on port {} of {}, nodes over {}", analysts->port(), flight_config.listen,
                 nodes ? "Flight" : "frames");
  }
  // Beside others of its name it listens once it can serve: what it takes it must be able to answer.
  if (front.listens())
    spdlog::info("{} listens on port {} of {}, {} servers known", config.name, front.port(), config.listen,
                 config.known.size());
  else
    spdlog::info("{} does not listen yet, {} servers known, {} other processes", config.name,
                 config.known.size(), processes - 1);

  std::unique_ptr<admin::AdminServer> admin_server;
  if (!config.control.empty()) {
    admin_server = std::make_unique<admin::AdminServer>(
        loop, address(config.control, "open the operators' door at"),
        [&](admin::Command call) { return handle_command(lifecycle, call, loop.now()); });
    spdlog::info("operators' door on port {} of {}", admin_server->port(), config.control);
  }

  // What acts from now on, in all that goes by settings.
  auto act_by = [&](const winchhall::Settings& settings) {
    router.change_settings(hot_restart::share_of(settings, processes));
    front.shards(file.config().shards);
    front.capacity(client_capacity());
    if (leafs) leafs->limit(leaf_limits(file.config(), spans, processes));
  };
  fill = [&](hot_restart::State& s) {
    s.phase = lifecycle.name();
    s.listens = front.listens();
    // Of one moment: under a revision with the members of the one before, whoever takes over would never hear
    // of what changed between.
    s.revision = std::max(router.list_revision(), discovery ? config.known_revision : 0);
    s.members = router.members();
  };
  met = [&] {
    meet(lifecycle, siblings->process_registry(), loop.now());
    int now_here = 1 + siblings->process_registry().others(loop.now());
    if (std::exchange(processes, now_here) != now_here) act_by(settings_transition.acting());
  };
  constexpr event_loop::Millis kFiguresEvery = 10000;
  event_loop::Millis figures_at = loop.now() + kFiguresEvery;
  bool admin_port_closed = false, flight_clients_gone = false;
  while (lifecycle.phase() != Phase::Stopped) {
    event_loop::Millis now = loop.now();
    loop.turn(std::clamp(std::min(router.next_due(), settings_transition.due()) - now, 0.0, 500.0));
    now = loop.now();
    if (std::exchange(retuned, false)) {
      act_by(settings_transition.begin(settings_of(file.config()), now));
      spdlog::info("new settings: safe under old and new from now on");
    }
    if (auto settled = settings_transition.complete_if_due(now)) {
      act_by(*settled);
      spdlog::info("new settings: alone from now on");
    }
    router.run();
    now = loop.now();
    // Where ranges move, a map is wanted as well: a query without one can only be refused.
    if (router.known_servers() > 0 && (!directory || !router.map().empty()) &&
        (!siblings || siblings->process_registry().may_begin(now)) &&
        lifecycle.give(LifecycleEvent::endpoints_available, now).changed)
      spdlog::info("phase {}", lifecycle.name());
    if (lifecycle.admits() && !front.listens()) open_to_clients(front, siblings.get(), now);
    if (admin_server) admin_server->serving(lifecycle.admits());
    front.last_answers(lifecycle.drains());
    if (lifecycle.closes_idle(now)) front.close_idle();
    if (analysts && lifecycle.closes_idle(now) != flight_clients_gone) {
      flight_clients_gone = !flight_clients_gone;
      flight_clients_gone ? analysts->wind_down() : analysts->take_again();
    }
    if (!admin_port_closed && lifecycle.closes_listener(now)) {
      front.stop_listening();
      if (analysts) analysts->stop_listening();
      admin_port_closed = true;
    }
    if (admin_port_closed && router.open_queries() == 0 && !front.busy() && !(analysts && analysts->busy()))
      lifecycle.give(LifecycleEvent::drained, now);
    if (now >= figures_at) {
      figures_at = now + kFiguresEvery;
      for (std::size_t i = 0; i < router.figures().size(); ++i) {
        const coordination::QueryCounters& f = router.figures()[i];
        spdlog::info("figures {}: taken {} whole {} partial {} refused {} failed {} withdrawn {} attempts {}",
                     router.figures_name(i), f.taken, f.complete, f.partial, f.refused, f.failed, f.withdrawn,
                     f.attempts);
      }
      spdlog::info("open: queries {} attempts {} clients {} leafs {} peak {} KiB", router.open_queries(),
                   router.attempts_out(), front.connections(),
                   leafs ? leafs->connections() : nodes->connections(), peak_resident_kib());
      if (directory) log_ranges(router, *directory);
      if (files) log_files(*files);
    }
  }
  spdlog::info("phase {}", lifecycle.name());
}

}  // namespace winchhall::app
