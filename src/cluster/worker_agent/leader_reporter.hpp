// The worker-agent's link to the leader of its service: keeps a report outstanding there as a long poll,
// sends news at once, follows changes of the leader.
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

class LeaderReporter {
 public:
  // `session` is reported and takes the orders; `on_orders` is told after it has taken some. References
  // outlive the link.
  LeaderReporter(Runtime& runtime, const NodeSettings& settings, LeafSession& session,
                 std::function<void()> on_orders);
  ~LeaderReporter();

  // Looks for the leader of this node's service.
  void start();
  // Something is new: reports it at once, as far as the bound on outstanding reports and the pace allow.
  void report_now();
  void stop();
  // See LeaderFinder.
  void set_seeds(std::vector<Address> seeds) { finder_.set_seeds(std::move(seeds)); }
  void set_sampled_control(std::vector<Address> nodes) { finder_.set_sampled(std::move(nodes)); }

 private:
  struct ReportInFlight {
    SentReport report;
    Address target;
    std::uint64_t target_number = 0;
    bool lists_included = false;
    std::uint64_t lists_version = 0;
  };

  std::string service() const;
  // True while the newest report waits for its answer: the leader can tell us of orders at any time.
  bool has_pending_poll() const { return answered_number_ < report_number_; }
  void send_if_due();
  void send();
  wire::WorkerReport next_report(ReportInFlight& sent);
  void on_answer(const ReportInFlight& sent, const CallResult& result);
  void on_orders(const ReportInFlight& sent, const wire::WorkerOrders& orders);
  void record_leader_response(const ReportInFlight& sent, const wire::WorkerOrders& orders);
  void on_orders_refused(const ReportInFlight& sent, const wire::WorkerOrders& orders);
  void follow(const Address& leader);
  void search();
  void check_response_timeout();
  void schedule_poll();

  Runtime& runtime_;
  const NodeSettings& settings_;
  LeafSession& session_;
  const std::function<void()> on_orders_accepted_;
  LeaderFinder finder_;
  bool stopped_ = true;

  Address target_;                       // empty: no leader known
  std::uint64_t target_generation_ = 0;  // rises with every change of the target
  TimePoint last_redirect_at_{};         // when a hint was followed last
  unsigned reports_in_flight_ = 0;       // reports at the target
  bool has_unsent_changes_ = false;
  std::uint64_t report_number_ = 0;    // of the newest report
  std::uint64_t answered_number_ = 0;  // newest report at the target that needs no answer any more
  TimePoint sent_at_{};
  TimePoint paused_until_{};      // nothing is sent before
  TimePoint last_response_at_{};  // last answer of the target as leader, or when it became the target
  std::uint64_t acknowledged_lists_version_ = 0;  // lists that the target has answered for; 0: none
  std::uint64_t acknowledged_lists_report_ = 0;   // report that held them
  std::unique_ptr<Timer> poll_timer_;
  std::unique_ptr<Timer> response_timer_;
  const std::shared_ptr<bool> alive_;  // false once this object is gone
};

}  // namespace winchhall::cluster
