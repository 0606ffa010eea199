// The worker-agent's reports to the leader of its service.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/worker_agent/leader_finder.hpp"
#include "cluster/worker_agent/leaf_session.hpp"

namespace winchhall::cluster {

// Keeps one report pending at the leader as a long poll, so that the leader can answer with orders at any
// time. Sends changes at once, and switches to a new leader. Bounds the number of reports in flight and their
// rate. A report contains the task lists only if the leader has not acknowledged their present version.
//
// Each report records the generation of the target that it was sent to, so that answers of a former leader
// are recognized. Not thread-safe; calls back on the runtime's thread.
class LeaderReporter {
 public:
  // Reports are made from `session`, which also processes the orders; `on_session_changed` is called each
  // time that it has accepted an answer or observed the epoch of a leader. All references must outlive the
  // reporter.
  LeaderReporter(Runtime& runtime, const NodeSettings& settings, LeafSession& session,
                 std::function<void()> on_session_changed);
  ~LeaderReporter();

  // Starts the search for the leader. No report is sent before the first heartbeat.
  void start();
  // Searches for the leader if it isn't being searched for.
  void search();
  // Sends a report as soon as the bounds allow. Called after a change that the leader must know.
  void report_now();
  // Stops reports and search. Late answers are ignored.
  void stop();
  // Both replace the nodes that are probed for the leader; see LeaderFinder.
  void set_seeds(std::vector<Address> seeds) { finder_.set_seeds(std::move(seeds)); }
  void set_sampled_control(std::vector<Address> nodes) { finder_.set_sampled(std::move(nodes)); }

 private:
  // What is needed to process the answer to a report.
  struct ReportInFlight {
    SentReport report;
    std::uint64_t target_generation = 0;
    bool lists_included = false;
    std::uint64_t lists_version = 0;
  };

  std::string service() const;
  bool is_at_target(const ReportInFlight& in_flight) const {
    return in_flight.target_generation == target_generation_;
  }
  bool has_pending_poll() const { return answered_number_ < report_number_; }
  bool is_report_urgent() const { return has_unsent_changes_ || !has_pending_poll(); }
  // Sends a report if one is due, and schedules the next check.
  void send_if_due();
  void schedule_check();
  void send();
  wire::WorkerReport make_report(ReportInFlight& in_flight);
  void on_answer(const ReportInFlight& in_flight, const CallResult& result);
  void on_orders(const ReportInFlight& in_flight, const wire::WorkerOrders& orders);
  void on_orders_refused(const ReportInFlight& in_flight, const wire::WorkerOrders& orders);
  void record_leader_response(const ReportInFlight& in_flight, const wire::WorkerOrders& orders);
  // Sends all further reports to `leader`.
  void switch_to(const Address& leader);
  void on_leader_found(const FoundLeader& leader);
  // Searches for another leader if the present one does not respond in time. Reschedules itself.
  void check_response_timeout();

  Runtime& runtime_;
  const NodeSettings& settings_;
  LeafSession& session_;
  const std::function<void()> on_session_changed_;
  LeaderFinder finder_;
  bool stopped_ = true;

  Address target_;                       // leader that reports are sent to; empty if none is known
  std::uint64_t target_generation_ = 0;  // incremented with every change of the target
  TimePoint last_redirect_at_{};
  unsigned reports_in_flight_ = 0;  // at the target
  bool has_unsent_changes_ = false;
  std::uint64_t report_number_ = 0;    // of the newest report
  std::uint64_t answered_number_ = 0;  // newest report that the target has answered or will not answer
  TimePoint sent_at_{};
  TimePoint paused_until_{};      // no report is sent before this time
  TimePoint last_response_at_{};  // of the target as a leader; initially the time that it became the target
  // Version of the lists that the target has acknowledged, 0 if none, and number of the report with these
  // lists.
  std::uint64_t acknowledged_lists_version_ = 0;
  std::uint64_t acknowledged_lists_report_ = 0;
  std::unique_ptr<Timer> check_timer_;
  std::unique_ptr<Timer> response_timer_;
  const std::shared_ptr<bool> alive_;  // false once this object is destroyed
};

}  // namespace winchhall::cluster
