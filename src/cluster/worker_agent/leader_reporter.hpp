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

// Keeps one report outstanding at the leader as a long poll, so that the leader can answer with orders at any
// time; sends changes at once, and follows changes of the leader. Bounds the reports in flight and their
// rate. A report contains the task lists only if the leader has not answered for their present version.
//
// Answers of a former leader are recognised by the generation of the target that the report was sent to.
// Not thread-safe; calls back on the runtime's thread.
class LeaderReporter {
 public:
  // `session` is reported and processes the orders; `on_orders_accepted` is called after it has accepted
  // some. All references outlive the reporter.
  LeaderReporter(Runtime& runtime, const NodeSettings& settings, LeafSession& session,
                 std::function<void()> on_orders_accepted);
  ~LeaderReporter();

  // Starts to look for the leader. No report is sent before the first heartbeat.
  void start();
  // Sends a report at once, as far as the bounds allow, since something has changed.
  void report_now();
  void stop();
  // See LeaderFinder.
  void set_seeds(std::vector<Address> seeds) { finder_.set_seeds(std::move(seeds)); }
  void set_sampled_control(std::vector<Address> nodes) { finder_.set_sampled(std::move(nodes)); }

 private:
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
  // Sends the reports to `leader` from now on.
  void switch_to(const Address& leader);
  void search();
  // Searches for another leader while the present one does not respond. Reschedules itself.
  void check_response_timeout();

  Runtime& runtime_;
  const NodeSettings& settings_;
  LeafSession& session_;
  const std::function<void()> on_orders_accepted_;
  LeaderFinder finder_;
  bool stopped_ = true;

  Address target_;                       // empty: no leader known
  std::uint64_t target_generation_ = 0;  // rises with every change of the target
  TimePoint last_redirect_at_{};
  unsigned reports_in_flight_ = 0;  // at the target
  bool has_unsent_changes_ = false;
  std::uint64_t report_number_ = 0;    // of the newest report
  std::uint64_t answered_number_ = 0;  // newest report that the target has answered or will not answer
  TimePoint sent_at_{};
  TimePoint paused_until_{};      // no report is sent before
  TimePoint last_response_at_{};  // of the target as a leader; at first, when it became the target
  std::uint64_t acknowledged_lists_version_ = 0;  // lists that the target has answered for; 0: none
  std::uint64_t acknowledged_lists_report_ = 0;   // number of the report that held them
  std::unique_ptr<Timer> check_timer_;
  std::unique_ptr<Timer> response_timer_;
  const std::shared_ptr<bool> alive_;  // false once this object is destroyed
};

}  // namespace winchhall::cluster
