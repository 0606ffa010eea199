// Operators at work under load: seeded histories of sending away, calling back, new settings, replacing,
// killing and stopping a process of one aggregator, with a checker of its own. The reference is what clients
// and leafs saw.
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
constexpr Millis kTimeout = 4000;       // ms of a client's patience
constexpr Millis kDoorWithin = 1000;    // ms for the door to answer
constexpr Millis kAwayWithin = 4000;    // ms until no client is left
constexpr Millis kDrainGrace = 2000;    // ms after a leaf's drain was told
constexpr Millis kLeaveWithin = 8700;   // ms from SIGTERM to SIGKILL: the longest deadline and 0.7 s
constexpr Millis kStartWithin = 6000;   // ms for a new process to say yes
constexpr Millis kFinalStopLead = 100;  // ms that clients still ask after the stop of `stop_at_end`

class Play {
 public:
  explicit Play(const Operations& o) : options_(o), random_(o.common.seed), roster_(loop_, false) {
    folder_ = (std::filesystem::temp_directory_path() / "winchhall-operations-XXXXXX").string();
    if (!mkdtemp(folder_.data())) throw std::runtime_error("no folder for the processes");
    setenv("TMPDIR", folder_.c_str(), 1);
    for (std::size_t i = 0; i < o.leafs; ++i) {
      leafs_.push_back(
          std::make_unique<PromptLeaf>(loop_, [this, i](const std::string& part) { arrived(i, part); }));
      tell(i, "ready");
    }
    start();
  }
  ~Play() {
    current_.reset();
    old_.reset();
    std::error_code none;
    std::filesystem::remove_all(folder_, none);
  }

  Found run() {
    Millis end = loop_.now() + options_.common.seconds * 1000;
    clients_.resize(options_.clients);
    for (Client& c : clients_) c.next_at = loop_.now() + random_.between(0, 200);
    Millis act_at = loop_.now() + 1000;
    while (loop_.now() < end || open() > 0 || (options_.stop_at_end && !final_stop_done_)) {
      Millis before = loop_.now();
      loop_.run_once(5);
      Millis now = loop_.now();
      bool over = now >= end;
      if (!current_->said("phase ready")) found_.unready_ms += now - before;
      if (options_.stop_at_end && now >= end - kFinalStopLead && !final_stop_done_) {
        final_stop_done_ = true;
        end = now + kFinalStopLead;
        over = false;
        if (!stopped_) act_at = now + stop();
      }
      for (Client& c : clients_) serve(c, over, now);
      watch(now);
      // A stopped process is continued after the end too: otherwise its open queries are never answered.
      if (now >= act_at && (!over || stopped_)) act_at = now + act(now);
      if (now > end + 20000) break;  // what is open by now is lost
    }
    for (Client& c : clients_)
      if (c.waiting) found_.broke("lost", c.id + " never got its answer");
    return found_;
  }

