// A complete deployment on loopback: stand-in nodes, directory and rosters, real aggregator processes,
// clients and the checker, all on one event loop. Experiments add the load and the faults.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "testbed/checker.hpp"
#include "testbed/clients.hpp"
#include "testbed/directory.hpp"
#include "testbed/node.hpp"
#include "testbed/process.hpp"
#include "testbed/reference_model.hpp"
#include "testbed/simulated_deployment.hpp"

namespace winchhall::testbed {

struct FleetOptions {
  std::uint64_t seed = 1;
  std::size_t nodes = 20, aggregators = 3, accounts = 4000;
  SimulatedDeploymentOptions deployment{};
  NodeOptions node{};
  std::string program{};
  std::string files_root{};  // if set, nodes and ranges come from files there, not from roster and directory
  Millis slack = 250;        // added to time limits for a loaded machine
};

// Owns everything that it runs; the destructor kills the aggregators.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);
  ~Fleet();

  // Starts all aggregators and waits until they are ready. Throws std::runtime_error if one isn't ready
  // within 30 s.
  void start();
  void run_once(Millis longest = 20);  // one turn of the event loop; reports aggregators that crashed

  // Sends one query to a running aggregator. The reply goes to the checker, and to `observer` before it.
  void ask(std::size_t aggregator, bool over_flight, const Query& query,
           std::function<void(const Reply&)> observer = nullptr);
  int http_port(std::size_t i) const { return aggregators_[i].http_port; }
  int flight_port(std::size_t i) const { return aggregators_[i].flight_port; }
  Query random_query(Random& random, std::uint64_t number) const;
  std::size_t open_queries() const { return open_queries_; }

  void kill(std::size_t aggregator);
  void restart(std::size_t aggregator);
  bool running(std::size_t aggregator) const { return aggregators_[aggregator].process->running(); }
  void drain(std::size_t node);
  void undrain(std::size_t node);
  void crash_node(std::size_t node);
  void restart_node(std::size_t node);

  event_loop::Loop& loop() { return loop_; }
  SimulatedDeployment& deployment() { return deployment_; }
  Directory& directory() { return directory_; }
  Checker& checker() { return checker_; }
  Node& node(std::size_t i) { return *nodes_[i]; }
  std::size_t nodes() const { return nodes_.size(); }
  std::size_t aggregators() const { return aggregators_.size(); }
  Process& process(std::size_t i) { return *aggregators_[i].process; }
  std::size_t unexpected_replies() const;
  // Finishes the checker and checks what must hold at the end of any run: no unexpected replies, no
  // overloaded cold nodes, no errors about answers in the aggregators' logs.
  void check_final_state();

  static const std::vector<ClassRule>& classes();

 private:
  struct Aggregator {
    std::unique_ptr<Process> process;
    bool flight_nodes = false;
    int http_port = 0, flight_port = 0;
    std::unique_ptr<HttpClients> http;
    std::unique_ptr<FlightClients> flight;
    Millis killed_at = -1;
  };
  bool over_flight(std::size_t aggregator) const;
  std::string config(std::size_t aggregator, int port) const;
  std::string ops(std::size_t aggregator, int port) const;
  void set_roster_phase(std::size_t node, const std::string& phase);
  void check_drained_node(const Node::Arrival& arrival);

  FleetOptions options_;
  event_loop::Loop loop_;
  ReferenceLedger reference_;
  SimulatedDeployment deployment_;
  Directory directory_;
  Roster frames_roster_, flight_roster_;
  Checker checker_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Aggregator> aggregators_;
  std::map<std::size_t, Millis> drained_at_;  // when the roster began to list the node as draining
  std::size_t open_queries_ = 0;
};

}  // namespace winchhall::testbed
