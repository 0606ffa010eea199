// A stand-in ledger node, over frames and over Flight at once. It answers by what data it has, hears late of
// changes, waits its turn in a queue, can stand still, die, come back cold and fall over when it is sent too
// much while it is cold.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "aggregator/event_loop/stream.hpp"
#include "testbed/random.hpp"
#include "testbed/truth.hpp"
#include "testbed/world.hpp"

namespace winchhall::testbed {

struct NodeOptions {
  std::size_t cores = 2, waiting = 200;
  Millis work_least = 2, work_most = 8;  // of one part
  double cold_share = 0.23;              // of its capacity when it starts
  Millis cold_time = 17000;              // until it is warm
  double fall_multiple = 4;              // sent more than this x its capacity of the moment ...
  Millis fall_time = 1000;               // ... within this time, while cold, it falls over
};

class Node {
 public:
  // What arrived, for the checker: called for every part, whatever comes of it.
  struct Arrival {
    std::size_t node = 0;
    std::string part{}, text{};
    ranges::Span span{};
    ranges::Revision revision{};
  };
  using Heard = std::function<void(const Arrival&)>;

  Node(net::Loop& loop, std::size_t number, const NodeOptions& options, const World& world,
       const Truth& truth, std::uint64_t seed, Heard heard);
  ~Node();

  std::string name() const { return World::node_name(number_); }
  std::string frames_address() const;
  std::string flight_address() const;

  void lag(Millis ms) { lag_ = ms; }  // it hears of changes that much later
  void deny_for(Millis ms) { deny_until_ = loop_.now() + ms; }
  void pause(Millis ms);
  void die();
  void come_back();  // cold
  bool alive() const { return alive_; }
  double up_since() const { return up_since_; }

  struct Counts {
    std::size_t asked = 0, served = 0, denied = 0, full = 0, late = 0, cancelled = 0;
    bool fell = false;
    double worst_cold = 0;  // the most it was sent in fall_time while cold, x what it could do
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Job {
    Arrival part{};
    Millis until = 0, work = 0;
    std::function<void(int end, const std::string& value)> reply{};
    bool cancelled = false;
  };
  using JobPtr = std::shared_ptr<Job>;
  class FrameSide;
  class FlightSide;
  void listen();
  void take(JobPtr job);
  void pump();
  void done(JobPtr job);
  void answer(Job& job);
  double capacity(Millis now) const;  // work ms per ms
  std::string load() const { return "busy_reqs=" + std::to_string(running_ + queue_.size()); }
  std::string denial(const Job& job) const;

  net::Loop& loop_;
  std::size_t number_;
  NodeOptions options_;
  const World& world_;
  const Truth& truth_;
  Random random_;
  Heard heard_;
  std::unique_ptr<net::Listener> frames_, flight_;
  int frames_port_ = 0, flight_port_ = 0;
  std::set<std::shared_ptr<FrameSide>> frame_sides_;
  std::set<std::shared_ptr<FlightSide>> flight_sides_;
  std::deque<JobPtr> queue_;
  std::size_t running_ = 0, life_ = 0;
  Millis lag_ = 0, paused_until_ = 0, deny_until_ = 0;
  double up_since_ = 0;
  bool alive_ = true;
  std::deque<std::pair<Millis, double>> cold_work_;
  Counts counts_;
};

}  // namespace winchhall::testbed