 private:
  std::size_t open() const {
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(), [](auto& c) { return c.waiting; }));
  }

  void tell(std::size_t leaf, const std::string& phase) {
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
                {"known", json::parse(roster_.whole())},
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

  std::unique_ptr<Process> launch() {
    auto p = std::make_unique<Process>(loop_, options_.common.program, config().dump(), "");
    p->start();
    return p;
  }
  void start() {
    current_ = launch();
    Millis end = loop_.now() + 30000;
    while (!current_->said("phase ready") || current_->number_after("listens on port ") == 0) {
      loop_.run_once(5);
      int status = 0;
      if (loop_.now() > end || current_->ended(status))
        throw std::runtime_error("the aggregator does not start:\n" + current_->log());
    }
    port_ = current_->number_after("listens on port ");
  }

  // ---- What clients and leafs see
  void arrived(std::size_t leaf, const std::string& part) {
    if (++attempts_of_[part] > 4)
      found_.broke("attempts", part + " was sent more often than settings ever allowed");
    auto it = drained_.find(leaf);
    if (it != drained_.end() && loop_.now() - it->second > kDrainGrace + options_.common.slack_ms)
      found_.broke("drains", part + " to a leaf that drains");
  }

  void serve(Client& c, bool over, Millis now) {
    if (c.line && !c.waiting && c.line->over) c.line.reset();
    if (!c.waiting) {
      if (over || now < c.next_at) return;
      c.id = "o" + std::to_string(++found_.asked);
      c.resent = false;
      return send(c, now);
    }
    c.parser.feed(c.line->text);
    if (c.parser.done()) {
      int status = c.parser.message().status;
      if (status == 200 && c.parser.message().body.find("\"exact\":true") != std::string::npos)
        ++found_.whole;
      else if (status == 429 || status == 503)
        ++found_.refused;
      else
        ++found_.failed;
      if (!c.line->text.empty()) found_.broke("double", c.id + " got more than its answer");
      bool keep = c.parser.message().keep_alive();
      c.parser.reset();
      c.waiting = false;
      c.next_at = now + random_.between(5, 400);
      if (!keep) c.line.reset();
      return;
    }
    if (c.line->over) return broken(c, now);
    if (now > c.asked_at + kTimeout + 500 + options_.common.slack_ms) {
      found_.broke("lost", c.id + " has no answer in its time");
      c.waiting = false;
      c.line.reset();
      c.parser.reset();
    }
  }

  // Its connection ended without an answer. One that closed between requests crossed it: it is sent once
  // more.
  void broken(Client& c, Millis now) {
    c.parser.reset();
    if (c.asked_at <= killed_at_ + 100 || now <= killed_at_ + 500) {
      ++found_.excused;
    } else if (!c.resent) {
      c.resent = true;
      ++found_.at_door;
      return send(c, now);
    } else {
      found_.broke("lost", c.id + " ended twice without an answer");
    }
    c.waiting = false;
    c.line.reset();
    c.next_at = now + 100;
  }

  void send(Client& c, Millis now) {
    c.fresh = !c.line || c.line->over || c.resent;
    if (c.fresh) c.line = std::make_unique<Line>(loop_, port_);
    std::size_t n = leafs_.size(), first = random_.below(n);
    std::string body = "{\"parts\":[{\"id\":" + std::to_string(first) +
                       ",\"w\":0.5},{\"id\":" + std::to_string((first + 1) % n) +
                       ",\"w\":0.5}],\"expr\":\"x\"}";
    // A new class is named from 1.2 s after the order on, and one that goes is not named from the order on.
    c.line->stream->write("POST /class" + std::to_string(random_.below(static_cast<std::size_t>(named_))) +
                          "?k=1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + c.id + (c.resent ? "b" : "") +
                          "\r\nX-Timeout: " + std::to_string(static_cast<int>(kTimeout)) +
                          "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    c.asked_at = now;
    c.waiting = true;
  }

  // ---- What operators do
  void call(const char* word, bool wanted) {
    int door = current_->number_after("operators' door on port ");
    if (door == 0) return found_.broke("door", std::string(word) + ": there is none");
    calls_.push_back({std::make_unique<Line>(loop_, door), word, loop_.now(), wanted});
    calls_.back().line->stream->write(std::string(word) + "\n");
  }

  void watch(Millis now) {
    if (named_ != classes_ && now >= named_at_) named_ = classes_;
    for (auto it = calls_.begin(); it != calls_.end();) {
      bool told = it->line->text.find('\n') != std::string::npos;
      if (!told && !it->line->over && now < it->at + kDoorWithin + options_.common.slack_ms) {
        ++it;
        continue;
      }
      if (told) found_.door_worst = std::max(found_.door_worst, now - it->at);
      if (!told) found_.broke("door", it->word + " has no answer in 1 s");
      if (told && (it->line->text.find("ACK") == 0) != it->wanted)
        found_.broke("door", it->word + ": " + it->line->text);
      it = calls_.erase(it);
    }
    int status = 0;
    if (current_->ended(status))
      found_.broke("crash", "the process ended by itself, status " + std::to_string(status));
    if (old_ && old_->ended(status)) {
      if (status != 0) found_.broke("crash", "the old process ended with status " + std::to_string(status));
      old_.reset();
    }
    if (old_ && left_at_ > 0 && now > left_at_ + kLeaveWithin) {
      found_.broke("leaving", "the old process is there still");
      old_.reset();
    }
    if (away_at_ > 0 && now > away_at_ + kAwayWithin && !checked_away_) {
      checked_away_ = true;
      for (const Client& c : clients_)
        if (!c.waiting && c.line && !c.line->over)
          found_.broke("away", "a connection stands idle 4 s after drain");
    }
    for (auto it = drained_.begin(); it != drained_.end();)
      if (now > it->second + 6000) {
        tell(it->first, "ready");
        it = drained_.erase(it);
      } else {
        ++it;
      }
  }

  // One step of the history; how long until the next.
  Millis act(Millis now) {
    if (stopped_) {
      (old_ && random_.chance(0.5) ? old_ : current_)->signal(SIGCONT);
      current_->signal(SIGCONT);
      stopped_ = false;
      killed_at_ = now;  // clients whose time ran out meanwhile are nobody's fault
      return 1500;
    }
    if (away_at_ > 0) {
      if (now < away_at_ + kAwayWithin + 200) return 200;
      call("resume", true);
      ++found_.resumes;
      away_at_ = 0;
      for (Client& c : clients_) c.next_at = std::max(c.next_at, now + 500);
      return 2000;
    }
    switch (random_.below(6)) {
      case 0:
        call("drain", true);
        ++found_.drains;
        away_at_ = now;
        checked_away_ = false;
        // The front stops sending here; what stands open goes on for as long as it is open.
        for (Client& c : clients_)
          if (!c.line || c.line->over) c.next_at = std::max(c.next_at, now + kAwayWithin + 1000);
        return 500;
      case 1:
      case 2: {
        classes_ = 1 + static_cast<int>(random_.below(4));
        attempts_ = 2 + static_cast<int>(random_.below(3));
        std::string text = config().dump();
        bool spoilt = random_.chance(0.5);
        if (spoilt) {
          current_->configure(text.substr(0, random_.below(text.size())));
          current_->signal(SIGHUP);
          classes_ = named_;
          return 300;
        }
        current_->configure(text);
        current_->signal(SIGHUP);
        ++found_.reloads;
        named_ = std::min(named_, classes_);
        named_at_ = now + 1200;
        return 2000;
      }
      case 3:
        if (old_) return 200;
        return upgrade(now);
      case 4: {
        std::size_t leaf = random_.below(leafs_.size());
        if (!drained_.empty()) return 100;
        tell(leaf, "draining");
        drained_[leaf] = now;
        return 500;
      }
      default:
        if (old_ || random_.chance(0.5)) return 200;
        return stop();
    }
  }

  // Stops the process with SIGSTOP. Returns the time in ms after which act() continues it.
  Millis stop() {
    ++found_.stops;
    current_->signal(SIGSTOP);
    stopped_ = true;
    return random_.between(300, 1500);
  }

  Millis upgrade(Millis now) {
    ++found_.upgrades;
    named_ = classes_;
    auto fresh = launch();
    Millis until = now + kStartWithin + options_.common.slack_ms;
    bool dies = random_.chance(0.25);
    Millis dies_at = now + random_.between(0, 800);
    while (!fresh->said("phase ready")) {
      loop_.run_once(5);
      Millis t = loop_.now();
      for (Client& c : clients_) serve(c, false, t);
      int status = 0;
      if (fresh->ended(status)) {
        found_.broke("start", "the new process ended, status " + std::to_string(status));
        return 1000;
      }
      if (t > until) {
        found_.broke("start", "the new process does not say yes in 6 s");
        return 1000;
      }
      if (dies && t > dies_at) break;
    }
    if (dies) {
      ++found_.kills;
      killed_at_ = loop_.now();
      fresh->kill();
      return 1500;
    }
    old_ = std::move(current_);
    current_ = std::move(fresh);
    old_->signal(SIGTERM);
    left_at_ = loop_.now();
    return 2500;
  }

  struct Call {
    std::unique_ptr<Line> line;
    std::string word;
    Millis at = 0;
    bool wanted = true;
  };
  Operations options_;
  Random random_;
  event_loop::Loop loop_;
  std::string folder_;
  Roster roster_;
  std::vector<std::unique_ptr<PromptLeaf>> leafs_;
  std::unique_ptr<Process> current_, old_;
  std::vector<Client> clients_;
  std::vector<Call> calls_;
  std::map<std::string, int> attempts_of_;
  std::map<std::size_t, Millis> drained_;
  int port_ = 0, classes_ = 2, named_ = 2, attempts_ = 3;
  Millis named_at_ = 0, away_at_ = 0, left_at_ = 0, killed_at_ = -1e9;
  bool checked_away_ = true, stopped_ = false, final_stop_done_ = false;
  Found found_;
};

}  // namespace

int operations(const Operations& options) {
  Found f = Play(options).run();
  std::size_t broken = 0;
  for (const auto& [rule, times] : f.broken) broken += times;
  json out = report(options, f);
  std::printf("%s\n", out.dump(2).c_str());
  if (!options.common.json.empty()) std::ofstream(options.common.json) << out.dump(2) << "\n";
  return broken > 0 || f.whole == 0 ? 1 : 0;
}

}  // namespace winchhall::testbed
