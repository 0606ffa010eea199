// Connections, clients and results of the operations experiment.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/http.hpp"
#include "testbed/experiments.hpp"

namespace winchhall::testbed {

using Millis = double;

// One TCP connection on loopback, for a client's successive queries or for one admin command. Collects
// received bytes in `text`.
class Connection : public event_loop::Stream::Owner {
 public:
  Connection(event_loop::Loop& loop, int port) {
    int error = 0;
    stream = event_loop::Stream::connect(
        loop, *event_loop::parse_address("127.0.0.1:" + std::to_string(port)), *this, error);
    closed = !stream;
  }
  ~Connection() {
    if (stream) stream->close();
  }
  void received(std::string& in) override { text += std::exchange(in, {}); }
  void ended() override { closed = true; }
  std::shared_ptr<event_loop::Stream> stream;
  std::string text;
  bool closed = false;
};

// A client that sends one query at a time. Times are in ms of the event loop's clock.
struct Client {
  std::unique_ptr<Connection> connection;
  http::HttpParser parser{http::HttpParser::Mode::response};
  std::string id;
  Millis asked_at = 0, next_at = 0, idle_since = 0;
  bool waiting = false, resent = false, new_connection = false;
};

// Counts of replies, operator actions and violations by rule, with descriptions of the first three of each
// rule.
struct OperationsResult {
  std::size_t asked = 0, whole = 0, refused = 0, failed = 0, excused = 0, sent_again = 0;
  std::size_t drains = 0, resumes = 0, reloads = 0, upgrades = 0, kills = 0, stops = 0;
  double unready_ms = 0, worst_admin_reply_ms = 0;
  std::map<std::string, std::size_t> violations;
  std::vector<std::string> violation_examples;
  void record_violation(const std::string& rule, const std::string& what) {
    if (++violations[rule] <= 3) violation_examples.push_back(rule + ": " + what);
  }
};

inline nlohmann::json report(const OperationsOptions& options, const OperationsResult& f) {
  return nlohmann::json{{"seed", options.common.seed},
                        {"seconds", options.common.seconds},
                        {"asked", f.asked},
                        {"whole", f.whole},
                        {"refused", f.refused},
                        {"failed", f.failed},
                        {"excused", f.excused},
                        {"sent again", f.sent_again},
                        {"drains", f.drains},
                        {"resumes", f.resumes},
                        {"reloads", f.reloads},
                        {"upgrades", f.upgrades},
                        {"kills", f.kills},
                        {"stops", f.stops},
                        {"unready ms", f.unready_ms},
                        {"door worst ms", f.worst_admin_reply_ms},
                        {"broken", f.violations},
                        {"cases", f.violation_examples}};
}

}  // namespace winchhall::testbed
