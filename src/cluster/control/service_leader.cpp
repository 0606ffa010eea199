#include "cluster/control/service_leader.hpp"

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

namespace {

const std::string kShardPrefix = "service/";
constexpr Millis kMaxReportWait{300};  // a report without orders is answered after so long
constexpr Millis kStepDelay{1};        // requests that come together are planned together
constexpr Millis kTick{50};            // planning goes on without requests: due times, holds that end
constexpr std::uint32_t kRetryAfterMs = 1000;

wire::Envelope envelope(wire::JobReply answer) {
  wire::Envelope envelope;
  *envelope.mutable_job_reply() = std::move(answer);
  return envelope;
}

wire::Envelope envelope(wire::WorkerOrders orders) {
  wire::Envelope envelope;
  *envelope.mutable_worker_orders() = std::move(orders);
  return envelope;
}

Address leader_address(const ControlGroup& group, const std::string& shard) {
  for (const wire::ShardLeader& leader : group.leaders()) {
    if (leader.shard() == shard) return leader.address();
  }
  return Address();
}

}  // namespace

std::string shard_of_service(const std::string& service) { return kShardPrefix + service; }

std::vector<std::string> services_of(const std::vector<std::string>& shards) {
  std::vector<std::string> services;
  for (const std::string& shard : shards) {
    if (shard.starts_with(kShardPrefix)) services.push_back(shard.substr(kShardPrefix.size()));
  }
  return services;
}

ServiceLeader::ServiceLeader(Runtime& runtime, ControlGroup& group, const NodeSettings& settings,
                             std::string service)
    : runtime_(runtime), group_(group) {
  terms_.service = std::move(service);
  terms_.bounds = settings.bounds;
  terms_.lease_duration = settings.bounds.hold_max;
  ShardCallbacks callbacks;
  callbacks.on_lead = [this](std::uint64_t epoch, const std::vector<ShardEntry>& entries) {
    start_leading(epoch, entries);
  };
  callbacks.on_lost = [this] { stop_leading(); };
  shard_ = group_.open_shard(shard_of_service(terms_.service), std::move(callbacks));
}

void ServiceLeader::start_leading(std::uint64_t epoch, const std::vector<ShardEntry>& entries) {
  ++generation_;
  scheduler_ = make_scheduler(terms_, epoch, runtime_.random());
  epoch_ = epoch;
  ++leases_acquired_;
  scheduler_->restore(entries, runtime_.now(), runtime_.wall_clock_ms());
  log_event(LogLevel::info, "lease_acquired",
            {{"service", terms_.service},
             {"epoch", static_cast<std::int64_t>(epoch)},
             {"records", static_cast<std::int64_t>(entries.size())}});
  schedule_tick();
}

void ServiceLeader::stop_leading() {
  if (!scheduler_) return;
  ++leases_lost_;
  log_event(LogLevel::info, "lease_lost",
            {{"service", terms_.service}, {"epoch", static_cast<std::int64_t>(epoch_)}});
  ++generation_;
  scheduler_.reset();
  tick_timer_.reset();
  step_timer_.reset();
  step_due_ = false;
  const std::vector<PendingJobReply> waiting = std::exchange(waiting_, {});
  for (const PendingJobReply& answer : waiting) {
    wire::JobReply in_doubt;
    in_doubt.set_outcome(wire::JOB_IN_DOUBT);
    in_doubt.set_leader_address(leader_address(group_, shard_of_service(terms_.service)));
    answer.reply(envelope(std::move(in_doubt)));
  }
  const std::map<std::string, PendingReport> parked = std::exchange(pending_reports_, {});
  for (const auto& [node, report] : parked) {
    wire::WorkerOrders orders;
    orders.set_leader_address(leader_address(group_, shard_of_service(terms_.service)));
    report.reply(envelope(std::move(orders)));
  }
}

void ServiceLeader::step_down() {
  shard_->step_down();
  stop_leading();
}

