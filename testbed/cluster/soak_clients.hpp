// Clients and an operator that keep calling a cluster while faults are injected into it.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "testbed/cluster/records_service.hpp"

namespace winchhall::testbed::cluster {

// Each client submits jobs, repeats a submission until it is accepted and at times once more, and queries
// accepted jobs, over one connection that it keeps until it fails. Every few seconds the operator adds a
// route or moves the queue to another service, either at once or by its removal and addition, and repeats
// each call until it is acknowledged. All run on threads of their own; public members are thread-safe.
class SoakClients {
 public:
  // Starts all threads. `clients`: number of clients.
  SoakClients(std::string front_address, std::vector<std::string> control_addresses, unsigned clients,
              std::uint64_t seed);
  // Stops and waits for all threads.
  ~SoakClients();

  // Ends the submission of jobs and changes and waits for the threads: the operator completes the change that
  // it has begun. Idempotent.
  void stop();
  // IDs of the accepted jobs, in order of acceptance.
  std::vector<std::string> accepted_jobs() const;
  // Version of the newest change that was acknowledged, and the routes that acknowledged changes have added.
  std::uint64_t acknowledged_version() const;
  std::vector<std::string> acknowledged_routes() const;
  unsigned queue_moves() const;
  unsigned repeated_submissions() const;
  // Responses that contradict earlier ones, one line each.
  std::vector<std::string> faults() const;

 private:
  void run_client(unsigned number, std::uint64_t seed);
  void run_operator(std::uint64_t seed);
  bool submit(HttpConnection& connection, const std::string& job, const std::string& body);
  // Sends a job that was accepted once more. The response doesn't count.
  void submit_again(HttpConnection& connection, const std::string& job, const std::string& body);
  void query(HttpConnection& connection, const std::string& job);
  // Each returns false if a change could not be acknowledged in time after `stop`.
  bool make_change(std::mt19937_64& random);
  bool move_queue(std::mt19937_64& random);
  bool acknowledge(const ConfigurationChange& change);
  // Sleeps for `duration`, or until `stop` is called.
  void pause(std::chrono::milliseconds duration) const;

  const std::string front_address_;
  const std::vector<std::string> control_addresses_;
  std::atomic<bool> stopping_{false};
  std::string queue_service_;  // present service of the queue; used by the operator's thread alone
  mutable std::mutex mutex_;   // guards the following ones
  std::vector<std::string> accepted_;
  std::set<std::string> completed_;  // jobs that a response has reported as completed
  std::uint64_t acknowledged_version_ = 0;
  std::vector<std::string> acknowledged_routes_;
  unsigned queue_moves_ = 0;
  unsigned repeated_submissions_ = 0;
  std::vector<std::string> faults_;
  std::vector<std::thread> threads_;
};

}  // namespace winchhall::testbed::cluster
