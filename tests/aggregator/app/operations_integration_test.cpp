// Operations on real processes: drain and resume over the admin port, reload of the settings, hot restart,
// kill and stop.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <dirent.h>

#include <filesystem>
#include <nlohmann/json.hpp>

#include "aggregator/hot_restart/process_state.hpp"
#include "tests/aggregator/support/program.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using nlohmann::json;

namespace {

// Processes of one aggregator with a shared folder for their state files, and a leaf that answers them.
struct SharedFolderFixture {
  SharedFolderFixture() {
    path = (std::filesystem::temp_directory_path() / "winchhall-site-XXXXXX").string();
    REQUIRE(mkdtemp(path.data()));
  }
  ~SharedFolderFixture() { std::filesystem::remove_all(path); }

  json config() const {
    json c = json::parse(make_configuration(leaf.listener.port()));
    c["control"] = "127.0.0.1:0";
    c["listen"] = "127.0.0.1:" + std::to_string(port);
    return c;
  }
  std::unique_ptr<Program> start(const json& c) {
    auto p = std::make_unique<Program>(loop, c.dump(), "", 0, "", path);
    return p;
  }
  // Starts the first process and waits until it is ready. Its port is the one that clients use from then on.
  std::unique_ptr<Program> start_first() {
    auto p = start(config());
    port = p->port("listens on port ");
    p->run_until([&] { return has(p->log, "phase ready"); });
    return p;
  }
  std::unique_ptr<Program> start_next() {
    auto p = start(config());
    p->run_until([&] { return has(p->log, "phase ready"); });
    // The phase is logged before the process listens. The admin port answers ACK once new clients reach this
    // process only.
    event_loop::Millis give_up = loop.now() + 60000;  // only ends a test that hangs
    while (send_command(*p, "ready\n").find("ACK ") != 0) REQUIRE(loop.now() < give_up);
    return p;
  }

  // Whether the state file of any process matches.
  bool state_published(const std::function<bool(const hot_restart::State&)>& matches) const {
    std::error_code none;
    for (const auto& file : std::filesystem::directory_iterator(path + "/winchhall", none)) {
      if (file.path().extension() != ".state") continue;
      std::ifstream in(file.path());
      std::string bytes((std::istreambuf_iterator<char>(in)), {}), why;
      if (auto s = hot_restart::decode(bytes, why); s && matches(*s)) return true;
    }
    return false;
  }

  // Sends a line to the admin port and returns the answer.
  std::string send_command(Program& p, const std::string& line) {
    auto admin_client = p.connect(p.port("operators' door on port "));
    admin_client->stream->write(line);
    p.run_until([&] { return admin_client->is_closed || has(admin_client->text, "\n"); });
    return admin_client->text;
  }
  std::string send_query(Program& p, const std::string& query_class = "lookup") {
    auto client = p.connect(port);
    return p.ask(*client,
                 HttpFixture::query("s" + std::to_string(++query_count), kTwoParts, query_class, 20000));
  }

  event_loop::Loop loop;
  ScriptedLeaf leaf{loop};
  std::string path;
  int port = 0, query_count = 0;
};

}  // namespace

TEST_CASE(
    "after a drain clients leave with their answers, and after a resume the leaf connections are reused") {
  SharedFolderFixture fixture;
  auto p = fixture.start_first();
  CHECK(fixture.send_command(*p, "ready\n") == "ACK ready\n");
  auto idle_client = p->connect(fixture.port), busy_client = p->connect(fixture.port);
  p->ask(*idle_client, kReady);
  std::vector<ScriptedLeaf::Part> held_parts;
  fixture.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held_parts.push_back(part); };
  busy_client->stream->write(HttpFixture::query("q1", kTwoParts, "lookup", 20000));
  p->run_until([&] { return held_parts.size() == 2; });

  CHECK(fixture.send_command(*p, "drain\n").find("ACK ") == 0);
  CHECK(fixture.send_command(*p, "ready\n") == "NAK sending away\n");
  auto late_client = p->connect(fixture.port);
  CHECK(has(p->ask(*late_client, kReady), "503"));
  p->run_until([&] { return late_client->is_closed && idle_client->is_closed; });
  CHECK(!busy_client->is_closed);  // it gets its answer first
  for (const auto& part : held_parts) ScriptedLeaf::answer(part);
  p->run_until([&] { return busy_client->is_closed; });
  CHECK(has(busy_client->text, "Connection: close"));
  CHECK(has(busy_client->text, "\"exact\":true"));

  std::size_t connections = fixture.leaf.peers.size();
  fixture.leaf.on_part = [](const ScriptedLeaf::Part& part) { ScriptedLeaf::answer(part); };
  CHECK(fixture.send_command(*p, "resume\n").find("ACK ") == 0);
  CHECK(fixture.send_command(*p, "ready\n") == "ACK ready\n");
  auto client = p->connect(fixture.port);
  for (const char* id : {"a", "b"})
    CHECK(has(p->ask(*client, HttpFixture::query(id, kTwoParts)), "\"exact\":true"));
  CHECK(fixture.leaf.peers.size() == connections);  // the connections to leafs were kept
}

