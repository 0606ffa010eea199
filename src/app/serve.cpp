#include "app/serve.hpp"

#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <stdexcept>

#include "app/lifecycle.hpp"
#include "core/exchange.hpp"
#include "core/retuning.hpp"
#include "door/door.hpp"
#include "files/files_source.hpp"
#include "flight/flight_pool.hpp"
#include "flight/flight_server.hpp"
#include "net/loop.hpp"
#include "platform/client_front.hpp"
#include "platform/discovery.hpp"
#include "platform/leaf_pool.hpp"
#include "platform/range_directory.hpp"

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

platform::LeafLimits leaf_limits(const Config& config, bool spans) {
  platform::LeafLimits limits;
  limits.batch = static_cast<std::size_t>(config.batch);
  limits.streams = static_cast<std::size_t>(config.streams_per_conn);
  limits.connect_timeout = config.connect_timeout;
  limits.idle = config.conn_idle;
  limits.connections = config.sockets * 2 / 5;
  limits.spans = spans;
  return limits;
}

// Files tell of themselves; nobody has to be asked for the list.
pewterrill::Settings settings_of(const Config& config) {
  pewterrill::Settings s = config.settings;
  if (config.ops.files.enabled) s.list_on_request = s.list_watched = false;
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

  core::Exchange exchange(
      config.settings, config.seed, [&] { return loop.now(); },
      [](const std::string& line) { spdlog::info("policy: {}", line); });
  // One set of decisions, whatever wire the nodes speak: an operator's file says which.
  std::unique_ptr<platform::LeafPool> leafs;
  std::unique_ptr<flight::FlightPool> nodes;
  const FlightConfig& flight_config = config.ops.flight;
  const FilesConfig& files_config = config.ops.files;
  const bool spans = config.ops.ranges.enabled || files_config.enabled;
  const platform::LeafLimits limits = leaf_limits(config, spans);
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
  platform::ClientFront front(loop, exchange, address(config.listen, "listen on"),
                              {exchange.settings(), config.shards, spans}, config.sockets * 4 / 10,
                              [&] { return life.admits(); });
  std::unique_ptr<flight::FlightServer> analysts;
  if (flight_config.enabled) {
    analysts =
        std::make_unique<flight::FlightServer>(loop, exchange, address(flight_config.listen, "listen on"),
                                               config.shards, config.seed, config.sockets / 10, spans);
    spdlog::info("Flight on port {} of {}, nodes over {}", analysts->port(), flight_config.listen,
                 nodes ? "Flight" : "frames");
  }
  spdlog::info("{} listens on port {} of {}, {} servers known", config.name, front.port(), config.listen,
               config.known.size());

  std::unique_ptr<door::Door> door;
  if (!config.control.empty()) {
    door = std::make_unique<door::Door>(loop, address(config.control, "open the operators' door at"),
                                        [&](door::Call call) { return obey(life, call, loop.now()); });
    spdlog::info("operators' door on port {} of {}", door->port(), config.control);
  }

  // What acts from now on, in all that goes by settings.
  auto act_by = [&](const pewterrill::Settings& settings) {
    exchange.retune(settings);
    front.shards(file.config().shards);
    if (leafs) leafs->limit(leaf_limits(file.config(), spans));
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
        life.give(Order::able, now).changed)
      spdlog::info("phase {}", life.name());
    if (door) door->serving(life.admits());
    front.last_answers(life.sends_away());
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
