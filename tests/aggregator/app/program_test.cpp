// Tests of the program as an operator starts it, over its sockets and commands.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/aggregator/support/program.hpp"

using namespace winchhall;
using namespace winchhall::testing;

TEST_CASE("after SIGTERM open queries and requests that still arrive are finished, then the exit code is 0") {
  event_loop::Loop loop;
  ScriptedLeaf leaf(loop);
  Program p(loop, make_configuration(leaf.listener.port()));
  int port = p.port("listens on port ");
  auto client = p.connect(port), other = p.connect(port), front = p.connect(port);
  p.run_until([&] { return has(p.ask(*client, kReady), "200 OK"); });
  CHECK(has(p.ask(*client, HttpFixture::query("q1", kTwoParts)), "\"exact\":true"));

  std::vector<ScriptedLeaf::Part> held_parts;
  leaf.on_part = [&](const ScriptedLeaf::Part& part) { held_parts.push_back(part); };
  client->text.clear();
  client->stream->write(HttpFixture::query("q2", kTwoParts, "lookup", 20000));
  p.run_until([&] { return held_parts.size() == 2; });
  // Two requests are half sent when the signal arrives, so the test doesn't depend on how fast the rest is
  // sent.
  std::string late = HttpFixture::query("q3", R"({"id":1,"w":1})", "lookup", 20000);
  front->stream->write(std::string(kReady, 20));
  other->stream->write(late.substr(0, 40));
  p.run_until([&] { return front->stream->unsent() + other->stream->unsent() == 0; });
  REQUIRE(kill(p.pid, SIGTERM) == 0);
  p.run_until([&] { return has(p.log, "phase leaving"); });
  front->stream->write(kReady + 20);
  other->stream->write(late.substr(40));
  p.run_until([&] { return has(front->text, "HTTP/1.1 503"); });
  p.run_until([&] { return held_parts.size() == 3; });
  for (const auto& part : held_parts) ScriptedLeaf::answer(part);
  p.run_until([&] { return has(client->text, "\"exact\":true") && has(other->text, "\"exact\":true"); });
  CHECK(p.exit_code() == 0);
  CHECK(has(p.log, "phase leaving"));
  CHECK(has(p.log, "phase stopped"));
}

TEST_CASE(
    "SIGHUP changes the discovery address, keeps the list and its drains, and an invalid file changes "
    "nothing") {
  event_loop::Loop loop;
  ScriptedLeaf leaf(loop), second(loop);
  ScriptedDiscovery first(loop), moved(loop), last(loop);
  int port = leaf.listener.port();
  Program p(loop, make_configuration(port, first.address()), "", 0, first.address());
  auto client = p.connect(p.port("listens on port "));
  p.run_until([&] { return first.calls.size() == 1; });
  first.send_update(7, ScriptedDiscovery::row("s-2", second.listener.port()));
  p.run_until([&] { return has(p.log, "discovery revision 7"); });

  for (const char* bad : {"", "{", "{}", R"({"discovery":"127.0.0.1:2","settings":{"services":7}})"}) {
    p.log.clear();
    p.reload(bad);
    p.run_until([&] { return has(p.log, "configuration rejected"); });
  }
  std::string invalid = make_configuration(port, moved.address());
  p.log.clear();
  p.reload(invalid.replace(invalid.find("1024"), 4, "\"1\""));
  p.run_until([&] { return has(p.log, "limits.sockets is \"1\": expected a number"); });
  CHECK(!first.peers[0]->is_closed);
  CHECK(moved.calls.empty());

  p.reload(make_configuration(port, moved.address()));
  p.run_until([&] { return moved.calls.size() == 1 && first.peers[0]->is_closed; });
  CHECK(has(moved.calls[0], "watch=1&after=7 "));
  moved.send_update(9, ScriptedDiscovery::row("s-1", port, "draining"));
  p.run_until([&] { return has(p.log, "discovery revision 9"); });
  for (int i = 0; i < 4; ++i)
    CHECK(has(p.ask(*client, HttpFixture::query("q" + std::to_string(i), kTwoParts)), "\"exact\":true"));
  CHECK(leaf.parts.empty());
  CHECK(second.parts.size() == 8);

  // The address changes during a drain as well: open queries still need the list.
  client->stream->write(std::string(kReady, 20));
  p.run_until([&] { return client->stream->unsent() == 0; });
  REQUIRE(kill(p.pid, SIGTERM) == 0);
  p.run_until([&] { return has(p.log, "phase leaving"); });
  p.reload(make_configuration(port, last.address()));
  p.run_until([&] { return last.calls.size() == 1; });
  CHECK(has(last.calls[0], "watch=1&after=9 "));
  client->stream->write(kReady + 20);
  CHECK(p.exit_code() == 0);
}

