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

class LeaderLink {
 public:
  // `session` is reported and takes the orders; `on_orders` is told after it has taken some. References
  // outlive the link.
  LeaderLink(Runtime& runtime, const NodeSettings& settings, LeafSession& session,
             std::function<void()> on_orders);
  ~LeaderLink();

  // Looks for the leader of this node's service.
  void start();
  // Something is new: reports it at once, as far as the bound on outstanding reports and the pace allow.
  void report_now();
  void stop();
  // See LeaderFinder.
  void set_seeds(std::vector<Address> seeds) { finder_.set_seeds(std::move(seeds)); }
  void set_sampled_control(std::vector<Address> nodes) { finder_.set_sampled(std::move(nodes)); }

 private:
  struct Sent {
    SentReport report;
    Address target;
    std::uint64_t target_number = 0;
    bool lists_included = false;
    std::uint64_t lists_version = 0;
  };

  std::string service() const;
  // True while the newest report waits for its answer: the leader can tell us of orders at any time.
  bool poll_waits() const { return answered_number_ < report_number_; }
  void pump();
  void send();
  wire::WorkerReport next_report(Sent& sent);
  void on_answer(const Sent& sent, const CallResult& result);
  void on_orders(const Sent& sent, const wire::WorkerOrders& orders);
  void on_heard(const Sent& sent, const wire::WorkerOrders& orders);
  void on_refused(const Sent& sent, const wire::WorkerOrders& orders);
  void follow(const Address& leader);
  void search();
  void watch_silence();
  void schedule_poll();

  Runtime& runtime_;
  const NodeSettings& settings_;
  LeafSession& session_;
  const std::function<void()> orders_taken_;
  LeaderFinder finder_;
  bool stopped_ = true;

  Address target_;                   // empty: no leader known
  std::uint64_t target_number_ = 0;  // rises with every change of the target
  TimePoint followed_at_{};          // when a hint was followed last
  unsigned outstanding_ = 0;         // reports at the target
  bool news_ = false;
  std::uint64_t report_number_ = 0;    // of the newest report
  std::uint64_t answered_number_ = 0;  // newest report at the target that needs no answer any more
  TimePoint sent_at_{};
  TimePoint paused_until_{};  // nothing is sent before
  TimePoint heard_at_{};      // last answer of the target as leader, or when it became the target
  std::uint64_t lists_version_known_ = 0;  // lists that the target has answered for; 0: none
  std::uint64_t lists_report_known_ = 0;   // report that held them
  std::unique_ptr<Timer> poll_timer_;
  std::unique_ptr<Timer> silence_timer_;
  const std::shared_ptr<bool> alive_;  // false once this object is gone
};

}  // namespace winchhall::cluster
