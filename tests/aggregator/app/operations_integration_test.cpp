// Operators at work on real processes: sent away and called back, given new settings, replaced, killed,
// stopped.
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

// A folder that processes of one aggregator share, and the configuration of each.
struct Site {
  Site() {
    path = (std::filesystem::temp_directory_path() / "winchhall-site-XXXXXX").string();
    REQUIRE(mkdtemp(path.data()));
  }
  ~Site() { std::filesystem::remove_all(path); }

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
  // The first process; its port is the clients' from then on.
  std::unique_ptr<Program> first() {
    auto p = start(config());
    port = p->port("listens on port ");
    p->run_until([&] { return has(p->log, "phase ready"); });
    return p;
  }
  std::unique_ptr<Program> next() {
    auto p = start(config());
    p->run_until([&] { return has(p->log, "phase ready"); });
    // It says so before it listens; the door says yes once clients come here and to nobody else.
    event_loop::Millis give_up = loop.now() + 60000;  // only ends a test that hangs
    while (call(*p, "ready\n").find("ACK ") != 0) REQUIRE(loop.now() < give_up);
    return p;
  }

  // Some process has left word of this in its file.
  bool told(const std::function<bool(const hot_restart::State&)>& what) const {
    std::error_code none;
    for (const auto& file : std::filesystem::directory_iterator(path + "/winchhall", none)) {
      if (file.path().extension() != ".state") continue;
      std::ifstream in(file.path());
      std::string bytes((std::istreambuf_iterator<char>(in)), {}), why;
      if (auto s = hot_restart::decode(bytes, why); s && what(*s)) return true;
    }
    return false;
  }

  // What the door says to one line.
  std::string call(Program& p, const std::string& line) {
    auto caller = p.connect(p.port("operators' door on port "));
    caller->stream->write(line);
    p.run_until([&] { return caller->is_closed || has(caller->text, "\n"); });
    return caller->text;
  }
  std::string ask(Program& p, const std::string& query_class = "lookup") {
    auto client = p.connect(port);
    return p.ask(*client, HttpFixture::query("s" + std::to_string(++asked), kTwoParts, query_class, 20000));
  }

  event_loop::Loop loop;
  ScriptedLeaf leaf{loop};
  std::string path;
  int port = 0, asked = 0;
};

}  // namespace

TEST_CASE("sent away by the door, clients go with their answers; called back, it serves on what it had") {
  Site site;
  auto p = site.first();
  CHECK(site.call(*p, "ready\n") == "ACK ready\n");
  auto kept = p->connect(site.port), busy = p->connect(site.port);
  p->ask(*kept, kReady);
  std::vector<ScriptedLeaf::Part> held;
  site.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held.push_back(part); };
  busy->stream->write(HttpFixture::query("q1", kTwoParts, "lookup", 20000));
  p->run_until([&] { return held.size() == 2; });

  CHECK(site.call(*p, "drain\n").find("ACK ") == 0);
  CHECK(site.call(*p, "ready\n") == "NAK sending away\n");
  auto crossing = p->connect(site.port);
  CHECK(has(p->ask(*crossing, kReady), "503"));
  p->run_until([&] { return crossing->is_closed && kept->is_closed; });
  CHECK(!busy->is_closed);  // its answer first
  for (const auto& part : held) ScriptedLeaf::answer(part);
  p->run_until([&] { return busy->is_closed; });
  CHECK(has(busy->text, "Connection: close"));
  CHECK(has(busy->text, "\"exact\":true"));

  std::size_t connections = site.leaf.peers.size();
  site.leaf.on_part = [](const ScriptedLeaf::Part& part) { ScriptedLeaf::answer(part); };
  CHECK(site.call(*p, "resume\n").find("ACK ") == 0);
  CHECK(site.call(*p, "ready\n") == "ACK ready\n");
  auto client = p->connect(site.port);
  for (const char* id : {"a", "b"})
    CHECK(has(p->ask(*client, HttpFixture::query(id, kTwoParts)), "\"exact\":true"));
  CHECK(site.leaf.peers.size() == connections);  // on connections to leafs that it kept
}

