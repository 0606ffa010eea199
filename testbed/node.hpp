// A stand-in ledger node that serves both the frame protocol and Arrow Flight. It answers from the data that
// the simulated deployment gives it, queues parts, learns late of range changes, and can be paused, crashed
// and restarted cold. A cold node that gets too much work fails.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "aggregator/event_loop/stream.hpp"
#include "testbed/random.hpp"
#include "testbed/reference_model.hpp"
#include "testbed/simulated_deployment.hpp"

namespace winchhall::testbed {

struct NodeOptions {
  std::size_t cores = 2, queue_limit = 200;
  Millis min_work = 2, max_work = 8;    // of one part, on a warm node
  double warm_up_initial_share = 0.23;  // of the full capacity, after a restart
  Millis warm_up_time = 17000;          // from the restart to full capacity
  double fall_multiple = 4;  // a cold node fails if it gets more than this multiple of its current capacity
  Millis fall_time = 1000;   // within this time
};

// Owns its listeners, connections and queued jobs. The deployment, the reference ledger and the loop must
// outlive it.
class Node {
 public:
  // A part request. The observer is called for each one, whether it is served or not.
  struct Arrival {
    std::size_t node = 0;
    std::string part{}, text{};
    ranges::Span span{};
    ranges::Revision revision{};
  };
  using PartObserver = std::function<void(const Arrival&)>;

  Node(event_loop::Loop& loop, std::size_t number, const NodeOptions& options,
       const SimulatedDeployment& deployment, const ReferenceLedger& reference, std::uint64_t seed,
       PartObserver on_part);
  ~Node();

  std::string name() const { return SimulatedDeployment::node_name(number_); }
  std::string frames_address() const;
  std::string flight_address() const;

  void set_update_lag(Millis ms) { update_lag_ = ms; }  // delay of range changes
  void deny_for(Millis ms) { deny_until_ = loop_.now() + ms; }
  void pause(Millis ms);
  void crash();
  void restart();  // on the same ports, cold; no effect after a failure by overload
  bool alive() const { return alive_; }
  double up_since() const { return up_since_; }

  struct Counts {
    std::size_t asked = 0, served = 0, denied = 0, queue_full = 0, late = 0, cancelled = 0;
    bool failed_by_overload = false;
    // The largest work received within fall_time while cold, as a multiple of the capacity.
    double worst_cold = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Job {
    Arrival part{};
    Millis deadline = 0, work = 0;
    std::function<void(int status, const std::string& value)> reply{};
    bool cancelled = false;
  };
  using JobPtr = std::shared_ptr<Job>;
  class FrameConnection;
  class FlightConnection;
  void listen();
  void accept_job(JobPtr job);
  void start_queued_jobs();
  void finish_job(JobPtr job);
  void answer(Job& job);
  double capacity(Millis now) const;  // ms of work done per ms
  std::string load() const { return "busy_reqs=" + std::to_string(running_ + queue_.size()); }
  std::string denial(const Job& job) const;

  event_loop::Loop& loop_;
  std::size_t number_;
  NodeOptions options_;
  const SimulatedDeployment& deployment_;
  const ReferenceLedger& reference_;
  Random random_;
  PartObserver on_part_;
  std::unique_ptr<event_loop::Listener> frames_, flight_;
  int frames_port_ = 0, flight_port_ = 0;
  std::set<std::shared_ptr<FrameConnection>> frame_connections_;
  std::set<std::shared_ptr<FlightConnection>> flight_connections_;
  std::deque<JobPtr> queue_;
  std::size_t running_ = 0, generation_ = 0;
  Millis update_lag_ = 0, paused_until_ = 0, deny_until_ = 0;
  double up_since_ = 0;
  bool alive_ = true;
  std::deque<std::pair<Millis, double>> recent_cold_work_;
  Counts counts_;
};

}  // namespace winchhall::testbed