TEST_CASE("without free descriptors it waits, and serves again when clients have left") {
  event_loop::Loop loop;
  ScriptedLeaf leaf(loop);
  Program p(loop, make_configuration(leaf.listener.port()), "", 24);
  int port = p.port("listens on port ");
  auto first = p.connect(port);
  p.run_until([&] { return has(p.ask(*first, kReady), "200 OK"); });
  CHECK(has(p.ask(*first, HttpFixture::query("q1", kTwoParts)), "\"exact\":true"));
  std::vector<std::shared_ptr<Peer>> extra_clients;
  for (int i = 0; i < 60; ++i) extra_clients.push_back(p.connect(port));
  for (int i = 0; i < 5; ++i) CHECK(has(p.ask(*first, kReady), "200 OK"));
  for (auto& peer : extra_clients) peer->stream->close();
  auto late = p.connect(port);
  CHECK(has(p.ask(*late, HttpFixture::query("q2", kTwoParts)), "\"exact\":true"));
}

TEST_CASE("the Flight front end is off by default and on with an operator's file") {
  event_loop::Loop loop;
  ScriptedLeaf leaf(loop);
  {
    Program p(loop, make_configuration(leaf.listener.port()));
    p.port("listens on port ");
    CHECK(!has(p.log, "Flight on port"));
  }
  Program p(loop, make_configuration(leaf.listener.port()), R"({"enabled":true,"listen":"127.0.0.1:0"})");
  auto flight_client = p.connect(p.port("Flight on port "));
  flight_client->stream->write(std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") +
                               std::string("\0\0\0\x04\0\0\0\0\0", 9));
  p.run_until([&] { return flight_client->text.size() >= 9; });
  CHECK(flight_client->text[3] == 4);  // the server's SETTINGS frame
}