ServiceStatus ServiceLeader::status() const {
  ServiceStatus status;
  status.service = terms_.service;
  status.leads = leads();
  if (status.leads) {
    status.epoch = epoch_;
    status.stats = scheduler_->stats();
  }
  status.leases_acquired = leases_acquired_;
  status.leases_lost = leases_lost_;
  status.pending_job_replies = waiting_.size();
  status.write_times = write_times_;
  return status;
}

std::vector<LeafView> ServiceLeader::leaves() const {
  return leads() ? scheduler_->leaves(runtime_.now()) : std::vector<LeafView>();
}

std::string ServiceLeader::summary() const { return leads() ? scheduler_->summary() : std::string(); }

void ServiceLeader::handle(const wire::JobRequest& request, const ReplyCallback& reply) {
  if (!leads()) return answer_not_leader(reply);
  switch (request.verb()) {
    case wire::JOB_SUBMIT:
      return submit(request, reply);
    case wire::JOB_CANCEL:
      return cancel(request, reply);
    case wire::JOB_QUERY:
      return query(request, reply);
    case wire::JOB_COUNT: {
      wire::JobReply answer;
      answer.set_outcome(wire::JOB_OK);
      answer.set_pending(scheduler_->pending(request.terms().queue()));
      return reply(envelope(std::move(answer)));
    }
    default: {
      wire::JobReply answer;
      answer.set_outcome(wire::JOB_INVALID);
      answer.set_reason("unknown verb");
      return reply(envelope(std::move(answer)));
    }
  }
}

void ServiceLeader::answer_not_leader(const ReplyCallback& reply) const {
  wire::JobReply answer;
  answer.set_outcome(wire::JOB_NOT_LEADER);
  answer.set_leader_address(leader_address(group_, shard_of_service(terms_.service)));
  reply(envelope(std::move(answer)));
}

void ServiceLeader::submit(const wire::JobRequest& request, const ReplyCallback& reply) {
  const SubmitResult result = scheduler_->submit(request.id(), request.spec(), request.terms(),
                                                 runtime_.now(), runtime_.wall_clock_ms());
  wire::JobReply answer;
  answer.set_outcome(result.outcome);
  answer.set_reason(result.reason);
  if (result.outcome == wire::JOB_REJECTED) answer.set_retry_after_ms(kRetryAfterMs);
  if (log_enabled(LogLevel::debug)) {
    log_event(LogLevel::debug, "job_submitted",
              {{"service", terms_.service},
               {"job", request.id()},
               {"outcome", static_cast<std::int64_t>(result.outcome)}});
  }
  answer_when_durable(result.durable_after, std::move(answer), reply);
}

void ServiceLeader::cancel(const wire::JobRequest& request, const ReplyCallback& reply) {
  const CancelResult result = scheduler_->cancel(request.id(), runtime_.now(), runtime_.wall_clock_ms());
  wire::JobReply answer;
  answer.set_outcome(result.found ? wire::JOB_OK : wire::JOB_NOT_FOUND);
  answer_when_durable(result.durable_after, std::move(answer), reply);
}

void ServiceLeader::query(const wire::JobRequest& request, const ReplyCallback& reply) {
  const wire::JobState state = scheduler_->state(request.id());
  wire::JobReply answer;
  answer.set_outcome(state == wire::JOB_UNKNOWN ? wire::JOB_NOT_FOUND : wire::JOB_OK);
  answer.set_state(state);
  reply(envelope(std::move(answer)));
}

void ServiceLeader::answer_when_durable(ChangeBatchNumber number, wire::JobReply answer,
                                        const ReplyCallback& reply) {
  if (number == 0) {
    reply(envelope(std::move(answer)));
  } else {
    waiting_.push_back({number, std::move(answer), reply});
  }
  schedule_step();
}

void ServiceLeader::handle(const wire::WorkerReport& report, const ReplyCallback& reply) {
  if (!leads()) {
    wire::WorkerOrders orders;
    orders.set_leader_address(leader_address(group_, shard_of_service(terms_.service)));
    return reply(envelope(std::move(orders)));
  }
  scheduler_->report(report, runtime_.now(), runtime_.wall_clock_ms());
  park(report, reply);
  schedule_step();
}

