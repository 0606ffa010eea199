// Starts the program as an operator would and speaks to it over sockets.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>

#include "stage.hpp"

using namespace winchhall;
using namespace winchhall::testing;

namespace {

std::string temporary(const std::string& text) {
  const char* dir = std::getenv("TMPDIR");
  std::string path = std::string(dir ? dir : "/tmp") + "/winchhall-test-XXXXXX";
  int fd = mkstemp(path.data());
  REQUIRE(fd >= 0);
  close(fd);
  std::ofstream(path) << text;
  return path;
}

std::string configuration(int leaf_port, const std::string& discovery = "127.0.0.1:1") {
  return R"({"name":"t0","listen":"127.0.0.1:0","discovery":")" + discovery + R"(","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
    "known":{"revision":1,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:)" +
         std::to_string(leaf_port) +
         R"(","locality":"a","cell":0,"phase":"ready","size":1.0,"up_since_ms":0}]},
    "settings":{"balancers":1,"services":[{"name":"lookup","objective":3000,"hard_limit":20000,"gain":1,
      "late_share":0.3,"semantics":"free"}],"tenants":[{"name":"acme","quota_per_s":4}],
      "extra":{"positions":1,"reach":1,"slabs":16,"batch":1,"need_by_class":[1],"floor_by_class":[1]},
      "permissions":{"cancel":true,"max_attempts":3,"max_open":125,"streams_per_conn":32,"conn_idle":30000,
      "connect_timeout":250,"retry_after":true,"max_retry_after":2000},"rules":{"must_ask_in":10000},
      "membership_mode":"on_request","report":{"fields":["busy_reqs"],"how":"inline"},"tick":5}})";
}

class Program {
 public:
  Program(net::Loop& loop, const std::string& config, const std::string& flight = "", rlim_t files = 0,
          const std::string& discovery = "")
      : loop_(loop), config_(temporary(config)), flight_(flight.empty() ? "" : temporary(flight)) {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    pid = fork();
    if (pid == 0) {
      dup2(ends[1], 2);
      close(ends[0]);
      setenv("LB_CONFIG", config_.c_str(), 1);
      for (const char* name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "WINCHHALL_FLIGHT"}) unsetenv(name);
      if (!discovery.empty()) setenv("LB_DISCOVERY", discovery.c_str(), 1);
      if (!flight_.empty()) setenv("WINCHHALL_FLIGHT", flight_.c_str(), 1);
      rlimit limit{files, files};
      if (files > 0) setrlimit(RLIMIT_NOFILE, &limit);
      execl(WINCHHALL_PROGRAM, WINCHHALL_PROGRAM, nullptr);
      _exit(127);
    }
    close(ends[1]);
    log_ = net::UniqueFd(ends[0]);
    fcntl(log_.get(), F_SETFL, O_NONBLOCK);
    loop_.add(log_.get(), POLLIN, [this](short) {
      char buffer[4096];
      ssize_t n = read(log_.get(), buffer, sizeof buffer);
      if (n > 0) log.append(buffer, static_cast<std::size_t>(n));
      if (n == 0) loop_.remove(log_.get());
    });
  }
  ~Program() {
    loop_.remove(log_.get());
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    unlink(config_.c_str());
    if (!flight_.empty()) unlink(flight_.c_str());
  }
  void until(const std::function<bool()>& done) {
    net::Millis give_up = loop_.now() + 60000;  // only ends a test that hangs
    while (!done()) {
      loop_.turn(20);
      INFO(log);
      REQUIRE(loop_.now() < give_up);
    }
  }
  int port(const std::string& before) {
    std::size_t at = std::string::npos;
    until([&] {
      return (at = log.find(before)) != std::string::npos && log.find('\n', at) != std::string::npos;
    });
    return std::stoi(log.substr(at + before.size()));
  }
  void reload(const std::string& config) {
    std::ofstream(config_) << config;
    REQUIRE(kill(pid, SIGHUP) == 0);
  }
  int exit_code() {
    int status = 0;
    until([&] { return waitpid(pid, &status, WNOHANG) == pid; });
    pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::shared_ptr<Peer> dial(int to) {
    auto peer = std::make_shared<Peer>(loop_);
    peer->dial(to);
    return peer;
  }
  std::string ask(Peer& peer, const std::string& request) {
    peer.text.clear();
    peer.stream->write(request);
    until([&] {
      return has(peer.text, "\r\n\r\n") &&
             (!has(peer.text, "200 OK") || !has(request, "POST") || has(peer.text, "]}"));
    });
    return peer.text;
  }

  pid_t pid = 0;
  std::string log;

 private:
  net::Loop& loop_;
  std::string config_, flight_;
  net::UniqueFd log_;
};

const char kReady[] = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

}  // namespace

