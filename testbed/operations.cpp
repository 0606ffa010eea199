// Operations under load: a seeded history of drains, resumes, configuration reloads, upgrades, kills and
// SIGSTOPs of one aggregator, while clients send queries. The checks compare what clients and leafs observed
// with the rules.
#include <signal.h>
#include <stdlib.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "testbed/directory.hpp"
#include "testbed/experiments.hpp"
#include "testbed/operations_parts.hpp"
#include "testbed/process.hpp"
#include "testbed/prompt_leaf.hpp"
#include "testbed/random.hpp"

namespace winchhall::testbed {
namespace {

using nlohmann::json;
constexpr Millis kQueryTimeout = 4000;            // X-Timeout of each query
constexpr Millis kAdminReplyTimeout = 1000;       // for a reply on the admin port
constexpr Millis kConnectionDrainTimeout = 4000;  // from drain to the last idle client connection closed
constexpr Millis kDrainGrace = 2000;              // the configured drain_grace of a leaf
constexpr Millis kShutdownTimeout = 8700;         // from SIGTERM to SIGKILL: the longest deadline plus 0.7 s
constexpr Millis kStartTimeout = 6000;            // for a new process to become ready
constexpr Millis kFinalStopLead = 100;            // clients still send after the stop of `stop_at_end`

class OperationsExperiment {
 public:
  explicit OperationsExperiment(const OperationsOptions& o)
      : options_(o), random_(o.common.seed), roster_(loop_, false) {
    folder_ = (std::filesystem::temp_directory_path() / "winchhall-operations-XXXXXX").string();
    if (!mkdtemp(folder_.data()))
      throw std::runtime_error("mkdtemp failed for the processes' folder: " + folder_);
    setenv("TMPDIR", folder_.c_str(), 1);
    for (std::size_t i = 0; i < o.leafs; ++i) {
      leafs_.push_back(
          std::make_unique<PromptLeaf>(loop_, [this, i](const std::string& part) { part_arrived(i, part); }));
      set_leaf_phase(i, "ready");
    }
    start();
  }
  ~OperationsExperiment() {
    current_.reset();
    old_.reset();
    std::error_code none;
    std::filesystem::remove_all(folder_, none);
  }

  OperationsResult run() {
    Millis end = loop_.now() + options_.common.seconds * 1000;
    clients_.resize(options_.clients);
    for (Client& c : clients_) c.next_at = loop_.now() + random_.between(0, 200);
    Millis next_step_at = loop_.now() + 1000;
    while (loop_.now() < end || open() > 0 || (options_.stop_at_end && !final_stop_done_)) {
      Millis before = loop_.now();
      loop_.run_once(5);
      Millis now = loop_.now();
      bool past_end = now >= end;
      if (!current_->logged("phase ready")) result_.unready_ms += now - before;
      if (options_.stop_at_end && now >= end - kFinalStopLead && !final_stop_done_) {
        final_stop_done_ = true;
        end = now + kFinalStopLead;
        past_end = false;
        if (!stopped_) next_step_at = now + stop();
      }
      for (Client& c : clients_) update_client(c, past_end, now);
      check_progress(now);
      // A stopped process is continued after the end too: otherwise its open queries are never answered.
      if (now >= next_step_at && (!past_end || stopped_)) next_step_at = now + run_next_step(now);
      if (now > end + 20000) break;  // queries still open by now are reported as lost
    }
    for (Client& c : clients_)
      if (c.waiting) result_.record_violation("lost", c.id + " has no reply at the end of the run");
    return result_;
  }

 private:
  std::size_t open() const {
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(), [](auto& c) { return c.waiting; }));
  }

  void set_leaf_phase(std::size_t leaf, const std::string& phase) {
    roster_.set({"leaf-" + std::to_string(leaf), "127.0.0.1:" + std::to_string(leafs_[leaf]->port()), "",
                 static_cast<int>(leaf), phase, 0});
  }