TEST_CASE("called back before the last client has gone, it keeps those that are left") {
  Site site;
  auto p = site.first();
  auto busy = p->connect(site.port);
  std::vector<ScriptedLeaf::Part> held;
  site.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held.push_back(part); };
  busy->stream->write(HttpFixture::query("q1", kTwoParts, "lookup", 20000));
  p->run_until([&] { return held.size() == 2; });
  CHECK(site.call(*p, "drain\n").find("ACK ") == 0);
  CHECK(site.call(*p, "resume\n").find("ACK ") == 0);
  for (const auto& part : held) ScriptedLeaf::answer(part);
  p->run_until([&] { return has(busy->text, "\"exact\":true"); });
  CHECK(!has(busy->text, "Connection: close"));
  CHECK(has(p->ask(*busy, kReady), "200 OK"));
}

TEST_CASE("the door answers beside callers by the hundred that hold half a line or say nothing") {
  Site site;
  auto p = site.first();
  int door = p->port("operators' door on port ");
  std::vector<std::shared_ptr<Peer>> crowd;
  for (int i = 0; i < 200; ++i) {
    crowd.push_back(p->connect(door));
    if (i % 3 == 0) crowd.back()->stream->write("rea");
  }
  // All stand before the next caller: one whose connection comes up late would come after it, and the door
  // lets go of who has stood there for longest.
  p->run_until([&] {
    return std::none_of(crowd.begin(), crowd.end(), [](const auto& c) { return c->stream->connecting(); });
  });
  for (int i = 0; i < 5; ++i) CHECK(site.call(*p, "ready\n") == "ACK ready\n");
  CHECK(has(site.ask(*p), "\"exact\":true"));
  CHECK(site.call(*p, "drain\nresume\n") == "NAK more than one line\n");
  CHECK(site.call(*p, std::string(1000, 'x')).find("NAK a line too long") == 0);
  CHECK(site.call(*p, "shutdown\n").find("NAK unknown word") == 0);
  CHECK(site.call(*p, "ready\n") == "ACK ready\n");  // none of it was taken for an order
}

TEST_CASE(
    "new settings: an added class is served, a dropped one to the end of what is open, spoilt files change "
    "nothing") {
  Site site;
  auto p = site.first();
  json c = site.config();
  c["settings"]["services"].push_back({{"name", "report"},
                                       {"objective", 3000},
                                       {"hard_limit", 20000},
                                       {"gain", 1},
                                       {"late_share", 0.3},
                                       {"semantics", "free"}});
  for (const char* key : {"need_by_class", "floor_by_class"}) c["settings"]["extra"][key] = {1, 1};
  CHECK(has(site.ask(*p, "report"), "404"));
  p->reload(c.dump());
  p->run_until([&] { return has(p->log, "safe under old and new"); });
  CHECK(has(site.ask(*p, "report"), "\"exact\":true"));
  CHECK(has(site.ask(*p), "\"exact\":true"));
  p->run_until([&] { return has(p->log, "alone from now on"); });

  std::vector<ScriptedLeaf::Part> held;
  site.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held.push_back(part); };
  auto open = p->connect(site.port);
  open->stream->write(HttpFixture::query("open", kTwoParts, "lookup", 20000));
  p->run_until([&] { return held.size() == 2; });
  c["settings"]["services"].erase(0);
  for (const char* key : {"need_by_class", "floor_by_class"}) c["settings"]["extra"][key] = {1};
  p->log.clear();
  p->reload(c.dump());
  p->run_until([&] { return has(p->log, "alone from now on"); });
  site.leaf.on_part = [](const ScriptedLeaf::Part& part) { ScriptedLeaf::answer(part); };
  CHECK(has(site.ask(*p, "lookup"), "404"));
  CHECK(has(site.ask(*p, "report"), "\"exact\":true"));
  for (const auto& part : held) ScriptedLeaf::answer(part);
  p->run_until([&] { return has(open->text, "\"exact\":true"); });

  json bad = c;
  bad["settings"]["services"][0]["hard_limit"] = 0;
  for (const std::string& text : {std::string(), c.dump().substr(0, 200), bad.dump()}) {
    p->log.clear();
    p->reload(text);
    p->run_until([&] { return has(p->log, "configuration not taken over"); });
  }
  CHECK(has(p->log, "settings.services[0].hard_limit is 0: wanted is a number over 0"));
  CHECK(has(site.ask(*p, "report"), "\"exact\":true"));
}

