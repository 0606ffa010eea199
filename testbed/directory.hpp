// Stand-ins for the two services that an aggregator follows: the directory of ranges and the roster of nodes.
// The directory can delay or lose updates, break connections, serve an old map, stop and start again.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "testbed/http_stand_in.hpp"
#include "testbed/simulated_deployment.hpp"

namespace winchhall::testbed {

// Serves the deployment's range map and streams its changes. Doesn't own the deployment.
class Directory {
 public:
  Directory(event_loop::Loop& loop, SimulatedDeployment& deployment);
  ~Directory();
  std::string address() const { return http_.address(); }

  void publish_changes();  // sends new changes to every watch, after the update delay
  void set_update_delay(Millis ms) { update_delay_ = ms; }  // of each later update
  void drop_next_update() { drop_next_ = true; }            // no watch gets the next update
  void break_watches();
  void stop() { http_.stop(); }
  void start() { http_.start(); }
  // Breaks all watches. Until `until`, every request is answered with the full map as it was at `when`.
  void serve_older_map(Millis when, Millis until);

  struct Counts {
    std::size_t requests = 0, full_maps = 0, updates = 0, broken_watches = 0, dropped_updates = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Watch {
    std::weak_ptr<HttpStandIn::Connection> connection;
    ranges::Revision sent_revision;
  };
  void handle_request(HttpStandIn::Connection& connection, const http::HttpMessage& message);
  void send_full_map(HttpStandIn::Connection& connection, const ranges::RangeMap& map);
  void send_keepalives();

  event_loop::Loop& loop_;
  SimulatedDeployment& deployment_;
  HttpStandIn http_;
  std::vector<Watch> watches_;
  Millis update_delay_ = 0, older_map_time_ = 0, older_map_until_ = 0;
  bool drop_next_ = false;
  Counts counts_;
  event_loop::TimerId keepalive_timer_{};
};

// One node of the roster. `up_since_ms` is 0 for a node that is warm from the beginning.
struct RosterEntry {
  std::string id{};
  std::string frames{}, flight{};  // addresses for the frame protocol and for Flight
  int cell = 0;
  std::string phase = "ready";
  double up_since_ms = 0;
};

// Serves the list of nodes and streams its changes; gives the Flight addresses if `flight` is set.
class Roster {
 public:
  explicit Roster(event_loop::Loop& loop, bool flight);
  ~Roster();
  std::string address() const { return http_.address(); }
  void set(const RosterEntry& entry);                  // sends the change to all watches
  std::string full_list() const;                       // JSON, as in the configuration's `known`
  Millis last_change_at(const std::string& id) const;  // ms; 0 for an unknown node

 private:
  std::string row(const RosterEntry& entry) const;
  void send_keepalives();
  event_loop::Loop& loop_;
  bool flight_;
  HttpStandIn http_;
  std::map<std::string, RosterEntry> entries_;
  std::map<std::string, Millis> changed_at_;
  long long revision_ = 1;
  event_loop::TimerId keepalive_timer_{};
};

}  // namespace winchhall::testbed
