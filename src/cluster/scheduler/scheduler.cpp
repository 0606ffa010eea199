// Decides for one service which task runs where: the parts put together.
#include "cluster/scheduler/scheduler.hpp"

#include <utility>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/run_monitor.hpp"
#include "cluster/scheduler/scheduler_inspection.hpp"
#include "cluster/scheduler/task_placer.hpp"
#include "cluster/scheduler/worker_report_handler.hpp"

namespace winchhall::cluster {
namespace scheduling {
namespace {

constexpr Millis kReplan{100};  // waiting tasks are looked at this often although nothing has changed
constexpr Millis kBusyAfterStart{500};

class ServiceScheduler : public Scheduler {
 public:
  ServiceScheduler(SchedulerTerms terms, std::uint64_t epoch, std::uint64_t seed)
      : state_(std::move(terms), epoch, seed),
        ledger_(state_),
        jobs_(state_, ledger_),
        ends_(state_, ledger_, jobs_),
        intake_(state_, ledger_, jobs_, ends_),
        claims_(state_, ledger_),
        placer_(state_, ledger_, claims_),
        watchdog_(state_, ledger_, ends_) {}

  void restore(const std::vector<ShardEntry>& entries, TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    RestoredState restored = decode_records(entries);
    for (const wire::WorkerRecord& worker : restored.workers) restore_worker(worker);
    for (const RestoredJob& job : restored.jobs) jobs_.restore(job);
    for (const std::string& key : restored.stray_keys) state_.records.remove(key);
  }

  SubmitResult submit(const std::string& id, const wire::JobSpec& spec, const wire::QueueTerms& terms,
                      TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    return jobs_.submit(id, spec, terms);
  }

  CancelResult cancel(const std::string& id, TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    return jobs_.cancel(id);
  }

  wire::JobState state(const std::string& id) const override {
    const Job* job = state_.jobs.find(id);
    if (job == nullptr) return wire::JOB_UNKNOWN;
    return shown_state(*job);
  }

  std::uint32_t pending(const std::string& queue) const override { return state_.jobs.pending(queue); }

  void report(const wire::WorkerReport& report, TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    intake_.take(report);
  }

  void plan(TimePoint now, std::int64_t wall_ms) override {
    observe(now, wall_ms);
    jobs_.run_timers();
    watchdog_.look();
    if (state_.queue.empty() || (!state_.changed && now < next_plan_)) return;
    state_.changed = false;
    next_plan_ = now + kReplan;
    placer_.place_all();
  }

  wire::WorkerOrders orders(const std::string& leaf_id, TimePoint now) override;

  bool has_undelivered_orders(const std::string& leaf_id) const override {
    const Leaf* leaf = state_.leaves.find(leaf_id);
    if (leaf == nullptr) return true;
    bool untold = !leaf->starts.empty() && leaf->starts.back().revision() > leaf->told;
    untold = untold || (!leaf->stops.empty() && leaf->stops.back().revision() > leaf->told);
    return untold || leaf->last_seen > leaf->delivered_last_seen || leaf->lists_wanted ||
           !leaf->epoch_delivered;
  }

  ChangeBatch take_changes() override {
    return state_.records.take(
        [this](const std::string& id) { return encode_progress(*state_.jobs.find(id)); });
  }

  void on_changes_durable(ChangeBatchNumber number) override {
    state_.records.durable(number);
    state_.changed = true;
    jobs_.on_changes_durable();
    intake_.on_changes_durable();
  }

  std::string summary() const override {
    const SchedulerStats now = stats();
    return "jobs=" + std::to_string(now.live_jobs) + " waiting=" + std::to_string(now.waiting_tasks) +
           " running=" + std::to_string(now.runs) + " leaves=" + std::to_string(now.leaves);
  }

  SchedulerStats stats() const override { return collect_stats(state_); }
  JobList jobs(std::size_t limit) const override { return list_jobs(state_, limit); }
  std::optional<JobDetail> job(const std::string& id) const override { return find_job(state_, id); }
  std::vector<LeafView> leaves(TimePoint now) const override { return list_leaves(state_, now); }

 private:
  void observe(TimePoint now, std::int64_t wall_ms) {
    state_.now = std::max(state_.now, now);
    state_.wall.observe(state_.now, wall_ms);
  }

  void restore_worker(const wire::WorkerRecord& worker) {
    if (state_.leaves.find(worker.leaf_id()) != nullptr) return;
    Leaf& leaf = state_.leaves.add(worker.leaf_id(), worker.node_name());
    leaf.restored = true;
    leaf.recorded = true;
    leaf.lease_expires_at = state_.now + state_.max_lease_duration();
    state_.unsynchronized_leaves.insert(leaf.id);
  }

  void add_orders(const Leaf& leaf, wire::WorkerOrders& orders);

  SchedulerState state_;
  RunTable ledger_;
  JobLifecycle jobs_;
  RunEndHandler ends_;
  WorkerReportHandler intake_;
  BackfillReservations claims_;
  TaskPlacer placer_;
  RunMonitor watchdog_;
  TimePoint next_plan_;
};

wire::WorkerOrders ServiceScheduler::orders(const std::string& leaf_id, TimePoint now) {
  state_.now = std::max(state_.now, now);
  wire::WorkerOrders orders;
  orders.set_epoch(state_.epoch);
  orders.set_leaf_id(leaf_id);
  orders.set_busy(!state_.queue.empty() || state_.now - state_.last_start < kBusyAfterStart);
  Leaf* leaf = state_.leaves.find(leaf_id);
  if (leaf == nullptr) {
    orders.set_lists_wanted(true);
    return orders;
  }
  orders.set_revision(leaf->revision);
  orders.set_report_number(leaf->report_number);
  orders.set_lists_wanted(leaf->lists_wanted);
  orders.set_last_seen(leaf->last_seen);
  if (leaf->reported && leaf->heartbeat_age_ms <= kFreshHeartbeatMs) {
    orders.set_grant_ms(static_cast<std::uint32_t>(state_.lease_duration().count()));
    leaf->lease_expires_at = std::max(leaf->lease_expires_at, state_.now + state_.max_lease_duration());
  }
  add_orders(*leaf, orders);
  leaf->told = leaf->revision;
  leaf->delivered_last_seen = leaf->last_seen;
  leaf->lists_wanted = false;
  leaf->epoch_delivered = true;
  return orders;
}

void ServiceScheduler::add_orders(const Leaf& leaf, wire::WorkerOrders& orders) {
  for (const wire::StartOrder& start : leaf.starts) {
    if (start.revision() <= leaf.received) continue;
    *orders.add_starts() = start;
    auto run = state_.leaves.find(leaf.id)->runs.find(RunKeyView{start.task(), start.run()});
    run->second.told = true;
  }
  for (const wire::StopOrder& stop : leaf.stops)
    if (stop.revision() > leaf.received) *orders.add_stops() = stop;
}

}  // namespace
}  // namespace scheduling

std::unique_ptr<Scheduler> make_scheduler(SchedulerTerms terms, std::uint64_t epoch, std::uint64_t seed) {
  return std::make_unique<scheduling::ServiceScheduler>(std::move(terms), epoch, seed);
}

}  // namespace winchhall::cluster
