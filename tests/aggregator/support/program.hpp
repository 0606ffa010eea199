// Starts the program as an operator does, for tests that connect to it over sockets.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "tests/aggregator/support/program_fixture.hpp"

namespace winchhall::testing {

// Writes a new file in TMPDIR and returns its path. The caller removes it.
inline std::string write_temporary_file(const std::string& text) {
  const char* dir = std::getenv("TMPDIR");
  std::string path = std::string(dir ? dir : "/tmp") + "/winchhall-test-XXXXXX";
  int fd = mkstemp(path.data());
  REQUIRE(fd >= 0);
  close(fd);
  std::ofstream(path) << text;
  return path;
}

// A configuration (JSON) with one leaf on 127.0.0.1.
inline std::string make_configuration(int leaf_port, const std::string& discovery = "127.0.0.1:1") {
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

// A process of the program with its log. `flight` is the text of an operator's file (XML) or of the older
// Flight file (JSON), `files` the limit of descriptors (0: unchanged), `folder` its TMPDIR. It is killed by
// the destructor.
class Program {
 public:
  Program(event_loop::Loop& loop, const std::string& config, const std::string& flight = "", rlim_t files = 0,
          const std::string& discovery = "", const std::string& folder = "")
      : loop_(loop),
        config_(write_temporary_file(config)),
        flight_(flight.empty() ? "" : write_temporary_file(flight)) {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    pid = fork();
    if (pid == 0) {
      dup2(ends[1], 2);
      close(ends[0]);
      setenv("LB_CONFIG", config_.c_str(), 1);
      for (const char* name :
           {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "WINCHHALL_FLIGHT", "WINCHHALL_OPERATOR"})
        unsetenv(name);
      if (!discovery.empty()) setenv("LB_DISCOVERY", discovery.c_str(), 1);
      if (!folder.empty()) setenv("TMPDIR", folder.c_str(), 1);
      bool xml = flight.find('<') == 0;
      if (!flight_.empty()) setenv(xml ? "WINCHHALL_OPERATOR" : "WINCHHALL_FLIGHT", flight_.c_str(), 1);
      rlimit limit{files, files};
      if (files > 0) setrlimit(RLIMIT_NOFILE, &limit);
      execl(WINCHHALL_PROGRAM, WINCHHALL_PROGRAM, nullptr);
      _exit(127);
    }
    close(ends[1]);
    log_ = event_loop::UniqueFd(ends[0]);
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
  void run_until(const std::function<bool()>& done) {
    event_loop::Millis give_up = loop_.now() + 60000;  // only ends a test that hangs
    while (!done()) {
      loop_.run_once(20);
      INFO(log);
      REQUIRE(loop_.now() < give_up);
    }
  }
  // Waits for a log line with `before` and returns the number after it.
  int port(const std::string& before) {
    std::size_t at = std::string::npos;
    run_until([&] {
      return (at = log.find(before)) != std::string::npos && log.find('\n', at) != std::string::npos;
    });
    return std::stoi(log.substr(at + before.size()));
  }
  // Replaces the configuration file and sends SIGHUP.
  void reload(const std::string& config) {
    std::ofstream(config_) << config;
    REQUIRE(kill(pid, SIGHUP) == 0);
  }
  // Waits for the end of the process; -1 if a signal ended it.
  int exit_code() {
    int status = 0;
    run_until([&] { return waitpid(pid, &status, WNOHANG) == pid; });
    pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::shared_ptr<Peer> connect(int to) {
    auto peer = std::make_shared<Peer>(loop_);
    peer->connect(to);
    return peer;
  }
  // Sends a request and waits for its response.
  std::string ask(Peer& peer, const std::string& request) {
    peer.text.clear();
    peer.stream->write(request);
    run_until([&] {
      return has(peer.text, "\r\n\r\n") &&
             (!has(peer.text, "200 OK") || !has(request, "POST") || has(peer.text, "]}"));
    });
    return peer.text;
  }

  pid_t pid = 0;
  std::string log;

 private:
  event_loop::Loop& loop_;
  std::string config_, flight_;
  event_loop::UniqueFd log_;
};

inline const char kReady[] = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

}  // namespace winchhall::testing