TEST_CASE("a resume before the last client has left keeps the remaining clients") {
  SharedFolderFixture fixture;
  auto p = fixture.start_first();
  auto busy_client = p->connect(fixture.port);
  std::vector<ScriptedLeaf::Part> held_parts;
  fixture.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held_parts.push_back(part); };
  busy_client->stream->write(HttpFixture::query("q1", kTwoParts, "lookup", 20000));
  p->run_until([&] { return held_parts.size() == 2; });
  CHECK(fixture.send_command(*p, "drain\n").find("ACK ") == 0);
  CHECK(fixture.send_command(*p, "resume\n").find("ACK ") == 0);
  for (const auto& part : held_parts) ScriptedLeaf::answer(part);
  p->run_until([&] { return has(busy_client->text, "\"exact\":true"); });
  CHECK(!has(busy_client->text, "Connection: close"));
  CHECK(has(p->ask(*busy_client, kReady), "200 OK"));
}

TEST_CASE("the admin port answers while 200 connections hold an incomplete line or send nothing") {
  SharedFolderFixture fixture;
  auto p = fixture.start_first();
  int admin_port = p->port("operators' door on port ");
  std::vector<std::shared_ptr<Peer>> stalled_clients;
  for (int i = 0; i < 200; ++i) {
    stalled_clients.push_back(p->connect(admin_port));
    if (i % 3 == 0) stalled_clients.back()->stream->write("rea");
  }
  // All connections are established before the next one: the admin server closes the oldest connection, so a
  // late one among them would displace the command's.
  p->run_until([&] {
    return std::none_of(stalled_clients.begin(), stalled_clients.end(),
                        [](const auto& c) { return c->stream->connecting(); });
  });
  for (int i = 0; i < 5; ++i) CHECK(fixture.send_command(*p, "ready\n") == "ACK ready\n");
  CHECK(has(fixture.send_query(*p), "\"exact\":true"));
  CHECK(fixture.send_command(*p, "drain\nresume\n") == "NAK more than one line\n");
  CHECK(fixture.send_command(*p, std::string(1000, 'x')).find("NAK a line too long") == 0);
  CHECK(fixture.send_command(*p, "shutdown\n").find("NAK unknown word") == 0);
  CHECK(fixture.send_command(*p, "ready\n") == "ACK ready\n");  // none of it was taken for a command
}

TEST_CASE(
    "after a reload an added class is served and open queries of a removed class are finished; invalid files "
    "change nothing") {
  SharedFolderFixture fixture;
  auto p = fixture.start_first();
  json c = fixture.config();
  c["settings"]["services"].push_back({{"name", "report"},
                                       {"objective", 3000},
                                       {"hard_limit", 20000},
                                       {"gain", 1},
                                       {"late_share", 0.3},
                                       {"semantics", "free"}});
  for (const char* key : {"need_by_class", "floor_by_class"}) c["settings"]["extra"][key] = {1, 1};
  CHECK(has(fixture.send_query(*p, "report"), "404"));
  p->reload(c.dump());
  p->run_until([&] { return has(p->log, "stricter of old and new settings"); });
  CHECK(has(fixture.send_query(*p, "report"), "\"exact\":true"));
  CHECK(has(fixture.send_query(*p), "\"exact\":true"));
  p->run_until([&] { return has(p->log, "the new settings apply"); });

  std::vector<ScriptedLeaf::Part> held_parts;
  fixture.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held_parts.push_back(part); };
  auto open = p->connect(fixture.port);
  open->stream->write(HttpFixture::query("open", kTwoParts, "lookup", 20000));
  p->run_until([&] { return held_parts.size() == 2; });
  c["settings"]["services"].erase(0);
  for (const char* key : {"need_by_class", "floor_by_class"}) c["settings"]["extra"][key] = {1};
  p->log.clear();
  p->reload(c.dump());
  p->run_until([&] { return has(p->log, "the new settings apply"); });
  fixture.leaf.on_part = [](const ScriptedLeaf::Part& part) { ScriptedLeaf::answer(part); };
  CHECK(has(fixture.send_query(*p, "lookup"), "404"));
  CHECK(has(fixture.send_query(*p, "report"), "\"exact\":true"));
  for (const auto& part : held_parts) ScriptedLeaf::answer(part);
  p->run_until([&] { return has(open->text, "\"exact\":true"); });

  json bad = c;
  bad["settings"]["services"][0]["hard_limit"] = 0;
  for (const std::string& text : {std::string(), c.dump().substr(0, 200), bad.dump()}) {
    p->log.clear();
    p->reload(text);
    p->run_until([&] { return has(p->log, "configuration rejected"); });
  }
  CHECK(has(p->log, "settings.services[0].hard_limit is 0: expected a number above 0"));
  CHECK(has(fixture.send_query(*p, "report"), "\"exact\":true"));
}