TEST_CASE("settings rewritten without pause, half of them spoilt, under queries: each is answered whole") {
  Site site;
  auto p = site.first();
  json c = site.config();
  for (int i = 0; i < 40; ++i) {
    json fresh = c;
    fresh["settings"]["services"][0]["objective"] = 3000 + i;
    fresh["settings"]["permissions"]["max_attempts"] = 2 + i % 3;
    std::string text = fresh.dump();
    p->reload(i % 2 ? text.substr(0, text.size() * static_cast<std::size_t>(i) / 40) : text);
    CHECK(has(site.ask(*p), "\"exact\":true"));
  }
}

TEST_CASE(
    "replaced twice in a row: new clients go to the new process, the old one finishes and exits with 0") {
  Site site;
  auto old_one = site.first();
  for (int round = 0; round < 2; ++round) {
    std::vector<ScriptedLeaf::Part> held;
    site.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held.push_back(part); };
    auto open = old_one->connect(site.port);
    std::string id = "open" + std::to_string(round);
    open->stream->write(HttpFixture::query(id, kTwoParts, "lookup", 20000));
    old_one->run_until([&] { return held.size() == 2; });
    site.leaf.on_part = [](const ScriptedLeaf::Part& part) { ScriptedLeaf::answer(part); };

    auto new_one = site.next();
    CHECK(has(new_one->log, "phase taking over"));
    CHECK(site.call(*new_one, "ready\n") == "ACK ready\n");
    old_one->run_until([&] { return has(old_one->log, "phase handing over"); });
    CHECK(site.call(*old_one, "ready\n") == "ACK handing over\n");
    // Steered: with the old one stopped, every new connection is answered all the same.
    REQUIRE(kill(old_one->pid, SIGSTOP) == 0);
    for (int i = 0; i < 20; ++i) CHECK(has(site.ask(*new_one), "\"exact\":true"));
    REQUIRE(kill(old_one->pid, SIGCONT) == 0);
    REQUIRE(kill(old_one->pid, SIGTERM) == 0);
    old_one->run_until([&] { return has(old_one->log, "phase leaving"); });
    for (const auto& part : held) ScriptedLeaf::answer(part);
    old_one->run_until([&] { return has(open->text, "\"exact\":true"); });
    CHECK(old_one->exit_code() == 0);
    CHECK(has(site.ask(*new_one), "\"exact\":true"));
    old_one = std::move(new_one);
  }
}

TEST_CASE("a new process that dies leaves the clients to the old one; one that never can serve takes none") {
  Site site;
  auto old_one = site.first();
  auto new_one = site.next();
  REQUIRE(kill(new_one->pid, SIGKILL) == 0);
  new_one->exit_code();
  for (int i = 0; i < 20; ++i) CHECK(has(site.ask(*old_one), "\"exact\":true"));

  // It knows no server and hears of none.
  json c = site.config();
  c["known"] = {{"revision", 0}, {"complete", true}, {"members", json::array()}};
  std::filesystem::remove_all(site.path + "/winchhall");  // and nobody's list
  auto never = site.start(c);
  CHECK(site.call(*never, "ready\n").find("NAK ") == 0);
  for (int i = 0; i < 20; ++i) CHECK(has(site.ask(*old_one), "\"exact\":true"));
  CHECK(site.call(*old_one, "ready\n").find("ACK ") == 0);
}

TEST_CASE(
    "an old process that was killed, or stands still, holds no start up; files of strangers are set aside") {
  Site site;
  auto old_one = site.first();
  old_one->run_until([&] { return site.told([](const hot_restart::State& s) { return s.listens; }); });
  REQUIRE(kill(old_one->pid, SIGSTOP) == 0);
  std::ofstream(site.path + "/winchhall/foreign.state") << "not ours";
  auto new_one = site.next();  // it does not answer: begun without its word
  CHECK(has(new_one->log, "set aside: "));
  CHECK(has(new_one->log, "no state of an aggregator"));
  for (int i = 0; i < 20; ++i) CHECK(has(site.ask(*new_one), "\"exact\":true"));
  REQUIRE(kill(old_one->pid, SIGCONT) == 0);
  old_one->run_until([&] { return has(old_one->log, "phase handing over"); });
  REQUIRE(kill(old_one->pid, SIGKILL) == 0);
  old_one->exit_code();
  auto third = site.next();
  REQUIRE(kill(new_one->pid, SIGKILL) == 0);
  new_one->exit_code();
  for (int i = 0; i < 20; ++i) CHECK(has(site.ask(*third), "\"exact\":true"));
}

