// What the experiment on operators counts and by whom it asks.
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

// One connection: a client's queries one after another, or one call at a door.
class Line : public net::Stream::Owner {
 public:
  Line(net::Loop& loop, int port) {
    int error = 0;
    stream =
        net::Stream::connect(loop, *net::parse_address("127.0.0.1:" + std::to_string(port)), *this, error);
    over = !stream;
  }
  ~Line() {
    if (stream) stream->close();
  }
  void received(std::string& in) override { text += std::exchange(in, {}); }
  void ended() override { over = true; }
  std::shared_ptr<net::Stream> stream;
  std::string text;
  bool over = false;
};

struct Client {
  std::unique_ptr<Line> line;
  platform::HttpParser parser{platform::HttpParser::Mode::response};
  std::string id;
  Millis asked_at = 0, next_at = 0, idle_since = 0;
  bool waiting = false, resent = false, fresh = false;
};

struct Found {
  std::size_t asked = 0, whole = 0, refused = 0, failed = 0, excused = 0, at_door = 0;
  std::size_t drains = 0, resumes = 0, reloads = 0, upgrades = 0, kills = 0, stops = 0;
  double unready_ms = 0, door_worst = 0;
  std::map<std::string, std::size_t> broken;
  std::vector<std::string> cases;
  void broke(const std::string& rule, const std::string& what) {
    if (++broken[rule] <= 3) cases.push_back(rule + ": " + what);
  }
};

inline nlohmann::json report(const Operations& options, const Found& f) {
  return nlohmann::json{{"seed", options.common.seed},
                        {"seconds", options.common.seconds},
                        {"asked", f.asked},
                        {"whole", f.whole},
                        {"refused", f.refused},
                        {"failed", f.failed},
                        {"excused", f.excused},
                        {"sent again", f.at_door},
                        {"drains", f.drains},
                        {"resumes", f.resumes},
                        {"reloads", f.reloads},
                        {"upgrades", f.upgrades},
                        {"kills", f.kills},
                        {"stops", f.stops},
                        {"unready ms", f.unready_ms},
                        {"door worst ms", f.door_worst},
                        {"broken", f.broken},
                        {"cases", f.cases}};
}

}  // namespace winchhall::testbed