TEST_CASE(
    "queries are answered completely while settings are reloaded continuously, half of the files truncated") {
  SharedFolderFixture fixture;
  auto p = fixture.start_first();
  json c = fixture.config();
  for (int i = 0; i < 40; ++i) {
    json fresh = c;
    fresh["settings"]["services"][0]["objective"] = 3000 + i;
    fresh["settings"]["permissions"]["max_attempts"] = 2 + i % 3;
    std::string text = fresh.dump();
    p->reload(i % 2 ? text.substr(0, text.size() * static_cast<std::size_t>(i) / 40) : text);
    CHECK(has(fixture.send_query(*p), "\"exact\":true"));
  }
}

TEST_CASE(
    "in two hot restarts in a row new clients reach the new process, and the old one finishes and exits with "
    "0") {
  SharedFolderFixture fixture;
  auto old_one = fixture.start_first();
  for (int round = 0; round < 2; ++round) {
    std::vector<ScriptedLeaf::Part> held_parts;
    fixture.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held_parts.push_back(part); };
    auto open = old_one->connect(fixture.port);
    std::string id = "open" + std::to_string(round);
    open->stream->write(HttpFixture::query(id, kTwoParts, "lookup", 20000));
    old_one->run_until([&] { return held_parts.size() == 2; });
    fixture.leaf.on_part = [](const ScriptedLeaf::Part& part) { ScriptedLeaf::answer(part); };

    auto new_one = fixture.start_next();
    CHECK(has(new_one->log, "phase taking over"));
    CHECK(fixture.send_command(*new_one, "ready\n") == "ACK ready\n");
    old_one->run_until([&] { return has(old_one->log, "phase handing over"); });
    CHECK(fixture.send_command(*old_one, "ready\n") == "ACK handing over\n");
    // New connections are steered to the new process: all are answered while the old one is stopped.
    REQUIRE(kill(old_one->pid, SIGSTOP) == 0);
    for (int i = 0; i < 20; ++i) CHECK(has(fixture.send_query(*new_one), "\"exact\":true"));
    REQUIRE(kill(old_one->pid, SIGCONT) == 0);
    REQUIRE(kill(old_one->pid, SIGTERM) == 0);
    old_one->run_until([&] { return has(old_one->log, "phase leaving"); });
    for (const auto& part : held_parts) ScriptedLeaf::answer(part);
    old_one->run_until([&] { return has(open->text, "\"exact\":true"); });
    CHECK(old_one->exit_code() == 0);
    CHECK(has(fixture.send_query(*new_one), "\"exact\":true"));
    old_one = std::move(new_one);
  }
}

TEST_CASE("clients stay with the old process if the new one dies, or never gets ready") {
  SharedFolderFixture fixture;
  auto old_one = fixture.start_first();
  auto new_one = fixture.start_next();
  REQUIRE(kill(new_one->pid, SIGKILL) == 0);
  new_one->exit_code();
  for (int i = 0; i < 20; ++i) CHECK(has(fixture.send_query(*old_one), "\"exact\":true"));

  // It has no server list and receives none.
  json c = fixture.config();
  c["known"] = {{"revision", 0}, {"complete", true}, {"members", json::array()}};
  std::filesystem::remove_all(fixture.path + "/winchhall");  // nor the list of another process
  auto never = fixture.start(c);
  CHECK(fixture.send_command(*never, "ready\n").find("NAK ") == 0);
  for (int i = 0; i < 20; ++i) CHECK(has(fixture.send_query(*old_one), "\"exact\":true"));
  CHECK(fixture.send_command(*old_one, "ready\n").find("ACK ") == 0);
}

TEST_CASE("an old process that was killed or stopped does not block a start; foreign files are set aside") {
  SharedFolderFixture fixture;
  auto old_one = fixture.start_first();
  old_one->run_until(
      [&] { return fixture.state_published([](const hot_restart::State& s) { return s.listens; }); });
  REQUIRE(kill(old_one->pid, SIGSTOP) == 0);
  std::ofstream(fixture.path + "/winchhall/foreign.state") << "not ours";
  auto new_one = fixture.start_next();  // starts without the acknowledgement of the stopped process
  CHECK(has(new_one->log, "set aside: "));
  CHECK(has(new_one->log, "not a state file of an aggregator"));
  for (int i = 0; i < 20; ++i) CHECK(has(fixture.send_query(*new_one), "\"exact\":true"));
  REQUIRE(kill(old_one->pid, SIGCONT) == 0);
  old_one->run_until([&] { return has(old_one->log, "phase handing over"); });
  REQUIRE(kill(old_one->pid, SIGKILL) == 0);
  old_one->exit_code();
  auto third = fixture.start_next();
  REQUIRE(kill(new_one->pid, SIGKILL) == 0);
  new_one->exit_code();
  for (int i = 0; i < 20; ++i) CHECK(has(fixture.send_query(*third), "\"exact\":true"));
}