TEST_CASE("it serves, and after SIGTERM finishes what it took and what still arrives, then exits with 0") {
  net::Loop loop;
  ScriptedLeaf leaf(loop);
  Program p(loop, configuration(leaf.listener.port()));
  int port = p.port("listens on port ");
  auto client = p.dial(port), other = p.dial(port), front = p.dial(port);
  p.until([&] { return has(p.ask(*client, kReady), "200 OK"); });
  CHECK(has(p.ask(*client, Stage::query("q1", kTwoParts)), "\"exact\":true"));

  std::vector<ScriptedLeaf::Part> held;
  leaf.on_part = [&](const ScriptedLeaf::Part& part) { held.push_back(part); };
  client->text.clear();
  client->stream->write(Stage::query("q2", kTwoParts, "lookup", 20000));
  p.until([&] { return held.size() == 2; });
  // Two requests are half there when the signal comes, so that no haste is needed for their other halves.
  std::string late = Stage::query("q3", R"({"id":1,"w":1})", "lookup", 20000);
  front->stream->write(std::string(kReady, 20));
  other->stream->write(late.substr(0, 40));
  p.until([&] { return front->stream->unsent() + other->stream->unsent() == 0; });
  REQUIRE(kill(p.pid, SIGTERM) == 0);
  p.until([&] { return has(p.log, "phase draining"); });
  front->stream->write(kReady + 20);
  other->stream->write(late.substr(40));
  p.until([&] { return has(front->text, "HTTP/1.1 503"); });
  p.until([&] { return held.size() == 3; });
  for (const auto& part : held) ScriptedLeaf::answer(part);
  p.until([&] { return has(client->text, "\"exact\":true") && has(other->text, "\"exact\":true"); });
  CHECK(p.exit_code() == 0);
  CHECK(has(p.log, "phase draining"));
  CHECK(has(p.log, "phase stopped"));
}

TEST_CASE("SIGHUP moves discovery by the file, keeps list and drains, and a bad file changes nothing") {
  net::Loop loop;
  ScriptedLeaf leaf(loop), second(loop);
  ScriptedDiscovery first(loop), moved(loop), last(loop);
  int port = leaf.listener.port();
  Program p(loop, configuration(port, first.address()), "", 0, first.address());
  auto client = p.dial(p.port("listens on port "));
  p.until([&] { return first.calls.size() == 1; });
  first.tell(7, ScriptedDiscovery::row("s-2", second.listener.port()));
  p.until([&] { return has(p.log, "discovery revision 7"); });

  for (const char* bad : {"", "{", "{}", R"({"discovery":"127.0.0.1:2","settings":{"services":7}})"}) {
    p.log.clear();
    p.reload(bad);
    p.until([&] { return has(p.log, "configuration not taken over"); });
  }
  std::string spoilt = configuration(port, moved.address());
  p.log.clear();
  p.reload(spoilt.replace(spoilt.find("1024"), 4, "\"1\""));
  p.until([&] { return has(p.log, "'sockets' in the configuration is no number"); });
  CHECK(!first.peers[0]->over);
  CHECK(moved.calls.empty());

  p.reload(configuration(port, moved.address()));
  p.until([&] { return moved.calls.size() == 1 && first.peers[0]->over; });
  CHECK(has(moved.calls[0], "watch=1&after=7 "));
  moved.tell(9, ScriptedDiscovery::row("s-1", port, "draining"));
  p.until([&] { return has(p.log, "discovery revision 9"); });
  for (int i = 0; i < 4; ++i)
    CHECK(has(p.ask(*client, Stage::query("q" + std::to_string(i), kTwoParts)), "\"exact\":true"));
  CHECK(leaf.parts.empty());
  CHECK(second.parts.size() == 8);

  // While draining it moves as well: what was taken still needs the list.
  client->stream->write(std::string(kReady, 20));
  p.until([&] { return client->stream->unsent() == 0; });
  REQUIRE(kill(p.pid, SIGTERM) == 0);
  p.until([&] { return has(p.log, "phase draining"); });
  p.reload(configuration(port, last.address()));
  p.until([&] { return last.calls.size() == 1; });
  CHECK(has(last.calls[0], "watch=1&after=9 "));
  client->stream->write(kReady + 20);
  CHECK(p.exit_code() == 0);
}

TEST_CASE("out of descriptors it waits, and serves again when clients leave") {
  net::Loop loop;
  ScriptedLeaf leaf(loop);
  Program p(loop, configuration(leaf.listener.port()), "", 24);
  int port = p.port("listens on port ");
  auto first = p.dial(port);
  p.until([&] { return has(p.ask(*first, kReady), "200 OK"); });
  CHECK(has(p.ask(*first, Stage::query("q1", kTwoParts)), "\"exact\":true"));
  std::vector<std::shared_ptr<Peer>> crowd;
  for (int i = 0; i < 60; ++i) crowd.push_back(p.dial(port));
  for (int i = 0; i < 5; ++i) CHECK(has(p.ask(*first, kReady), "200 OK"));
  for (auto& peer : crowd) peer->stream->close();
  auto late = p.dial(port);
  CHECK(has(p.ask(*late, Stage::query("q2", kTwoParts)), "\"exact\":true"));
}

TEST_CASE("the Flight front is off, and an operator's file turns it on") {
  net::Loop loop;
  ScriptedLeaf leaf(loop);
  {
    Program p(loop, configuration(leaf.listener.port()));
    p.port("listens on port ");
    CHECK(!has(p.log, "Flight on port"));
  }
  Program p(loop, configuration(leaf.listener.port()), R"({"enabled":true,"listen":"127.0.0.1:0"})");
  auto analyst = p.dial(p.port("Flight on port "));
  analyst->stream->write(std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") +
                         std::string("\0\0\0\x04\0\0\0\0\0", 9));
  p.until([&] { return analyst->text.size() >= 9; });
  CHECK(analyst->text[3] == 4);  // the server's settings
}

TEST_CASE("a configuration that cannot be used ends the program with a plain message") {
  net::Loop loop;
  for (const char* text : {"{", "{}", R"({"settings":{"services":[{"name":"a"}]},"listen":"nowhere"})"}) {
    Program p(loop, text);
    CHECK(p.exit_code() == 1);
    p.until([&] { return has(p.log, "critical"); });
  }
}
