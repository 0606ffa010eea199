#include "cluster/worker_agent/leader_link.hpp"

#include <algorithm>

namespace winchhall::cluster {
namespace {

constexpr Millis kReportTimeout{900};
constexpr Millis kPollInterval{400};  // between reports without news, while one is outstanding
constexpr Millis kLeastReportGap{5};  // between any two reports
constexpr Millis kSilenceLimit{600};  // of the leader, then others are asked
constexpr Millis kSilenceCheck{100};
constexpr Millis kLeastFollowGap{100};  // between two hints that are followed
constexpr Millis kTakeOverPause{
    40};  // before a node that holds the lease but does not lead yet is tried again
constexpr unsigned kMostOutstanding = 3;

}  // namespace

LeaderLink::LeaderLink(Runtime& runtime, const NodeSettings& settings, LeafSession& session,
                       std::function<void()> on_orders)
    : runtime_(runtime),
      settings_(settings),
      session_(session),
      orders_taken_(std::move(on_orders)),
      finder_(runtime, settings, [this](const FoundLeader& leader) { follow(leader.address); }),
      alive_(std::make_shared<bool>(true)) {}

LeaderLink::~LeaderLink() { *alive_ = false; }

void LeaderLink::start() {
  stopped_ = false;
  search();
}

void LeaderLink::stop() {
  stopped_ = true;
  finder_.stop();
  poll_timer_.reset();
  silence_timer_.reset();
}

void LeaderLink::report_now() {
  news_ = true;
  pump();
}

std::string LeaderLink::service() const {
  if (session_.has_leaf() && !session_.leaf().service().empty()) return session_.leaf().service();
  return settings_.backend;
}

void LeaderLink::search() {
  if (stopped_ || service().empty()) return;
  finder_.search(service(), session_.epoch());
}

// Sends a report if one is due, else sees to it that one goes out in time.
void LeaderLink::pump() {
  if (stopped_ || !session_.has_leaf()) return;
  if (target_.empty()) return search();
  if (runtime_.now() < paused_until_) {
    poll_timer_ = runtime_.after(kTakeOverPause, [this] { pump(); });
    return;
  }
  const SteadyClock::duration since = runtime_.now() - sent_at_;
  const bool wanted = news_ || !poll_waits() || since >= kPollInterval;
  if (wanted && outstanding_ < kMostOutstanding && since >= kLeastReportGap) send();
  schedule_poll();
}

void LeaderLink::schedule_poll() {
  const bool soon = (news_ || !poll_waits()) && outstanding_ < kMostOutstanding;
  poll_timer_ = runtime_.after(soon ? kLeastReportGap : kPollInterval, [this] { pump(); });
}

wire::WorkerReport LeaderLink::next_report(Sent& sent) {
  sent.report = SentReport{++report_number_, runtime_.now()};
  sent.target = target_;
  sent.target_number = target_number_;
  sent.lists_version = session_.lists_version();
  sent.lists_included = lists_version_known_ != sent.lists_version;
  wire::WorkerReport report;
  session_.fill_report(report, sent.lists_included, runtime_.now());
  report.set_report_number(sent.report.number);
  report.set_lists_as_of(sent.lists_included ? sent.report.number : lists_report_known_);
  return report;
}

void LeaderLink::send() {
  Sent sent;
  wire::Envelope request;
  *request.mutable_worker_report() = next_report(sent);
  news_ = false;
  ++outstanding_;
  sent_at_ = sent.report.sent;
  if (!silence_timer_) watch_silence();
  runtime_.call(target_, std::move(request), kReportTimeout,
                [this, alive = alive_, sent](const CallResult& result) {
                  if (*alive) on_answer(sent, result);
                });
}

void LeaderLink::on_answer(const Sent& sent, const CallResult& result) {
  const bool current = sent.target_number == target_number_;
  if (current) --outstanding_;
  if (current) answered_number_ = std::max(answered_number_, sent.report.number);
  if (stopped_) return;
  if (result.answer && result.answer->has_worker_orders()) {
    on_orders(sent, result.answer->worker_orders());
  } else if (current) {
    news_ = true;  // the report may not have arrived
    search();
  }
  pump();
}

void LeaderLink::on_orders(const Sent& sent, const wire::WorkerOrders& orders) {
  const OrdersResult taken = session_.take_orders(sent.report, orders);
  if (taken.verdict != OrdersVerdict::taken) return on_refused(sent, orders);
  if (sent.target_number == target_number_) on_heard(sent, orders);
  if (taken.report_wanted) news_ = true;
  orders_taken_();
}

void LeaderLink::on_heard(const Sent& sent, const wire::WorkerOrders& orders) {
  heard_at_ = runtime_.now();
  finder_.stop();
  if (orders.lists_wanted()) {
    lists_version_known_ = 0;
  } else if (sent.lists_included && sent.report.number > lists_report_known_) {
    lists_version_known_ = sent.lists_version;
    lists_report_known_ = sent.report.number;
  }
}

void LeaderLink::on_refused(const Sent& sent, const wire::WorkerOrders& orders) {
  if (sent.target_number != target_number_) return;
  if (orders.leader_address() == target_) {  // it takes over
    paused_until_ = runtime_.now() + kTakeOverPause;
    return;
  }
  const bool hinted = !orders.leader_address().empty();
  const bool paced = runtime_.now() - followed_at_ >= kLeastFollowGap;
  if (hinted && paced) {
    followed_at_ = runtime_.now();
    return follow(orders.leader_address());
  }
  target_.clear();
  search();
}

void LeaderLink::follow(const Address& leader) {
  if (stopped_) return;
  const bool changed = leader != target_;
  const bool fell_silent = runtime_.now() - heard_at_ >= kSilenceLimit;
  if (changed || fell_silent) {  // what is outstanding at a leader that was away is lost
    target_ = leader;
    ++target_number_;
    outstanding_ = 0;
    answered_number_ = report_number_;
    lists_version_known_ = 0;
    lists_report_known_ = 0;
  }
  if (changed) heard_at_ = runtime_.now();
  news_ = true;
  pump();
}

// Asks others for the leader once it has been silent for too long; goes on until it is heard.
void LeaderLink::watch_silence() {
  const SteadyClock::duration silent = runtime_.now() - heard_at_;
  const Millis left = std::chrono::duration_cast<Millis>(kSilenceLimit - silent);
  silence_timer_ = runtime_.after(left.count() > 0 ? left : kSilenceCheck, [this] {
    if (runtime_.now() - heard_at_ >= kSilenceLimit) search();
    watch_silence();
  });
}

}  // namespace winchhall::cluster
