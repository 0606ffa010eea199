#include "cluster/scheduler/scheduler.hpp"

#include <algorithm>
#include <utility>

#include "cluster/scheduler/job_tombstones.hpp"
#include "cluster/scheduler/order_responder.hpp"
#include "cluster/scheduler/run_monitor.hpp"
#include "cluster/scheduler/scheduler_inspection.hpp"
#include "cluster/scheduler/speculative_executor.hpp"
#include "cluster/scheduler/task_placer.hpp"
#include "cluster/scheduler/worker_report_handler.hpp"

namespace winchhall::cluster {
namespace scheduling {
namespace {

constexpr Millis kReplanInterval{100};  // interval of planning while nothing has changed
constexpr Millis kCheckInterval{100};   // interval of the checks of leaves and runs

// Connects the components of the scheduler; makes no decisions itself.
class ServiceScheduler : public Scheduler {
 public:
  ServiceScheduler(SchedulerOptions options, std::uint64_t epoch, std::uint64_t seed)
      : state_(std::move(options), epoch, seed),
        runs_(state_),
        jobs_(state_, runs_),
        tombstones_(state_),
        ends_(state_, runs_, jobs_),
        report_handler_(state_, runs_, jobs_, ends_),
        order_responder_(state_),
        reservations_(state_, runs_),
        placer_(state_, runs_, reservations_),
        run_monitor_(state_, runs_, ends_),
        speculative_executor_(state_, runs_) {}

  void restore(const std::vector<ShardEntry>& entries, TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    RestoredState restored = decode_records(entries);
    for (const wire::WorkerRecord& worker : restored.workers) restore_leaf(worker);
    for (const RestoredJob& job : restored.jobs) jobs_.restore(job);
    for (const wire::JobTombstoneRecord& tombstone : restored.tombstones) tombstones_.restore(tombstone);
    for (const std::string& key : restored.orphaned_keys) state_.records.remove(key);
  }

  SubmitResult submit(const std::string& id, const wire::JobSpec& spec, const wire::QueueTerms& terms,
                      TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    return jobs_.submit(id, spec, terms);
  }

  JobLookup cancel(const std::string& id, TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    if (state_.jobs.find(id) != nullptr) return {JobKnowledge::known, jobs_.cancel(id)};
    const std::optional<ChangeBatchNumber> batch = tombstones_.add(id, JobTombstones::kAllVersions);
    return batch ? JobLookup{JobKnowledge::unknown, *batch} : JobLookup();
  }

  JobLookup confirm_unknown(const std::string& id, std::uint64_t configuration_version, TimePoint now,
                            std::int64_t wall_ms) override {
    observe(now, wall_ms);
    if (const Job* job = state_.jobs.find(id))
      return {JobKnowledge::known, job->durable ? 0 : job->last_change_batch};
    const std::optional<ChangeBatchNumber> batch = tombstones_.add(id, configuration_version);
    if (!batch) return {};
    return {tombstones_.rejects_all(id) ? JobKnowledge::cancelled : JobKnowledge::unknown, *batch};
  }

  bool rejects_submission(const std::string& id, std::uint64_t configuration_version) const override {
    return state_.jobs.find(id) == nullptr && tombstones_.rejects(id, configuration_version);
  }

  wire::JobState state(const std::string& id) const override {
    const Job* job = state_.jobs.find(id);
    return job == nullptr ? wire::JOB_UNKNOWN : visible_state(*job);
  }

  std::uint32_t pending(const std::string& queue) const override { return state_.jobs.pending(queue); }

  void report(const wire::WorkerReport& report, TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    report_handler_.handle(report);
  }

  void plan(TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    jobs_.run_timers();
    tombstones_.remove_expired();
    if (state_.now >= next_check_) {
      next_check_ = state_.now + kCheckInterval;
      run_monitor_.check();
      speculative_executor_.check();
    }
    if (state_.queue.empty() || (!state_.replan_needed && now < next_plan_)) return;
    state_.replan_needed = false;
    next_plan_ = now + kReplanInterval;
    placer_.place_waiting_tasks();
  }

  wire::WorkerOrders make_orders(const std::string& leaf_id, TimePoint now) override {
    state_.now = std::max(state_.now, now);
    return order_responder_.make_orders(leaf_id);
  }

  bool has_undelivered_orders(const std::string& leaf_id) const override {
    return order_responder_.has_undelivered_orders(leaf_id);
  }

  ChangeBatch take_changes() override {
    return state_.records.take(
        [this](const std::string& id) { return encode_progress(*state_.jobs.find(id)); });
  }

  void on_changes_durable(ChangeBatchNumber number) override {
    state_.records.on_durable(number);
    state_.replan_needed = true;
    jobs_.on_changes_durable();
    report_handler_.on_changes_durable();
  }

  std::vector<UnexpectedRun> take_unexpected_runs() override {
    return std::exchange(state_.unexpected_runs, {});
  }

  std::string summary() const override {
    const SchedulerStats current = stats();
    return "jobs=" + std::to_string(current.live_jobs) + " waiting=" + std::to_string(current.waiting_tasks) +
           " running=" + std::to_string(current.runs) + " leaves=" + std::to_string(current.leaves);
  }

  SchedulerStats stats() const override { return collect_stats(state_); }
  JobList jobs(std::size_t limit) const override { return list_jobs(state_, limit); }
  std::optional<JobDetail> job(const std::string& id) const override { return find_job(state_, id); }
  std::vector<LeafView> leaves(TimePoint now) const override { return list_leaves(state_, now); }

 private:
  void observe(TimePoint now, std::int64_t wall_ms) {
    state_.now = std::max(state_.now, now);
    state_.wall_clock.observe(state_.now, wall_ms);
  }

  // Registers a leaf to which an earlier leader may have given orders. The lease is assumed to have been
  // granted just now, since the earlier leader may have granted it until now.
  void restore_leaf(const wire::WorkerRecord& worker) {
    if (state_.leaves.find(worker.leaf_id()) != nullptr) return;
    Leaf& leaf = state_.leaves.add(worker.leaf_id(), worker.node_name());
    leaf.has_record = true;
    leaf.lease_expires_at = state_.now + state_.max_lease_duration();
    state_.unsynchronized_leaves.insert(leaf.id);
  }

  SchedulerState state_;
  RunTable runs_;
  JobLifecycle jobs_;
  JobTombstones tombstones_;
  RunEndHandler ends_;
  WorkerReportHandler report_handler_;
  OrderResponder order_responder_;
  BackfillReservations reservations_;
  TaskPlacer placer_;
  RunMonitor run_monitor_;
  SpeculativeExecutor speculative_executor_;
  TimePoint next_check_;
  TimePoint next_plan_;
};

}  // namespace
}  // namespace scheduling

std::unique_ptr<Scheduler> make_scheduler(SchedulerOptions options, std::uint64_t epoch, std::uint64_t seed) {
  return std::make_unique<scheduling::ServiceScheduler>(std::move(options), epoch, seed);
}

}  // namespace winchhall::cluster
