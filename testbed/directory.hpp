// Stand-ins for the two services that an aggregator asks: the directory of ranges and the roster of nodes.
// Both can be late, break off, skip, go away and come back.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "testbed/http_stand_in.hpp"
#include "testbed/world.hpp"

namespace winchhall::testbed {

class Directory {
 public:
  Directory(net::Loop& loop, World& world);
  ~Directory();
  std::string address() const { return http_.address(); }

  void tell();                            // what has changed goes to the watches, each after the delay
  void delay(Millis ms) { delay_ = ms; }  // of each word
  void skip_next() { skip_ = true; }      // the next word is lost on the way
  void break_watches();
  void go_away() { http_.go_away(); }
  void come_back() { http_.come_back(); }
  // From now on, for that long, the whole map that it gives is the one it had at `when`.
  void tell_older(Millis when, Millis until);

  struct Counts {
    std::size_t asked = 0, whole = 0, words = 0, broken = 0, skipped = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Watch {
    std::weak_ptr<HttpStandIn::Connection> connection;
    ranges::Revision told;
  };
  void asked(HttpStandIn::Connection& connection, const platform::HttpMessage& message);
  void whole(HttpStandIn::Connection& connection, const ranges::RangeMap& map);
  void beat();

  net::Loop& loop_;
  World& world_;
  HttpStandIn http_;
  std::vector<Watch> watches_;
  Millis delay_ = 0, older_ = 0, older_until_ = 0;
  bool skip_ = false;
  Counts counts_;
  net::TimerId beat_{};
};

struct RosterEntry {
  std::string id{};
  std::string frames{}, flight{};  // addresses
  int cell = 0;
  std::string phase = "ready";
  double up_since_ms = 0;
};

class Roster {
 public:
  explicit Roster(net::Loop& loop, bool flight);
  ~Roster();
  std::string address() const { return http_.address(); }
  void set(const RosterEntry& entry);           // told to all that watch
  std::string whole() const;                    // as the configuration's `known` has it
  Millis told_at(const std::string& id) const;  // when its last change was written

 private:
  std::string row(const RosterEntry& entry) const;
  void beat();
  net::Loop& loop_;
  bool flight_;
  HttpStandIn http_;
  std::map<std::string, RosterEntry> entries_;
  std::map<std::string, Millis> told_at_;
  long long revision_ = 1;
  net::TimerId beat_{};
};

}  // namespace winchhall::testbed