TEST_CASE("a new process knows the drains that the old one had received") {
  SharedFolderFixture fixture;
  ScriptedDiscovery discovery(fixture.loop);
  ScriptedLeaf second(fixture.loop);
  json c = fixture.config();
  c["discovery"] = discovery.address();
  auto old_one = fixture.start(c);
  fixture.port = old_one->port("listens on port ");
  old_one->run_until([&] { return discovery.calls.size() == 1; });
  discovery.send_update(9, ScriptedDiscovery::row("s-1", fixture.leaf.listener.port(), "draining") + "," +
                               ScriptedDiscovery::row("s-2", second.listener.port()));
  old_one->run_until([&] { return has(old_one->log, "discovery revision 9"); });
  discovery.listener.close();  // the new process can't get them from discovery
  c["listen"] = "127.0.0.1:" + std::to_string(fixture.port);
  old_one->run_until(
      [&] { return fixture.state_published([](const hot_restart::State& s) { return s.revision == 9; }); });
  auto new_one = fixture.start(c);
  new_one->run_until([&] { return has(new_one->log, "phase ready"); });
  fixture.leaf.parts.clear();
  for (int i = 0; i < 5; ++i) CHECK(has(fixture.send_query(*new_one), "\"exact\":true"));
  CHECK(fixture.leaf.parts.empty());
  CHECK(second.parts.size() == 10);
}

TEST_CASE("a drain, a reload and a hot restart at the same time lose no open query") {
  SharedFolderFixture fixture;
  auto old_one = fixture.start_first();
  std::vector<ScriptedLeaf::Part> held_parts;
  fixture.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held_parts.push_back(part); };
  auto open = old_one->connect(fixture.port);
  open->stream->write(HttpFixture::query("open", kTwoParts, "lookup", 20000));
  old_one->run_until([&] { return held_parts.size() == 2; });
  fixture.leaf.on_part = [](const ScriptedLeaf::Part& part) { ScriptedLeaf::answer(part); };
  auto new_one = fixture.start(fixture.config());
  CHECK(fixture.send_command(*old_one, "drain\n").find("ACK ") == 0);
  json c = fixture.config();
  c["settings"]["services"][0]["objective"] = 2000;
  old_one->reload(c.dump());
  new_one->run_until([&] { return has(new_one->log, "phase ready"); });
  for (int i = 0; i < 5; ++i) CHECK(has(fixture.send_query(*new_one), "\"exact\":true"));
  REQUIRE(kill(old_one->pid, SIGTERM) == 0);
  old_one->run_until([&] { return has(old_one->log, "phase leaving"); });
  CHECK(fixture.send_command(*old_one, "resume\n") == "NAK leaving for good\n");
  for (const auto& part : held_parts) ScriptedLeaf::answer(part);
  old_one->run_until([&] { return has(open->text, "\"exact\":true"); });
  CHECK(old_one->exit_code() == 0);
}

TEST_CASE("a watch that becomes silent is requested again, and lists with line breaks are read") {
  SharedFolderFixture fixture;
  ScriptedDiscovery discovery(fixture.loop);
  json c = fixture.config();
  c["discovery"] = discovery.address();
  auto p = fixture.start(c);
  p->run_until([&] { return discovery.calls.size() == 1; });
  std::string row = ScriptedDiscovery::row("s-2", fixture.leaf.listener.port());
  discovery.send_update(5, "\n  " + row + "\n");
  p->run_until([&] { return has(p->log, "discovery revision 5"); });
  p->run_until([&] { return discovery.calls.size() == 2; });  // nothing more is sent on the first watch
  CHECK(has(discovery.calls[1], "after=5 "));
}

TEST_CASE("without an admin address there is no admin port, thread, state file or shared port") {
  SharedFolderFixture fixture;
  json c = fixture.config();
  c.erase("control");
  auto p = fixture.start(c);
  fixture.port = p->port("listens on port ");
  p->run_until([&] { return has(p->log, "phase ready"); });
  int threads = 0;
  for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(p->pid) + "/task"))
    threads += task.is_directory();
  CHECK(threads == 1);
  CHECK(!std::filesystem::exists(fixture.path + "/winchhall"));
  json second = c;
  second["listen"] = "127.0.0.1:" + std::to_string(fixture.port);
  auto other = fixture.start(second);
  CHECK(other->exit_code() == 1);
}
