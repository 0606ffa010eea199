#include "cluster/control/worker_report_endpoint.hpp"

#include <utility>

#include "cluster/common/log.hpp"
#include "cluster/control/service_replies.hpp"

namespace winchhall::cluster {
namespace {

constexpr Millis kMaxReportWait{300};

}  // namespace

void WorkerReportEndpoint::handle(Scheduler& scheduler, const wire::WorkerReport& report,
                                  const ReplyCallback& reply) {
  scheduler.report(report, runtime_.now(), runtime_.wall_clock_ms());
  PendingReport pending{reply, runtime_.now() + kMaxReportWait, report.report_number(),
                        report.leaf().leaf_id()};
  const auto earlier = pending_reports_.find(report.node_name());
  if (earlier != pending_reports_.end()) {
    answer(scheduler, earlier->second);
    earlier->second = std::move(pending);
  } else {
    pending_reports_.emplace(report.node_name(), std::move(pending));
  }
}

void WorkerReportEndpoint::answer(Scheduler& scheduler, const PendingReport& report) const {
  wire::WorkerOrders orders = scheduler.make_orders(report.leaf_id, runtime_.now());
  orders.set_report_number(report.report_number);
  if (log_enabled(LogLevel::debug)) log_delivered_orders(orders);
  report.reply(worker_orders_envelope(std::move(orders)));
}

void WorkerReportEndpoint::log_delivered_orders(const wire::WorkerOrders& orders) const {
  const auto epoch = static_cast<std::int64_t>(orders.epoch());
  const auto log_order = [&](const char* event, const std::string& task, std::uint64_t run) {
    log_event(LogLevel::debug, event,
              {{"service", service_},
               {"epoch", epoch},
               {"leaf", orders.leaf_id()},
               {"task", task},
               {"run", static_cast<std::int64_t>(run)}});
  };
  for (const wire::StartOrder& start : orders.starts()) log_order("start_ordered", start.task(), start.run());
  for (const wire::StopOrder& stop : orders.stops()) log_order("stop_ordered", stop.task(), stop.run());
}

void WorkerReportEndpoint::answer_due_reports(Scheduler& scheduler) {
  const TimePoint now = runtime_.now();
  for (auto entry = pending_reports_.begin(); entry != pending_reports_.end();) {
    const PendingReport& report = entry->second;
    if (now < report.deadline && !scheduler.has_undelivered_orders(report.leaf_id)) {
      ++entry;
      continue;
    }
    answer(scheduler, report);
    entry = pending_reports_.erase(entry);
  }
}

void WorkerReportEndpoint::redirect_all(const Address& leader) {
  const std::map<std::string, PendingReport> redirected = std::exchange(pending_reports_, {});
  for (const auto& [node, report] : redirected) report.reply(report_not_leader_reply(leader));
}

}  // namespace winchhall::cluster