TEST_CASE("ranges are enabled by an operator's file, and a split is followed during a drain and a reload") {
  event_loop::Loop loop;
  ScriptedLeaf leaf(loop);
  ScriptedDiscovery directory(loop);
  auto send_update = [&](const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    for (auto& peer : directory.peers) peer->stream->write(size + line + "\n\r\n");
  };
  Program p(loop, make_configuration(leaf.listener.port()),
            "<winchhall xmlns=\"urn:winchhall:operator:1\"><ranges directory=\"" + directory.address() +
                "\"/></winchhall>");
  int port = p.port("listens on port ");
  p.run_until([&] { return !directory.calls.empty(); });
  CHECK(has(directory.calls[0], "GET /v1/ranges?watch=1 "));
  auto client = p.connect(port);
  CHECK(has(p.ask(*client, kReady), "503"));  // no map yet
  const std::string end = "9007199254740992";
  send_update(R"({"incarnation":1,"revision":5,"ranges":[{"id":0,"from":0,"to":)" + end +
              R"(,"holders":["s-1"]}]})");
  p.run_until([&] { return has(p.ask(*client, kReady), "200 OK"); });
  std::vector<ScriptedLeaf::Part> held_parts;
  leaf.on_part = [&](const ScriptedLeaf::Part& part) { held_parts.push_back(part); };
  std::string body = R"({"spans":[{"from":0,"to":100}],"expr":"c41e"})";
  client->text.clear();
  client->stream->write("POST /lookup HTTP/1.1\r\nX-Request-ID: q1\r\nX-Timeout: 20000m\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
  p.run_until([&] { return held_parts.size() == 1; });
  REQUIRE(kill(p.pid, SIGTERM) == 0);
  p.run_until([&] { return has(p.log, "phase leaving"); });
  REQUIRE(kill(p.pid, SIGHUP) == 0);
  send_update(
      R"({"incarnation":1,"revision":6,"changes":[{"op":"split","range":0,"from":0,"at":40,"left":1,"right":2,)"
      R"("left_weight":1,"right_weight":1}]})");
  p.run_until([&] { return has(p.log, "configuration reloaded"); });
  ScriptedLeaf::answer(held_parts[0], 500);  // the new ranges are queried while the program drains
  p.run_until([&] { return held_parts.size() == 3; });
  for (std::size_t i = 1; i < 3; ++i) ScriptedLeaf::answer(held_parts[i]);
  p.run_until([&] { return has(client->text, "\"exact\":true"); });
  CHECK(has(client->text, R"("from":40,"rev":"1.6","to":100)"));
  CHECK(p.exit_code() == 0);
}

TEST_CASE("an invalid operator's file ends the program, with every fault and its line in the log") {
  event_loop::Loop loop;
  Program p(
      loop, make_configuration(1),
      "<winchhall xmlns=\"urn:winchhall:operator:1\">\n  <flight listen=\"127.0.0.1:0\" nodes=\"smoke\"/>\n"
      "  <ranges directory=\"127.0.0.1:99999\" most=\"0\"/>\n</winchhall>");
  CHECK(p.exit_code() == 1);
  p.run_until([&] { return has(p.log, "critical"); });
  CHECK(has(p.log, ":2: "));
  CHECK(has(p.log, "'frames', 'flight'"));
  CHECK(has(p.log, ":3: "));
}

TEST_CASE("without an operator's file the XML library is not loaded") {
  event_loop::Loop loop;
  Program p(loop, make_configuration(1));
  p.port("listens on port ");
  std::ifstream maps("/proc/" + std::to_string(p.pid) + "/maps");
  std::string all((std::istreambuf_iterator<char>(maps)), std::istreambuf_iterator<char>());
  CHECK(!all.empty());
  CHECK(!has(all, "libxml2"));
  CHECK(!has(all, "winchhall_operator"));
}

TEST_CASE("check and ranges: exit codes, lines, and a map from a file") {
  auto run = [](const std::string& words, std::string& out) {
    FILE* pipe = popen((std::string(WINCHHALL_PROGRAM) + " " + words + " 2>&1").c_str(), "r");
    REQUIRE(pipe);
    char buffer[4096];
    out.clear();
    for (std::size_t n; (n = fread(buffer, 1, sizeof buffer, pipe)) > 0;) out.append(buffer, n);
    return WEXITSTATUS(pclose(pipe));
  };
  std::string out, map = write_temporary_file(R"({"incarnation":1,"revision":4,
"ranges":[
 {"id":1,"from":0,"to":100,"weight":2,"holders":["a"]},
 {"id":2,"from":100,"to":9007199254740992,"holders":["b"]}]})");
  std::string gap = write_temporary_file(R"({"incarnation":1,"revision":5,
"ranges":[
 {"id":1,"from":0,"to":90,"holders":["a"]},
 {"id":2,"from":100,"to":9007199254740992,"holders":["b"]}]})");
  std::string broken = write_temporary_file("{\n\"ranges\": [,]}");
  std::string settings = write_temporary_file(make_configuration(1)), none = write_temporary_file("");
  CHECK(run("--version", out) == 0);
  CHECK(has(out, "winchhall "));
  CHECK(run("check " + map + " " + settings, out) == 0);
  CHECK(run("check " + map + " " + gap + " " + broken + " " + none, out) == 1);
  CHECK(has(out, gap + ":4: range 2 [100, 9007199254740992): a gap before it, from 90"));
  CHECK(has(out, broken + ":2: "));
  CHECK(has(out, none + ": is empty"));
  CHECK(run("ranges show " + map, out) == 0);
  CHECK(has(out, "1 [0, 100) weight 2 a\n"));
  CHECK(run("ranges plan " + map + " --span 50:150", out) == 0);
  CHECK(has(out, "part of range 1 [50, 100)"));
  CHECK(run("ranges plan " + map + " --span 150:50", out) == 2);
  CHECK(run("ranges diff " + map + " " + map, out) == 0);
  CHECK(run("ranges show " + gap, out) == 1);
  CHECK(run("frobnicate", out) == 2);
  for (const auto& path : {map, gap, broken, settings, none}) unlink(path.c_str());
}

namespace {

std::string nodes_file(const std::vector<int>& ports) {
  std::string all = "<nodes xmlns=\"urn:winchhall:files:1\">\n";
  for (std::size_t i = 0; i < ports.size(); ++i)
    all +=
        "<node id=\"f" + std::to_string(i) + "\" address=\"127.0.0.1:" + std::to_string(ports[i]) + "\"/>\n";
  return all + "</nodes>\n";
}

}  // namespace

