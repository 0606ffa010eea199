// Clients and an operator that keep calling a cluster while faults are injected into it.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "testbed/cluster/records_service.hpp"

namespace winchhall::testbed::cluster {

// Each client submits jobs, repeats a submission until it is accepted, and queries accepted jobs, over one
// connection that it keeps until it fails. The operator adds a route every few seconds and repeats the call
// until it is acknowledged. All run on threads of their own; public members are thread-safe.
class SoakClients {
 public:
  // Starts all threads. `clients`: number of clients.
  SoakClients(std::string front_address, std::vector<std::string> control_addresses, unsigned clients,
              std::uint64_t seed);
  // Stops and waits for all threads.
  ~SoakClients();

  // Ends the submission of jobs and changes and waits for the threads. Idempotent.
  void stop();
  // IDs of the accepted jobs, in order of acceptance.
  std::vector<std::string> accepted_jobs() const;
  // The newest change that was acknowledged.
  ConfigurationChange acknowledged_change() const;
  // Responses that contradict earlier ones, one line each.
  std::vector<std::string> faults() const;

 private:
  void run_client(unsigned number, std::uint64_t seed);
  void run_operator(std::uint64_t seed);
  bool submit(HttpConnection& connection, const std::string& job, const std::string& body);
  void query(HttpConnection& connection, const std::string& job);
  bool acknowledge(const ConfigurationChange& change);
  // Sleeps for `duration`, or until `stop` is called.
  void pause(std::chrono::milliseconds duration) const;

  const std::string front_address_;
  const std::vector<std::string> control_addresses_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;  // guards the following four
  std::vector<std::string> accepted_;
  std::set<std::string> completed_;  // jobs that a response has reported as completed
  ConfigurationChange acknowledged_;
  std::vector<std::string> faults_;
  std::vector<std::thread> threads_;
};

}  // namespace winchhall::testbed::cluster
