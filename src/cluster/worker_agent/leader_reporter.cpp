#include "cluster/worker_agent/leader_reporter.hpp"

#include <algorithm>

namespace winchhall::cluster {
namespace {

constexpr Millis kReportTimeout{900};
constexpr Millis kPollInterval{400};     // between reports without changes, while one is pending
constexpr Millis kMinReportInterval{5};  // between any two reports
constexpr Millis kResponseTimeout{600};
constexpr Millis kResponseCheckInterval{100};
constexpr Millis kMinRedirectInterval{100};
constexpr Millis kTakeoverRetryDelay{40};  // if the target has the lease but does not lead yet
constexpr unsigned kMaxReportsInFlight = 3;

}  // namespace

LeaderReporter::LeaderReporter(Runtime& runtime, const NodeSettings& settings, LeafSession& session,
                               std::function<void()> on_session_changed)
    : runtime_(runtime),
      settings_(settings),
      session_(session),
      on_session_changed_(std::move(on_session_changed)),
      finder_(runtime, settings, [this](const FoundLeader& leader) { on_leader_found(leader); }),
      alive_(std::make_shared<bool>(true)) {}

LeaderReporter::~LeaderReporter() { *alive_ = false; }

void LeaderReporter::start() {
  stopped_ = false;
  search();
}

void LeaderReporter::stop() {
  stopped_ = true;
  finder_.stop();
  check_timer_.reset();
  response_timer_.reset();
}

void LeaderReporter::report_now() {
  has_unsent_changes_ = true;
  send_if_due();
}

std::string LeaderReporter::service() const {
  if (session_.has_leaf() && !session_.leaf().service().empty()) return session_.leaf().service();
  return settings_.backend;
}

void LeaderReporter::search() {
  if (stopped_ || service().empty()) return;
  finder_.search(service(), session_.epoch());
}

void LeaderReporter::send_if_due() {
  if (stopped_ || !session_.has_leaf()) return;
  if (target_.empty()) return search();
  if (runtime_.now() < paused_until_) {
    check_timer_ = runtime_.after(kTakeoverRetryDelay, [this] { send_if_due(); });
    return;
  }
  const SteadyClock::duration since_last = runtime_.now() - sent_at_;
  const bool due = is_report_urgent() || since_last >= kPollInterval;
  if (due && reports_in_flight_ < kMaxReportsInFlight && since_last >= kMinReportInterval) send();
  schedule_check();
}

void LeaderReporter::schedule_check() {
  const bool soon = is_report_urgent() && reports_in_flight_ < kMaxReportsInFlight;
  check_timer_ = runtime_.after(soon ? kMinReportInterval : kPollInterval, [this] { send_if_due(); });
}

wire::WorkerReport LeaderReporter::make_report(ReportInFlight& in_flight) {
  in_flight.report = SentReport{++report_number_, runtime_.now()};
  in_flight.target_generation = target_generation_;
  in_flight.lists_version = session_.lists_version();
  in_flight.lists_included = acknowledged_lists_version_ != in_flight.lists_version;
  wire::WorkerReport report;
  session_.fill_report(report, in_flight.lists_included, runtime_.now());
  report.set_report_number(in_flight.report.number);
  report.set_lists_as_of(in_flight.lists_included ? in_flight.report.number : acknowledged_lists_report_);
  return report;
}

void LeaderReporter::send() {
  ReportInFlight in_flight;
  wire::Envelope request;
  *request.mutable_worker_report() = make_report(in_flight);
  has_unsent_changes_ = false;
  ++reports_in_flight_;
  sent_at_ = in_flight.report.sent_at;
  if (!response_timer_) check_response_timeout();
  runtime_.call(target_, std::move(request), kReportTimeout,
                [this, alive = alive_, in_flight](const CallResult& result) {
                  if (*alive) on_answer(in_flight, result);
                });
}

void LeaderReporter::on_answer(const ReportInFlight& in_flight, const CallResult& result) {
  const bool at_target = is_at_target(in_flight);
  if (at_target) {
    --reports_in_flight_;
    answered_number_ = std::max(answered_number_, in_flight.report.number);
  }
  if (stopped_) return;
  if (result.answer && result.answer->has_worker_orders()) {
    on_orders(in_flight, result.answer->worker_orders());
  } else if (at_target) {
    has_unsent_changes_ = true;  // the report may not have arrived
    search();
  }
  send_if_due();
}

void LeaderReporter::on_orders(const ReportInFlight& in_flight, const wire::WorkerOrders& orders) {
  const ProcessedOrders processed = session_.process_orders(in_flight.report, orders);
  if (processed.outcome != OrdersOutcome::accepted) return on_orders_refused(in_flight, orders);
  if (is_at_target(in_flight)) record_leader_response(in_flight, orders);
  if (processed.report_needed) has_unsent_changes_ = true;
  on_session_changed_();
}

void LeaderReporter::record_leader_response(const ReportInFlight& in_flight,
                                            const wire::WorkerOrders& orders) {
  last_response_at_ = runtime_.now();
  finder_.stop();
  if (orders.lists_wanted()) {
    acknowledged_lists_version_ = 0;
  } else if (in_flight.lists_included && in_flight.report.number > acknowledged_lists_report_) {
    acknowledged_lists_version_ = in_flight.lists_version;
    acknowledged_lists_report_ = in_flight.report.number;
  }
}

void LeaderReporter::on_orders_refused(const ReportInFlight& in_flight, const wire::WorkerOrders& orders) {
  if (!is_at_target(in_flight)) return;
  const bool taking_over = orders.leader_address() == target_;
  if (taking_over) {
    paused_until_ = runtime_.now() + kTakeoverRetryDelay;
    return;
  }
  const bool redirected = !orders.leader_address().empty();
  const bool may_follow = runtime_.now() - last_redirect_at_ >= kMinRedirectInterval;
  if (redirected && may_follow) {
    last_redirect_at_ = runtime_.now();
    return switch_to(orders.leader_address());
  }
  target_.clear();
  search();
}

void LeaderReporter::on_leader_found(const FoundLeader& leader) {
  session_.observe_epoch(leader.epoch);
  switch_to(leader.address);
  on_session_changed_();
}

void LeaderReporter::switch_to(const Address& leader) {
  if (stopped_) return;
  const bool changed = leader != target_;
  const bool timed_out = runtime_.now() - last_response_at_ >= kResponseTimeout;
  if (changed || timed_out) {  // reports in flight to a leader that was down are lost
    target_ = leader;
    ++target_generation_;
    reports_in_flight_ = 0;
    answered_number_ = report_number_;
    acknowledged_lists_version_ = 0;
    acknowledged_lists_report_ = 0;
  }
  if (changed) last_response_at_ = runtime_.now();
  has_unsent_changes_ = true;
  send_if_due();
}

void LeaderReporter::check_response_timeout() {
  const SteadyClock::duration without_response = runtime_.now() - last_response_at_;
  const Millis remaining = std::chrono::duration_cast<Millis>(kResponseTimeout - without_response);
  response_timer_ = runtime_.after(remaining.count() > 0 ? remaining : kResponseCheckInterval, [this] {
    if (runtime_.now() - last_response_at_ >= kResponseTimeout) search();
    check_response_timeout();
  });
}

}  // namespace winchhall::cluster
