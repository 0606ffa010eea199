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

#include "aggregator/admin/door.hpp"
#include "aggregator/app/lifecycle.hpp"
#include "aggregator/app/neighbours.hpp"
#include "aggregator/coordination/exchange.hpp"
#include "aggregator/coordination/retuning.hpp"
#include "aggregator/dynamic_config/files_source.hpp"
#include "aggregator/event_loop/loop.hpp"
#include "aggregator/flight/flight_pool.hpp"
#include "aggregator/flight/flight_server.hpp"
#include "aggregator/http/client_front.hpp"
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
  auto a = net::parse_address(text);
  if (!a) throw std::runtime_error(std::string("no address to ") + what + ": '" + text + "'");
  return *a;
}

// `processes` of this aggregator have its descriptors together.
platform::LeafLimits leaf_limits(const Config& config, bool spans, int processes) {
  platform::LeafLimits limits;
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
bool reload(ConfigFile& file, platform::Discovery* discovery) {
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
door::Answer obey(Lifecycle& life, door::Call call, Millis now) {
  if (call == door::Call::ready) return {life.admits(), life.name()};
  Lifecycle::Result r = life.give(call == door::Call::drain ? Order::drain : Order::resume, now);
  if (r.changed) spdlog::info("phase {}, by the operators' door: {}", life.name(), r.word);
  return {r.taken, r.word};
}

// The phases, told which other processes of this name there are.
void meet(Lifecycle& life, const takeover::Pairing& pairing, Millis now) {
  Phase before = life.phase();
  life.give(Order::alone, now);
  if (pairing.predecessor(now)) life.give(Order::predecessor, now);
  if (pairing.successor(now)) life.give(Order::successor, now);
  if (life.phase() != before) spdlog::info("phase {}, {} other processes", life.name(), pairing.others(now));
}

// New connections come here from now on, where another process of this name listens as well.
void open_to_clients(platform::ClientFront& front, Neighbours* neighbours, Millis now) {
  front.listen();
  spdlog::info("listens on port {}", front.port());
  int others = neighbours ? neighbours->pairing().listening(now) : 0;
  if (others > 0 && !front.steer_here(others))
    spdlog::warn("the kernel does not steer connections: they come to each process in turn");
  if (others > 0) spdlog::info("clients taken over from {} other processes", others);
  if (neighbours) neighbours->tell_now();
}

void log_ranges(const core::Exchange& exchange, const platform::RangeDirectory& directory) {
  const auto& moves = exchange.moves();
  const auto& asked = directory.figures();
  spdlog::info(
      "ranges: revision {} of {} ranges; parts replaced {} joined {} elsewhere {} held back {} denied {} "
      "dropped {}; directory asked {} taken {} refused {} broken {}",
      ranges::text_of(exchange.map().revision()), exchange.map().size(), moves.replaced, moves.joined,
      moves.elsewhere, moves.held_back, moves.denied, moves.dropped, asked.asked, asked.taken, asked.refused,
      asked.broken);
}

files::FilesOptions files_options(const FilesConfig& config) {
  files::FilesOptions o;
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

void log_files(files::FilesSource& files) {
  const auto& f = files.figures();
  spdlog::info(
      "files: number {} generation {}; looks {} taken {} refused {} held {} disturbed {} kept {} not kept {}",
      files.keeper().number(),
      files.keeper().current() ? generations::digest_text(files.keeper().current()->digest) : "none", f.looks,
      f.taken, f.refused, f.held, f.disturbed, f.kept, f.not_kept);
}

}  // namespace

void serve() {
  // Before all else: a SIGHUP that finds no handler ends the program.
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  net::UniqueFd signal_fd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  ConfigFile file;
  Config config = file.config();
  config.settings = settings_of(config);
  if (!config.known_read) spdlog::warn("the configuration's last list of servers cannot be read");
  Lifecycle life;
  net::Loop loop;

  // Where operators have a door, another process of this name may serve beside this one for a while.
  std::function<void(takeover::State&)> fill;
  std::function<void()> met;
  std::unique_ptr<Neighbours> neighbours;
  int processes = 1;
  if (!config.control.empty()) {
    const char* folder = std::getenv("TMPDIR");
    neighbours = std::make_unique<Neighbours>(
        loop, folder ? folder : "", config.name, [&](takeover::State& s) { fill(s); }, [&] { met(); });
    const takeover::Pairing& pairing = neighbours->pairing();
    processes += pairing.others(loop.now());
    meet(life, pairing, loop.now());
    if (const takeover::State* state = pairing.latest_list();
        state && state->revision > config.known_revision) {
      config.known = state->members;
      config.known_revision = state->revision;
      spdlog::info("list of process {}: revision {}, {} servers", state->who.text(), state->revision,
                   state->members.size());
    }
  }

  core::Exchange exchange(
      takeover::share_of(config.settings, processes), config.seed, [&] { return loop.now(); },
      [](const std::string& line) { spdlog::info("policy: {}", line); });
  // One set of decisions, whatever wire the nodes speak: an operator's file says which.
  std::unique_ptr<platform::LeafPool> leafs;
  std::unique_ptr<flight::FlightPool> nodes;
  const FlightConfig& flight_config = config.ops.flight;
  const FilesConfig& files_config = config.ops.files;
  const bool spans = config.ops.ranges.enabled || files_config.enabled;
  const platform::LeafLimits limits = leaf_limits(config, spans, processes);
  if (flight_config.enabled && flight_config.nodes)
    nodes = std::make_unique<flight::FlightPool>(
        loop, exchange,
        flight::NodeLimits{limits.streams, limits.connect_timeout, limits.idle, limits.connections});
  else
    leafs = std::make_unique<platform::LeafPool>(loop, exchange, limits);
  core::Carrier& carrier = nodes ? static_cast<core::Carrier&>(*nodes) : *leafs;
  // Who tells the nodes: discovery, or a folder of files.
  std::unique_ptr<platform::Discovery> discovery;
  std::unique_ptr<files::FilesSource> files;
  if (files_config.enabled)
    files = std::make_unique<files::FilesSource>(loop, exchange, files_options(files_config));
  else
    discovery = std::make_unique<platform::Discovery>(loop, exchange, config.discovery, config.known_revision,
                                                      config.connect_timeout);
  core::Retuning retuning(config.settings);
  bool retuned = false;
  loop.add(signal_fd.get(), POLLIN, [&](short) {
    signalfd_siginfo info;
    while (read(signal_fd.get(), &info, sizeof info) == sizeof info) {
      if (info.ssi_signo == SIGHUP) {
        retuned |= reload(file, discovery.get());
        continue;
      }
      if (life.give(Order::terminate, loop.now()).changed) spdlog::info("phase {}", life.name());
    }
  });
  std::unique_ptr<platform::RangeDirectory> directory;
  if (config.ops.ranges.enabled)
    directory = std::make_unique<platform::RangeDirectory>(
        loop, exchange, config.ops.ranges.directory,
        platform::RangeDirectory::Limits{config.ops.ranges.most, config.ops.ranges.connect_timeout},
        config.seed);
  core::MembershipSource& members = files ? static_cast<core::MembershipSource&>(*files) : *discovery;
  core::RangeSource* maps = files ? static_cast<core::RangeSource*>(files.get()) : directory.get();
  exchange.attach(carrier, members, maps);
  exchange.start(config.known);
  if (directory) directory->start();
  if (files) files->start();
  const platform::ClientNames names{exchange.settings(), config.shards, spans};
  const sockaddr_in listen = address(config.listen, "listen on");
  auto admits = [&] { return life.admits(); };
  auto front_room = [&] { return config.sockets * 4 / 10 / static_cast<std::size_t>(processes); };
  auto fronts =
      neighbours
          ? std::make_unique<platform::ClientFront>(loop, exchange, listen, names, front_room(), admits,
                                                    platform::ClientFront::Shared{})
          : std::make_unique<platform::ClientFront>(loop, exchange, listen, names, front_room(), admits);
  platform::ClientFront& front = *fronts;
  std::unique_ptr<flight::FlightServer> analysts;
  if (flight_config.enabled) {
    analysts = std::make_unique<flight::FlightServer>(
        loop, exchange, address(flight_config.listen, "listen on"), config.shards, config.seed,
        config.sockets / 10, spans, neighbours != nullptr);
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

  std::unique_ptr<door::Door> door;
  if (!config.control.empty()) {
    door = std::make_unique<door::Door>(loop, address(config.control, "open the operators' door at"),
                                        [&](door::Call call) { return obey(life, call, loop.now()); });
    spdlog::info("operators' door on port {} of {}", door->port(), config.control);
  }

  // What acts from now on, in all that goes by settings.
  auto act_by = [&](const winchhall::Settings& settings) {
    exchange.retune(takeover::share_of(settings, processes));
    front.shards(file.config().shards);
    front.room(front_room());
    if (leafs) leafs->limit(leaf_limits(file.config(), spans, processes));
  };
  fill = [&](takeover::State& s) {
    s.phase = life.name();
    s.listens = front.listens();
    // Of one moment: under a revision with the members of the one before, whoever takes over would never hear
    // of what changed between.
    s.revision = std::max(exchange.list_revision(), discovery ? config.known_revision : 0);
    s.members = exchange.members();
  };
  met = [&] {
    meet(life, neighbours->pairing(), loop.now());
    int now_here = 1 + neighbours->pairing().others(loop.now());
    if (std::exchange(processes, now_here) != now_here) act_by(retuning.acting());
  };
  constexpr net::Millis kFiguresEvery = 10000;
  net::Millis figures_at = loop.now() + kFiguresEvery;
  bool door_closed = false, analysts_away = false;
  while (life.phase() != Phase::Stopped) {
    net::Millis now = loop.now();
    loop.turn(std::clamp(std::min(exchange.next_due(), retuning.due()) - now, 0.0, 500.0));
    now = loop.now();
    if (std::exchange(retuned, false)) {
      act_by(retuning.order(settings_of(file.config()), now));
      spdlog::info("new settings: safe under old and new from now on");
    }
    if (auto settled = retuning.settle(now)) {
      act_by(*settled);
      spdlog::info("new settings: alone from now on");
    }
    exchange.run();
    now = loop.now();
    // Where ranges move, a map is wanted as well: a query without one can only be refused.
    if (exchange.known_servers() > 0 && (!directory || !exchange.map().empty()) &&
        (!neighbours || neighbours->pairing().may_begin(now)) && life.give(Order::able, now).changed)
      spdlog::info("phase {}", life.name());
    if (life.admits() && !front.listens()) open_to_clients(front, neighbours.get(), now);
    if (door) door->serving(life.admits());
    front.last_answers(life.drains());
    if (life.closes_idle(now)) front.close_idle();
    if (analysts && life.closes_idle(now) != analysts_away) {
      analysts_away = !analysts_away;
      analysts_away ? analysts->wind_down() : analysts->take_again();
    }
    if (!door_closed && life.closes_door(now)) {
      front.stop_listening();
      if (analysts) analysts->stop_listening();
      door_closed = true;
    }
    if (door_closed && exchange.open_queries() == 0 && !front.busy() && !(analysts && analysts->busy()))
      life.give(Order::emptied, now);
    if (now >= figures_at) {
      figures_at = now + kFiguresEvery;
      for (std::size_t i = 0; i < exchange.figures().size(); ++i) {
        const core::Figures& f = exchange.figures()[i];
        spdlog::info("figures {}: taken {} whole {} partial {} refused {} failed {} withdrawn {} attempts {}",
                     exchange.figures_name(i), f.taken, f.whole, f.partial, f.refused, f.failed, f.withdrawn,
                     f.attempts);
      }
      spdlog::info("open: queries {} attempts {} clients {} leafs {} peak {} KiB", exchange.open_queries(),
                   exchange.attempts_out(), front.connections(),
                   leafs ? leafs->connections() : nodes->connections(), peak_resident_kib());
      if (directory) log_ranges(exchange, *directory);
      if (files) log_files(*files);
    }
  }
  spdlog::info("phase {}", life.name());
}

}  // namespace winchhall::app