TEST_CASE("a process that takes over knows the drains that the one before had heard of") {
  Site site;
  ScriptedDiscovery discovery(site.loop);
  ScriptedLeaf second(site.loop);
  json c = site.config();
  c["discovery"] = discovery.address();
  auto old_one = site.start(c);
  site.port = old_one->port("listens on port ");
  old_one->run_until([&] { return discovery.calls.size() == 1; });
  discovery.send_update(9, ScriptedDiscovery::row("s-1", site.leaf.listener.port(), "draining") + "," +
                               ScriptedDiscovery::row("s-2", second.listener.port()));
  old_one->run_until([&] { return has(old_one->log, "discovery revision 9"); });
  discovery.listener.close();  // nobody tells the new one
  c["listen"] = "127.0.0.1:" + std::to_string(site.port);
  old_one->run_until([&] { return site.told([](const hot_restart::State& s) { return s.revision == 9; }); });
  auto new_one = site.start(c);
  new_one->run_until([&] { return has(new_one->log, "phase ready"); });
  site.leaf.parts.clear();
  for (int i = 0; i < 5; ++i) CHECK(has(site.ask(*new_one), "\"exact\":true"));
  CHECK(site.leaf.parts.empty());
  CHECK(second.parts.size() == 10);
}

TEST_CASE("sent away, retuned and replaced at once: nothing open is lost") {
  Site site;
  auto old_one = site.first();
  std::vector<ScriptedLeaf::Part> held;
  site.leaf.on_part = [&](const ScriptedLeaf::Part& part) { held.push_back(part); };
  auto open = old_one->connect(site.port);
  open->stream->write(HttpFixture::query("open", kTwoParts, "lookup", 20000));
  old_one->run_until([&] { return held.size() == 2; });
  site.leaf.on_part = [](const ScriptedLeaf::Part& part) { ScriptedLeaf::answer(part); };
  auto new_one = site.start(site.config());
  CHECK(site.call(*old_one, "drain\n").find("ACK ") == 0);
  json c = site.config();
  c["settings"]["services"][0]["objective"] = 2000;
  old_one->reload(c.dump());
  new_one->run_until([&] { return has(new_one->log, "phase ready"); });
  for (int i = 0; i < 5; ++i) CHECK(has(site.ask(*new_one), "\"exact\":true"));
  REQUIRE(kill(old_one->pid, SIGTERM) == 0);
  old_one->run_until([&] { return has(old_one->log, "phase leaving"); });
  CHECK(site.call(*old_one, "resume\n") == "NAK leaving for good\n");
  for (const auto& part : held) ScriptedLeaf::answer(part);
  old_one->run_until([&] { return has(open->text, "\"exact\":true"); });
  CHECK(old_one->exit_code() == 0);
}

TEST_CASE("a watch that falls silent without a sign is asked for anew, and indented lists are read") {
  Site site;
  ScriptedDiscovery discovery(site.loop);
  json c = site.config();
  c["discovery"] = discovery.address();
  auto p = site.start(c);
  p->run_until([&] { return discovery.calls.size() == 1; });
  std::string row = ScriptedDiscovery::row("s-2", site.leaf.listener.port());
  discovery.send_update(5, "\n  " + row + "\n");
  p->run_until([&] { return has(p->log, "discovery revision 5"); });
  p->run_until([&] { return discovery.calls.size() == 2; });  // nothing more is said on the first
  CHECK(has(discovery.calls[1], "after=5 "));
}

TEST_CASE("where no door is named there is none: no thread, no file, no shared address") {
  Site site;
  json c = site.config();
  c.erase("control");
  auto p = site.start(c);
  site.port = p->port("listens on port ");
  p->run_until([&] { return has(p->log, "phase ready"); });
  int threads = 0;
  for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(p->pid) + "/task"))
    threads += task.is_directory();
  CHECK(threads == 1);
  CHECK(!std::filesystem::exists(site.path + "/winchhall"));
  json second = c;
  second["listen"] = "127.0.0.1:" + std::to_string(site.port);
  auto other = site.start(second);
  CHECK(other->exit_code() == 1);
}
