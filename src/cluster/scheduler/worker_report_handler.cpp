#include "cluster/scheduler/worker_report_handler.hpp"

#include <algorithm>
#include <vector>

#include "cluster/scheduler/eligibility.hpp"

namespace winchhall::cluster::scheduling {
namespace {

template <class Order>
void drop_orders_up_to(std::deque<Order>& orders, Revision revision) {
  while (!orders.empty() && orders.front().revision() <= revision) orders.pop_front();
}

}  // namespace

void WorkerReportHandler::handle(const wire::WorkerReport& report) {
  ++state_.counters.reports;
  if (classify(report) != ReportStatus::current) return;
  end_previous_incarnation(report);
  Leaf* leaf = resolve_leaf(report);
  if (leaf == nullptr) return;
  update_leaf(*leaf, report);
  const bool has_lists = store_task_lists(*leaf, report);
  leaf->lists_requested = !has_lists;
  if (has_lists && report.epoch() == state_.epoch) reconcile(*leaf);
  if (!leaf->has_record && !leaf->draining && !leaf->deregistered &&
      leaf->heartbeat_age_ms <= kMaxLeaseHeartbeatAgeMs)
    write_leaf_record(*leaf);
}

ReportStatus WorkerReportHandler::classify(const wire::WorkerReport& report) {
  WorkerSessionTracker& sessions = state_.leaves.node(report.node_name()).sessions;
  const Revision received = report.epoch() == state_.epoch ? report.orders_received() : 0;
  const Revision next = state_.last_revision + 1;
  const ReportStatus status = sessions.observe({report.session(), report.report_number(), received}, next);
  if (status != ReportStatus::unconfirmed) return status;
  const Revision challenge = sessions.challenge(report.session());
  Leaf* leaf = state_.leaves.find(report.leaf().leaf_id());
  if (leaf != nullptr) leaf->issued_revision = std::max(leaf->issued_revision, challenge);
  if (challenge == next) request_confirmation(report, leaf);
  return status;
}

void WorkerReportHandler::request_confirmation(const wire::WorkerReport& report, Leaf* leaf) {
  ++state_.last_revision;
  if (leaf == nullptr) {
    state_.leaves.announce(report.leaf().leaf_id());
    return;
  }
  // If the process is a new one, it has received no orders, and this leader has none of its lists.
  leaf->delivered_revision = 0;
  leaf->received_revision = 0;
  leaf->applied_revision = 0;
  leaf->lists_requested = true;
}

void WorkerReportHandler::end_previous_incarnation(const wire::WorkerReport& report) {
  const std::string& previous_id = report.previous_leaf_id();
  if (previous_id.empty() || previous_id == report.leaf().leaf_id()) return;
  Leaf* previous = state_.leaves.find(previous_id);
  if (previous != nullptr && previous->node == report.node_name()) ends_.on_incarnation_ended(*previous);
}

Leaf* WorkerReportHandler::resolve_leaf(const wire::WorkerReport& report) {
  const std::string& id = report.leaf().leaf_id();
  Node& node = state_.leaves.node(report.node_name());
  const auto& ended = node.ended_incarnations;
  if (id.empty() || std::find(ended.begin(), ended.end(), id) != ended.end()) return nullptr;
  if (!report.leaf().service().empty() && report.leaf().service() != state_.options.service) return nullptr;
  Leaf* leaf = state_.leaves.find(id);
  if (leaf != nullptr && leaf->node != report.node_name()) return nullptr;
  if (leaf != nullptr && node.current_leaf_id == id && leaf->synchronized) return leaf;
  std::vector<Leaf*> earlier;
  for (const auto& other : state_.leaves.all())
    if (other->node == report.node_name() && other->id != id) earlier.push_back(other.get());
  for (Leaf* incarnation : earlier) ends_.on_incarnation_ended(*incarnation);
  node.current_leaf_id = id;
  if (leaf != nullptr) return leaf;
  Leaf& added = state_.leaves.add(id, report.node_name());
  added.issued_revision = state_.last_revision;
  // An earlier leader may have granted a lease in the answer to the newest heartbeat.
  added.lease_expires_at = state_.now + state_.max_lease_duration() - Millis(report.heartbeat_age_ms());
  return &added;
}

void WorkerReportHandler::update_leaf(Leaf& leaf, const wire::WorkerReport& report) {
  const wire::LeafDescription& description = report.leaf();
  const Resources capacity{description.cpu(), description.mem_mb(), description.gpu()};
  if (!(capacity == leaf.capacity)) state_.replan_needed = true;
  leaf.capacity = capacity;
  leaf.labels.assign(description.labels().begin(), description.labels().end());
  leaf.rack = leaf.labels.empty() ? std::string() : leaf.labels.back();
  leaf.drain_remaining_ms = description.remaining_ms();
  leaf.reported_at = state_.now;
  leaf.heartbeat_age_ms = report.heartbeat_age_ms();
  if (report.left() && !leaf.deregistered) leaf.deregistered_at = state_.now;
  leaf.deregistered = leaf.deregistered || report.left();
  update_revisions(leaf, report);
  leaf.reported = true;
  if (description.draining() && !leaf.draining) {
    leaf.draining = true;
    cancel_unconfirmed_starts(leaf);
  }
}

void WorkerReportHandler::update_revisions(Leaf& leaf, const wire::WorkerReport& report) {
  const bool same_session = leaf.reported && leaf.session == report.session();
  const bool same_epoch = report.epoch() == state_.epoch;
  leaf.epoch_delivered = leaf.epoch_delivered && same_session;
  leaf.session = report.session();
  leaf.report_number = report.report_number();
  leaf.received_revision = same_epoch ? std::min(report.orders_received(), leaf.issued_revision) : 0;
  leaf.applied_revision = same_epoch ? std::min(report.orders_settled(), leaf.received_revision) : 0;
  leaf.delivered_revision =
      same_session ? std::max(leaf.delivered_revision, leaf.received_revision) : leaf.received_revision;
}

void WorkerReportHandler::cancel_unconfirmed_starts(Leaf& leaf) {
  // Keys, because stopping one member of a gang may remove others on the same leaf.
  std::vector<RunKey> keys;
  for (const auto& [key, run] : leaf.runs)
    if (!run.reported) keys.push_back(key);
  for (const RunKey& key : keys) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    Run& run = found->second;
    StageInstance* gang = run.stage != nullptr && run.stage->spec->gang() ? run.stage : nullptr;
    runs_.stop_run(run);
    if (gang != nullptr) ends_.stop_gang_run(*gang, key.run);
  }
}

