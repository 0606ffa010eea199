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
#include "testbed/cluster/run_history.hpp"

namespace winchhall::testbed::cluster {

// Each client submits jobs, repeats a submission until it is accepted and at times once more, and queries
// accepted jobs, over one connection to each edge that it keeps until it fails. After a failed call, and at
// times without one, it changes the edge. Now and then it gives up on a submission after less than a second,
// and cancels the job at another edge. One client also submits a job whose task lasts, which it cancels at
// the end. Several observers query accepted jobs at each edge, many times a second. Every few seconds the
// operator adds a route, moves the queue to another service, either at once or by its removal and addition,
// moves it there and back within a second, or deletes the service that no route leads to; it repeats each
// call until it is acknowledged. All run on threads of their own; public members are thread-safe.
class SoakClients {
 public:
  // Starts all threads. `clients`: number of clients.
  // `groups`: labels of leaves that some jobs need, each of a leaf of every service.
  SoakClients(std::vector<std::string> front_addresses, std::vector<std::string> control_addresses,
              unsigned clients, unsigned groups, std::uint64_t seed);
  // Stops and waits for all threads.
  ~SoakClients();

  // While on, the operator routes the queue to the service "records", deletes the other one, and only adds
  // routes afterwards.
  void keep_archive_deleted(bool on) { archive_stays_deleted_ = on; }
  // Ends the submission of jobs and changes and waits for the threads: the operator completes the change that
  // it has begun, and clients the cancels. Idempotent.
  void stop();
  // IDs of the accepted jobs, in order of acceptance.
  std::vector<std::string> accepted_jobs() const;
  // The cancels that were answered with 200 or 410. A job that was accepted is never answered with 410.
  std::vector<CancelledJob> cancelled_jobs() const;
  // Routes the queue to the service "records" and deletes the other one. To be called after `stop`. Returns
  // false if that is not acknowledged in time.
  bool retire_archive();
  // Version of the newest change that was acknowledged, and the routes that acknowledged changes have added.
  std::uint64_t acknowledged_version() const;
  std::vector<std::string> acknowledged_routes() const;
  unsigned queue_moves() const;
  unsigned repeated_submissions() const;
  // Responses that contradict earlier ones, one line each.
  std::vector<std::string> faults() const;

 private:
  // A client's connections, one to each edge. Calls go to the edge in use.
  class EdgeConnections {
   public:
    EdgeConnections(const std::vector<std::string>& addresses, std::size_t first);

    HttpCallResponse send(const std::string& method, const std::string& job, const std::string& body = "");
    // Sends a request whose answer the client doesn't wait for any longer than this.
    void send_and_give_up(const std::string& job, const std::string& body, std::chrono::milliseconds wait);
    void use_next() { used_ = (used_ + 1) % addresses_.size(); }

   private:
    const std::vector<std::string>& addresses_;
    std::vector<HttpConnection> connections_;
    std::size_t used_;
  };

  void run_client(unsigned number, std::uint64_t seed);
  void run_observer(std::size_t edge, std::uint64_t seed);
  void run_operator(std::uint64_t seed);
  bool submit(EdgeConnections& edges, const std::string& job, const std::string& body);
  // Sends a job that was accepted once more. The response doesn't count.
  void submit_again(EdgeConnections& edges, const std::string& job, const std::string& body);
  // Submits a job, gives up on it, and cancels it at another edge.
  void abandon(EdgeConnections& edges, const std::string& job, const std::string& body);
  // Cancels a job until that is answered, for at most kMaxCompletionTime.
  void cancel(EdgeConnections& edges, const std::string& job);
  void query(EdgeConnections& edges, const std::string& job);
  std::string random_job(std::mt19937_64& random) const;
  // Each returns false if a change could not be acknowledged in time after `stop`.
  bool make_change(std::mt19937_64& random);
  bool move_queue(std::mt19937_64& random);
  bool remove_archive();
  bool acknowledge(const ConfigurationChange& change);
  // Sleeps for `duration`, or until `stop` is called.
  void pause(std::chrono::milliseconds duration) const;

  const std::vector<std::string> front_addresses_;
  const std::vector<std::string> control_addresses_;
  const unsigned groups_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> archive_stays_deleted_{false};
  std::string queue_service_;    // present service of the queue; used by the operator's thread alone
  bool archive_exists_ = false;  // in the configuration; used by the operator's thread alone
  mutable std::mutex mutex_;     // guards the following ones
  std::vector<std::string> accepted_;
  std::vector<CancelledJob> cancelled_;
  std::set<std::string> completed_;  // jobs that a response has reported as completed
  std::uint64_t acknowledged_version_ = 0;
  std::vector<std::string> acknowledged_routes_;
  unsigned queue_moves_ = 0;
  unsigned repeated_submissions_ = 0;
  std::vector<std::string> faults_;
  std::vector<std::thread> threads_;
};

}  // namespace winchhall::testbed::cluster