  json config() const {
    json services = json::array(), ones = json::array();
    for (int i = 0; i < classes_; ++i) {
      services.push_back({{"name", "class" + std::to_string(i)},
                          {"objective", 2000},
                          {"hard_limit", 8000},
                          {"late_share", 0.3},
                          {"gain", 1},
                          {"semantics", "free"}});
      ones.push_back(1);
    }
    return json{{"name", "ops"},
                {"listen", "127.0.0.1:" + std::to_string(port_)},
                {"control", "127.0.0.1:0"},
                {"discovery", roster_.address()},
                {"seed", "7"},
                {"limits", {{"sockets", 1024}}},
                {"known", json::parse(roster_.full_list())},
                {"settings",
                 {{"balancers", 3},
                  {"membership_mode", "on_request"},
                  {"tick", 5},
                  {"services", services},
                  {"extra",
                   {{"positions", leafs_.size()},
                    {"reach", 3},
                    {"slabs", leafs_.size()},
                    {"need_by_class", ones},
                    {"floor_by_class", ones}}},
                  {"permissions",
                   {{"cancel", true},
                    {"max_attempts", attempts_},
                    {"max_open", 2000},
                    {"streams_per_conn", 32},
                    {"conn_idle", 30000},
                    {"connect_timeout", 250}}},
                  {"rules", {{"must_ask_in", 10000}, {"drain_grace", kDrainGrace}}},
                  {"report", {{"how", "inline"}, {"fields", json::array({"busy_reqs"})}}}}}};
  }

  std::unique_ptr<Process> launch_process() {
    auto p = std::make_unique<Process>(loop_, options_.common.program, config().dump(), "");
    p->start();
    return p;
  }
  void start() {
    current_ = launch_process();
    Millis end = loop_.now() + 30000;
    while (!current_->logged("phase ready") || current_->number_after("listens on port ") == 0) {
      loop_.run_once(5);
      int status = 0;
      if (loop_.now() > end || current_->ended(status))
        throw std::runtime_error("aggregator not ready within 30 s, or ended while starting; its log:\n" +
                                 current_->log());
    }
    port_ = current_->number_after("listens on port ");
  }

  // ---- Clients and leafs
  void part_arrived(std::size_t leaf, const std::string& part) {
    if (++attempts_by_part_[part] > 4)
      result_.record_violation("attempts",
                               part + " was sent more than 4 times, the most that any settings allowed");
    auto it = draining_leafs_.find(leaf);
    if (it != draining_leafs_.end() && loop_.now() - it->second > kDrainGrace + options_.common.slack_ms)
      result_.record_violation(
          "drains", part + " was sent to leaf-" + std::to_string(leaf) + " after its drain grace of 2 s");
  }

  void update_client(Client& c, bool past_end, Millis now) {
    if (c.connection && !c.waiting && c.connection->closed) c.connection.reset();
    if (!c.waiting) {
      if (past_end || now < c.next_at) return;
      c.id = "o" + std::to_string(++result_.asked);
      c.resent = false;
      return send(c, now);
    }
    c.parser.feed(c.connection->text);
    if (c.parser.done()) {
      int status = c.parser.message().status;
      if (status == 200 && c.parser.message().body.find("\"exact\":true") != std::string::npos)
        ++result_.whole;
      else if (status == 429 || status == 503)
        ++result_.refused;
      else
        ++result_.failed;
      if (!c.connection->text.empty())
        result_.record_violation("double", c.id + " got bytes after its reply");
      bool keep = c.parser.message().keep_alive();
      c.parser.reset();
      c.waiting = false;
      c.next_at = now + random_.between(5, 400);
      if (!keep) c.connection.reset();
      return;
    }
    if (c.connection->closed) return handle_connection_loss(c, now);
    if (now > c.asked_at + kQueryTimeout + 500 + options_.common.slack_ms) {
      result_.record_violation("lost", c.id + " has no reply 500 ms after its timeout of 4000 ms");
      c.waiting = false;
      c.connection.reset();
      c.parser.reset();
    }
  }

  // Handles a connection that ended without a reply. The server may have closed an idle connection while the
  // request was on its way, so the query is sent once more on a new connection; a second loss is a violation.
  void handle_connection_loss(Client& c, Millis now) {
    c.parser.reset();
    if (c.asked_at <= interrupted_at_ + 100 || now <= interrupted_at_ + 500) {
      ++result_.excused;
    } else if (!c.resent) {
      c.resent = true;
      ++result_.sent_again;
      return send(c, now);
    } else {
      result_.record_violation("lost", c.id + " lost its connection twice without a reply");
    }
    c.waiting = false;
    c.connection.reset();
    c.next_at = now + 100;
  }