void WorkerReportHandler::write_leaf_record(Leaf& leaf) {
  leaf.has_record = true;
  leaf.record_batch = state_.records.put(worker_key(leaf.id), encode_worker(leaf.id, leaf.node));
}

bool WorkerReportHandler::store_task_lists(Leaf& leaf, const wire::WorkerReport& report) {
  ReportedTaskLists& lists = leaf.task_lists;
  if (!report.lists_included())
    return lists.available && lists.session == report.session() &&
           lists.report_number == report.lists_as_of();
  lists.available = true;
  lists.session = report.session();
  lists.report_number = report.report_number();
  lists.running.assign(report.running().begin(), report.running().end());
  lists.finished.assign(report.finished().begin(), report.finished().end());
  return true;
}

void WorkerReportHandler::reconcile(Leaf& leaf) {
  ++leaf.report_generation;
  // Ends are processed first: a task whose run has ended may be listed as running with a later run.
  process_ends(leaf);
  for (const wire::RunningTask& entry : leaf.task_lists.running) process_running(leaf, entry);
  remove_missing_runs(leaf);
  drop_applied_orders(leaf);
  if (!leaf.task_lists.may_lack_ends()) mark_synchronized(leaf);
  acknowledge_durable_ends(leaf);
}

void WorkerReportHandler::mark_synchronized(Leaf& leaf) {
  if (leaf.synchronized) return;
  leaf.synchronized = true;
  state_.replan_needed = true;
  const bool was_last =
      state_.unsynchronized_leaves.erase(leaf.id) > 0 && state_.unsynchronized_leaves.empty();
  if (was_last) ends_.stop_partial_gangs();
}