TEST_CASE(
    "node files are followed while serving, a held change can be accepted, and the store suffices for a "
    "restart") {
  namespace fs = std::filesystem;
  event_loop::Loop loop;
  ScriptedLeaf leaf(loop);
  int port = leaf.listener.port();
  std::string root = write_temporary_file("");
  fs::remove(root);
  fs::create_directories(root + "/files");
  std::ofstream(root + "/files/nodes.xml") << nodes_file({port});
  std::string ops = "<winchhall xmlns=\"urn:winchhall:operator:1\"><files folder=\"" + root +
                    "/files\" store=\"" + root + "/store.db\"/></winchhall>";
  std::string config = make_configuration(1);
  config.replace(config.find("\"members\":["), config.find("]},") - config.find("\"members\":["),
                 "\"members\":[");
  {
    Program p(loop, config, ops);
    int at = p.port("listens on port ");
    auto client = p.connect(at);
    p.run_until([&] { return has(p.ask(*client, kReady), "200 OK"); });
    CHECK(has(p.ask(*client, HttpFixture::query("q1", kTwoParts)), "\"exact\":true"));
    // First a truncated file, then a complete one.
    std::ofstream(root + "/files/nodes.xml") << nodes_file({port, 1}).substr(0, 60);
    p.run_until([&] { return has(p.log, "files refused: "); });
    CHECK(has(p.ask(*client, HttpFixture::query("q2", kTwoParts)), "\"exact\":true"));
    std::ofstream(root + "/files/nodes.xml") << nodes_file({port, 1, 2});
    p.run_until([&] { return has(p.log, "number 2, 3 nodes"); });
    // Removing two of three nodes is held until an operator accepts it.
    std::ofstream(root + "/files/nodes.xml") << nodes_file({port});
    p.run_until([&] { return has(p.log, "files held: generation "); });
    std::size_t word = p.log.find("files held: generation ") + 23;
    std::string digest = p.log.substr(word, 16);
    pid_t tool = fork();
    if (tool == 0) {
      int null = open("/dev/null", O_WRONLY);
      dup2(null, 1);
      std::string store = root + "/store.db";
      execl(WINCHHALL_PROGRAM, WINCHHALL_PROGRAM, "files", "accept", store.c_str(), digest.c_str(), nullptr);
      _exit(127);
    }
    int status = 0;
    p.run_until([&] { return waitpid(tool, &status, WNOHANG) == tool; });
    CHECK(WEXITSTATUS(status) == 0);
    CHECK(has(p.log, "an operator's word: accept " + digest + ": done"));
    p.run_until([&] { return has(p.log, "kept 3") || has(p.ask(*client, kReady), "200 OK"); });
    REQUIRE(kill(p.pid, SIGKILL) == 0);
  }
  // Without the files and discovery it serves from the store.
  fs::remove_all(root + "/files");
  Program p(loop, config, ops);
  int at = p.port("listens on port ");
  auto client = p.connect(at);
  p.run_until([&] { return has(p.ask(*client, kReady), "200 OK"); });
  CHECK(has(p.log, "files restored: generation "));
  CHECK(has(p.ask(*client, HttpFixture::query("q9", kTwoParts)), "\"exact\":true"));
  fs::remove_all(root);
}

TEST_CASE("without an operator's file no store is opened and no file is watched") {
  event_loop::Loop loop;
  Program p(loop, make_configuration(1));
  p.port("listens on port ");
  std::ifstream maps("/proc/" + std::to_string(p.pid) + "/maps");
  std::string all((std::istreambuf_iterator<char>(maps)), std::istreambuf_iterator<char>());
  CHECK(!has(all, "sqlite"));
  std::size_t threads = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(p.pid) + "/task"))
    ++threads;
  CHECK(threads == 1);
  for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(p.pid) + "/fd")) {
    std::error_code removed;
    CHECK(!has(std::filesystem::read_symlink(entry.path(), removed).string(), "inotify"));
  }
}

TEST_CASE("an invalid configuration ends the program with an error message") {
  event_loop::Loop loop;
  for (const char* text : {"{", "{}", R"({"settings":{"services":[{"name":"a"}]},"listen":"nowhere"})"}) {
    Program p(loop, text);
    CHECK(p.exit_code() == 1);
    p.run_until([&] { return has(p.log, "critical"); });
  }
}

TEST_CASE(
    "after SIGTERM an incomplete request is answered, an idle client sees an orderly close, and the program "
    "exits") {
  event_loop::Loop loop;
  ScriptedLeaf leaf(loop);
  Program p(loop, make_configuration(leaf.listener.port()));
  int port = p.port("listens on port ");
  auto half_sent = p.connect(port), idle_client = p.connect(port);
  half_sent->stream->write("POST /lookup?k=7f3a HTTP/1.1\r\nHost: x\r\n");
  // The program listens before it is ready. Once it answers that it is, it has also read what the other
  // client sent before.
  p.run_until([&] { return has(p.ask(*idle_client, kReady), "200 OK"); });
  REQUIRE(kill(p.pid, SIGTERM) == 0);
  p.run_until([&] { return half_sent->is_closed && idle_client->is_closed; });
  CHECK(has(half_sent->text, " 408 "));
  CHECK_FALSE(half_sent->stream->reset());
  CHECK_FALSE(idle_client->stream->reset());
  CHECK(p.exit_code() == 0);
}