void ServiceLeader::park(const wire::WorkerReport& report, const ReplyCallback& reply) {
  PendingReport parked{reply, runtime_.now() + kMaxReportWait, report.report_number(),
                       report.leaf().leaf_id()};
  const auto found = pending_reports_.find(report.node_name());
  if (found != pending_reports_.end()) {
    answer_report(found->second);
    found->second = std::move(parked);
  } else {
    pending_reports_.emplace(report.node_name(), std::move(parked));
  }
}

void ServiceLeader::answer_report(const PendingReport& parked) {
  wire::WorkerOrders orders = scheduler_->orders(parked.leaf_id, runtime_.now());
  orders.set_report_number(parked.report_number);
  if (log_enabled(LogLevel::debug)) log_delivered_orders(orders);
  parked.reply(envelope(std::move(orders)));
}

void ServiceLeader::log_delivered_orders(const wire::WorkerOrders& orders) const {
  const auto epoch = static_cast<std::int64_t>(orders.epoch());
  const auto log_order = [&](const char* event, const std::string& task, std::uint64_t run) {
    log_event(LogLevel::debug, event,
              {{"service", terms_.service},
               {"epoch", epoch},
               {"leaf", orders.leaf_id()},
               {"task", task},
               {"run", static_cast<std::int64_t>(run)}});
  };
  for (const wire::StartOrder& start : orders.starts()) log_order("start_ordered", start.task(), start.run());
  for (const wire::StopOrder& stop : orders.stops()) log_order("stop_ordered", stop.task(), stop.run());
}

void ServiceLeader::answer_due_reports() {
  const TimePoint now = runtime_.now();
  for (auto entry = pending_reports_.begin(); entry != pending_reports_.end();) {
    const PendingReport& parked = entry->second;
    if (now < parked.answer_by && !scheduler_->has_undelivered_orders(parked.leaf_id)) {
      ++entry;
      continue;
    }
    answer_report(parked);
    entry = pending_reports_.erase(entry);
  }
}

void ServiceLeader::schedule_step() {
  if (step_due_) return;
  step_due_ = true;
  step_timer_ = runtime_.after(kStepDelay, [this] {
    step_due_ = false;
    step();
  });
}

void ServiceLeader::step() {
  if (!leads()) return;
  scheduler_->plan(runtime_.now(), runtime_.wall_clock_ms());
  write_changes();
  answer_due_reports();
}

void ServiceLeader::schedule_tick() {
  tick_timer_ = runtime_.after(kTick, [this] {
    step();
    schedule_tick();
  });
}

void ServiceLeader::write_changes() {
  Scheduler::ChangeBatch changes = scheduler_->take_changes();
  if (changes.changes.empty()) return;
  const ChangeBatchNumber number = changes.number;
  shard_->write(std::move(changes.changes), [this, number, generation = generation_,
                                             sent_at = runtime_.now()](ShardWriteOutcome outcome) {
    if (generation == generation_) changes_written(number, outcome, sent_at);
  });
}

void ServiceLeader::changes_written(ChangeBatchNumber number, ShardWriteOutcome outcome, TimePoint sent_at) {
  if (outcome != ShardWriteOutcome::durable || !scheduler_) return;
  write_times_.add(runtime_.now() - sent_at);
  scheduler_->on_changes_durable(number);
  if (leads()) release_waiting_answers(number);
  schedule_step();
}

void ServiceLeader::release_waiting_answers(ChangeBatchNumber durable) {
  std::vector<PendingJobReply> released;
  std::erase_if(waiting_, [&](PendingJobReply& answer) {
    if (answer.durable_after > durable) return false;
    released.push_back(std::move(answer));
    return true;
  });
  for (PendingJobReply& answer : released) answer.reply(envelope(std::move(answer.answer)));
}

}  // namespace winchhall::cluster