  void send(Client& c, Millis now) {
    c.new_connection = !c.connection || c.connection->closed || c.resent;
    if (c.new_connection) c.connection = std::make_unique<Connection>(loop_, port_);
    std::size_t n = leafs_.size(), first = random_.below(n);
    std::string body = "{\"parts\":[{\"id\":" + std::to_string(first) +
                       ",\"w\":0.5},{\"id\":" + std::to_string((first + 1) % n) +
                       ",\"w\":0.5}],\"expr\":\"x\"}";
    // Added classes are used from 1.2 s after the reload on, removed ones not after the reload.
    c.connection->stream->write("POST /class" +
                                std::to_string(random_.below(static_cast<std::size_t>(classes_used_))) +
                                "?k=1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + c.id + (c.resent ? "b" : "") +
                                "\r\nX-Timeout: " + std::to_string(static_cast<int>(kQueryTimeout)) +
                                "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    c.asked_at = now;
    c.waiting = true;
  }

  // ---- Operator actions
  void send_admin_command(const char* command, bool expect_ack) {
    int admin_port = current_->number_after("operators' door on port ");
    if (admin_port == 0)
      return result_.record_violation("door", std::string(command) + ": the log names no admin port");
    admin_commands_.push_back(
        {std::make_unique<Connection>(loop_, admin_port), command, loop_.now(), expect_ack});
    admin_commands_.back().connection->stream->write(std::string(command) + "\n");
  }

  void check_progress(Millis now) {
    if (classes_used_ != classes_ && now >= classes_used_from_) classes_used_ = classes_;
    for (auto it = admin_commands_.begin(); it != admin_commands_.end();) {
      bool replied = it->connection->text.find('\n') != std::string::npos;
      if (!replied && !it->connection->closed &&
          now < it->at + kAdminReplyTimeout + options_.common.slack_ms) {
        ++it;
        continue;
      }
      if (replied) result_.worst_admin_reply_ms = std::max(result_.worst_admin_reply_ms, now - it->at);
      if (!replied) result_.record_violation("door", it->command + " has no reply within 1 s");
      if (replied && (it->connection->text.find("ACK") == 0) != it->expect_ack)
        result_.record_violation("door", it->command + ": " + it->connection->text);
      it = admin_commands_.erase(it);
    }
    int status = 0;
    if (current_->ended(status))
      result_.record_violation("crash",
                               "the process ended unexpectedly with status " + std::to_string(status));
    if (old_ && old_->ended(status)) {
      if (status != 0)
        result_.record_violation("crash", "the old process ended with status " + std::to_string(status));
      old_.reset();
    }
    if (old_ && sigterm_at_ > 0 && now > sigterm_at_ + kShutdownTimeout) {
      result_.record_violation("leaving", "the old process still runs 8.7 s after SIGTERM");
      old_.reset();
    }
    if (drained_at_ > 0 && now > drained_at_ + kConnectionDrainTimeout && !idle_checked_) {
      idle_checked_ = true;
      for (const Client& c : clients_)
        if (!c.waiting && c.connection && !c.connection->closed)
          result_.record_violation("away", "a connection is still open and idle 4 s after drain");
    }
    for (auto it = draining_leafs_.begin(); it != draining_leafs_.end();)
      if (now > it->second + 6000) {
        set_leaf_phase(it->first, "ready");
        it = draining_leafs_.erase(it);
      } else {
        ++it;
      }
  }

  // Runs one step of the history. Returns the time in ms until the next.
  Millis run_next_step(Millis now) {
    if (stopped_) {
      (old_ && random_.chance(0.5) ? old_ : current_)->signal(SIGCONT);
      current_->signal(SIGCONT);
      stopped_ = false;
      interrupted_at_ = now;  // queries that timed out while the process was stopped are excused
      return 1500;
    }
    if (drained_at_ > 0) {
      if (now < drained_at_ + kConnectionDrainTimeout + 200) return 200;
      send_admin_command("resume", true);
      ++result_.resumes;
      drained_at_ = 0;
      for (Client& c : clients_) c.next_at = std::max(c.next_at, now + 500);
      return 2000;
    }
    switch (random_.below(6)) {
      case 0:
        send_admin_command("drain", true);
        ++result_.drains;
        drained_at_ = now;
        idle_checked_ = false;
        // The load balancer opens no new connections during a drain; open ones are used until they are
        // closed.
        for (Client& c : clients_)
          if (!c.connection || c.connection->closed)
            c.next_at = std::max(c.next_at, now + kConnectionDrainTimeout + 1000);
        return 500;
      case 1:
      case 2: {
        classes_ = 1 + static_cast<int>(random_.below(4));
        attempts_ = 2 + static_cast<int>(random_.below(3));
        std::string text = config().dump();
        bool truncated = random_.chance(0.5);
        if (truncated) {
          current_->write_config(text.substr(0, random_.below(text.size())));
          current_->signal(SIGHUP);
          classes_ = classes_used_;
          return 300;
        }
        current_->write_config(text);
        current_->signal(SIGHUP);
        ++result_.reloads;
        classes_used_ = std::min(classes_used_, classes_);
        classes_used_from_ = now + 1200;
        return 2000;
      }
      case 3:
        if (old_) return 200;
        return upgrade(now);
      case 4: {
        std::size_t leaf = random_.below(leafs_.size());
        if (!draining_leafs_.empty()) return 100;
        set_leaf_phase(leaf, "draining");
        draining_leafs_[leaf] = now;
        return 500;
      }
      default:
        if (old_ || random_.chance(0.5)) return 200;
        return stop();
    }
  }

  // Stops the process with SIGSTOP. Returns the time in ms after which run_next_step() continues it.
  Millis stop() {
    ++result_.stops;
    current_->signal(SIGSTOP);
    stopped_ = true;
    return random_.between(300, 1500);
  }

  Millis upgrade(Millis now) {
    ++result_.upgrades;
    classes_used_ = classes_;
    auto replacement = launch_process();
    Millis until = now + kStartTimeout + options_.common.slack_ms;
    bool kill_early = random_.chance(0.25);
    Millis kill_at = now + random_.between(0, 800);
    while (!replacement->logged("phase ready")) {
      loop_.run_once(5);
      Millis t = loop_.now();
      for (Client& c : clients_) update_client(c, false, t);
      int status = 0;
      if (replacement->ended(status)) {
        result_.record_violation(
            "start", "the new process ended while starting with status " + std::to_string(status));
        return 1000;
      }
      if (t > until) {
        result_.record_violation("start", "the new process is not ready within 6 s");
        return 1000;
      }
      if (kill_early && t > kill_at) break;
    }
    if (kill_early) {
      ++result_.kills;
      interrupted_at_ = loop_.now();
      replacement->kill();
      return 1500;
    }
    old_ = std::move(current_);
    current_ = std::move(replacement);
    old_->signal(SIGTERM);
    sigterm_at_ = loop_.now();
    return 2500;
  }

  struct AdminCommand {
    std::unique_ptr<Connection> connection;
    std::string command;
    Millis at = 0;
    bool expect_ack = true;
  };
  OperationsOptions options_;
  Random random_;
  event_loop::Loop loop_;
  std::string folder_;
  Roster roster_;
  std::vector<std::unique_ptr<PromptLeaf>> leafs_;
  std::unique_ptr<Process> current_, old_;
  std::vector<Client> clients_;
  std::vector<AdminCommand> admin_commands_;
  std::map<std::string, int> attempts_by_part_;
  std::map<std::size_t, Millis> draining_leafs_;
  int port_ = 0, classes_ = 2, classes_used_ = 2, attempts_ = 3;
  Millis classes_used_from_ = 0, drained_at_ = 0, sigterm_at_ = 0, interrupted_at_ = -1e9;
  bool idle_checked_ = true, stopped_ = false, final_stop_done_ = false;
  OperationsResult result_;
};

}  // namespace

int operations(const OperationsOptions& options) {
  OperationsResult f = OperationsExperiment(options).run();
  std::size_t violations = 0;
  for (const auto& [rule, times] : f.violations) violations += times;
  json out = report(options, f);
  std::printf("%s\n", out.dump(2).c_str());
  if (!options.common.json.empty()) std::ofstream(options.common.json) << out.dump(2) << "\n";
  return violations > 0 || f.whole == 0 ? 1 : 0;
}

}  // namespace winchhall::testbed