void WorkerReportHandler::process_running(Leaf& leaf, const wire::RunningTask& entry) {
  auto found = leaf.runs.find(RunKeyView{entry.task(), entry.run()});
  Run& run = found == leaf.runs.end() ? adopt_run(leaf, entry) : found->second;
  run.report_generation = leaf.report_generation;
  run.start_delivered = true;
  if (!run.reported) run.first_reported_at = run.progressed_at = state_.now;
  run.reported = true;
  if (run.percent != entry.percent()) run.progressed_at = state_.now;
  run.percent = entry.percent();
  if (run.task != nullptr && !entry.saved().empty() && run.number >= run.task->checkpoint.run)
    run.task->checkpoint = {entry.saved(), run.number};
}

Run& WorkerReportHandler::adopt_run(Leaf& leaf, const wire::RunningTask& entry) {
  TaskRef ref;
  if (auto name = parse_task_name(entry.task())) {
    ref = state_.jobs.find_task(*name);
    if (ref.job != nullptr && ref.stage == nullptr) jobs_.start_repeat_early(*ref.job, name->repeat);
    ref = state_.jobs.find_task(*name);
  }
  return runs_.adopt_reported_run(leaf, entry, ref);
}

void WorkerReportHandler::process_ends(Leaf& leaf) {
  std::vector<const wire::FinishedTask*> new_ends;
  for (const wire::FinishedTask& entry : leaf.task_lists.finished)
    if (entry.number() > leaf.processed_end) new_ends.push_back(&entry);
  std::sort(new_ends.begin(), new_ends.end(),
            [](const auto* a, const auto* b) { return a->number() < b->number(); });
  for (const wire::FinishedTask* entry : new_ends) {
    if (entry->number() <= leaf.processed_end) continue;
    leaf.processed_end = entry->number();
    leaf.unacknowledged_ends.push_back({entry->number(), ends_.on_end_reported(leaf, *entry)});
  }
}

void WorkerReportHandler::remove_missing_runs(Leaf& leaf) {
  if (leaf.task_lists.may_lack_ends()) return;
  std::vector<RunKey> missing;
  for (const auto& [key, run] : leaf.runs) {
    const bool was_there = run.reported || run.start_revision <= leaf.applied_revision;
    if (run.report_generation != leaf.report_generation && was_there) missing.push_back(key);
  }
  for (const RunKey& key : missing) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found != leaf.runs.end()) ends_.on_run_lost(found->second, RunLossReason::missing);
  }
}

void WorkerReportHandler::drop_applied_orders(Leaf& leaf) {
  drop_orders_up_to(leaf.pending_starts, leaf.applied_revision);
  drop_orders_up_to(leaf.pending_stops, leaf.applied_revision);
  for (auto& [key, run] : leaf.runs) {
    if (run.stop_revision == 0 || run.stop_revision > leaf.applied_revision) continue;
    run.stop_revision = 0;  // the stop was applied, but the run is still listed: order the stop again
    runs_.stop_run(run);
  }
}

void WorkerReportHandler::acknowledge_durable_ends(Leaf& leaf) {
  std::deque<UnacknowledgedEnd>& ends = leaf.unacknowledged_ends;
  while (!ends.empty() && state_.records.is_durable(ends.front().durable_after)) {
    leaf.acknowledged_end = ends.front().number;
    ends.pop_front();
  }
}

void WorkerReportHandler::on_changes_durable() {
  for (const auto& leaf : state_.leaves.all()) acknowledge_durable_ends(*leaf);
}

}  // namespace winchhall::cluster::scheduling
