#include "cluster/control/service_leader.hpp"

#include <utility>

#include "cluster/common/log.hpp"
#include "cluster/common/service_shard.hpp"
#include "cluster/control/inspection_responses.hpp"
#include "cluster/control/service_replies.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kPlanningDelay{1};  // batches requests that arrive together
constexpr Millis kTickInterval{50};  // between plans without requests, for due jobs and expired task leases

SchedulerOptions scheduler_terms(const NodeSettings& settings, std::string service) {
  SchedulerOptions terms;
  terms.service = std::move(service);
  terms.bounds = settings.bounds;
  terms.lease_duration = settings.bounds.hold_max;
  return terms;
}

}  // namespace

ServiceLeader::ServiceLeader(Runtime& runtime, ControlGroup& group, const NodeSettings& settings,
                             std::string service)
    : runtime_(runtime),
      group_(group),
      terms_(scheduler_terms(settings, std::move(service))),
      job_requests_(runtime, terms_.service),
      worker_reports_(runtime, terms_.service) {
  ShardCallbacks callbacks;
  callbacks.on_lead = [this](std::uint64_t epoch, const std::vector<ShardEntry>& entries) {
    start_leading(epoch, entries);
  };
  callbacks.on_lost = [this] { stop_leading(); };
  shard_ = group_.open_shard(shard_of_service(terms_.service), std::move(callbacks));
}

// ---------------------------------------------------------------- lease

void ServiceLeader::start_leading(std::uint64_t epoch, const std::vector<ShardEntry>& entries) {
  ++leadership_number_;
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
  ++leadership_number_;
  scheduler_.reset();
  tick_timer_.reset();
  planning_timer_.reset();
  planning_scheduled_ = false;
  const Address leader = leader_address();
  job_requests_.send_in_doubt_replies(leader);
  worker_reports_.redirect_all(leader);
}

void ServiceLeader::step_down() {
  shard_->step_down();
  stop_leading();
}

// Returns the address of the leader that this node knows, or an empty one if it knows none.
Address ServiceLeader::leader_address() const {
  const std::string shard = shard_of_service(terms_.service);
  for (const wire::ShardLeader& leader : group_.leaders()) {
    if (leader.shard() == shard) return leader.address();
  }
  return Address();
}

// ---------------------------------------------------------------- inspection

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
  status.pending_job_replies = job_requests_.pending_replies();
  status.write_times = write_times_;
  return status;
}

std::vector<LeafView> ServiceLeader::leaves() const {
  return leads() ? scheduler_->leaves(runtime_.now()) : std::vector<LeafView>();
}

std::string ServiceLeader::summary() const { return leads() ? scheduler_->summary() : std::string(); }

// ---------------------------------------------------------------- requests

void ServiceLeader::handle(const wire::JobRequest& request, const ReplyCallback& reply) {
  if (!leads()) return reply(job_not_leader_reply(leader_address()));
  if (job_requests_.handle(*scheduler_, request, reply)) schedule_planning();
}

void ServiceLeader::handle(const wire::WorkerReport& report, const ReplyCallback& reply) {
  if (!leads()) return reply(report_not_leader_reply(leader_address()));
  worker_reports_.handle(*scheduler_, report, reply);
  log_unexpected_runs();
  schedule_planning();
}

void ServiceLeader::log_unexpected_runs() {
  for (const UnexpectedRun& found : scheduler_->take_unexpected_runs()) {
    log_event(LogLevel::warning, "unexpected_run",
              {{"service", terms_.service},
               {"epoch", static_cast<std::int64_t>(epoch_)},
               {"task", found.task},
               {"run", static_cast<std::int64_t>(found.run)},
               {"leaf", found.leaf},
               {"listed_as", found.ended ? "ended" : "running"},
               {"job", !found.job_known     ? "unknown"
                       : found.job_restored ? "restored"
                                            : "submitted"},
               {"other_run", static_cast<std::int64_t>(found.other_run)},
               {"other_leaf", found.other_leaf},
               {"given_up_as", run_loss_reason_name(found.loss)},
               {"given_up_ms_ago", found.loss_age_ms},
               {"given_up_session", std::to_string(found.loss_session)},
               {"given_up_report", static_cast<std::int64_t>(found.loss_report)},
               {"session", std::to_string(found.session)},
               {"report", static_cast<std::int64_t>(found.report)}});
  }
}

// ---------------------------------------------------------------- planning and writing

void ServiceLeader::schedule_planning() {
  if (planning_scheduled_) return;
  planning_scheduled_ = true;
  planning_timer_ = runtime_.after(kPlanningDelay, [this] {
    planning_scheduled_ = false;
    plan();
  });
}

void ServiceLeader::schedule_tick() {
  tick_timer_ = runtime_.after(kTickInterval, [this] {
    plan();
    schedule_tick();
  });
}

void ServiceLeader::plan() {
  if (!leads()) return;
  scheduler_->plan(runtime_.now(), runtime_.wall_clock_ms());
  write_changes();
  // The lease may have been lost during the write.
  if (scheduler_) worker_reports_.answer_due_reports(*scheduler_);
}

void ServiceLeader::write_changes() {
  Scheduler::ChangeBatch changes = scheduler_->take_changes();
  if (changes.changes.empty()) return;
  const auto on_written = [this, number = changes.number, leadership = leadership_number_,
                           sent_at = runtime_.now()](ShardWriteOutcome outcome) {
    if (leadership == leadership_number_) on_changes_written(number, outcome, sent_at);
  };
  shard_->write(std::move(changes.changes), on_written);
}

void ServiceLeader::on_changes_written(ChangeBatchNumber number, ShardWriteOutcome outcome,
                                       TimePoint sent_at) {
  if (outcome != ShardWriteOutcome::durable || !scheduler_) return;
  write_times_.add(runtime_.now() - sent_at);
  scheduler_->on_changes_durable(number);
  if (leads()) job_requests_.send_durable_replies(number);
  schedule_planning();
}

}  // namespace winchhall::cluster
