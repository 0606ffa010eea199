// Takes in what worker-agents report of their leaves.
#include "cluster/scheduler/worker_report_handler.hpp"

#include <algorithm>

#include "cluster/scheduler/eligibility.hpp"

namespace winchhall::cluster::scheduling {
namespace {

constexpr int kEndsListedAtOnce = 500;  // a leaf lists no more; what is missing may have ended all the same

}  // namespace

void WorkerReportHandler::take(const wire::WorkerReport& report) {
  ++state_.counters.reports;
  Node& node = state_.leaves.node(report.node_name());
  if (!node.order.accept(report.session(), report.report_number())) return;
  end_previous_life(report);
  Leaf* leaf = leaf_of(report);
  if (leaf == nullptr) return;
  describe(*leaf, report);
  bool listed = store_lists(*leaf, report);
  leaf->lists_wanted = !listed;
  if (listed && report.epoch() == state_.epoch) take_lists(*leaf);
  if (!leaf->recorded && !leaf->draining && !leaf->left && leaf->heartbeat_age_ms <= kFreshHeartbeatMs)
    write_record(*leaf);
}

bool WorkerReportHandler::is_current(const wire::WorkerReport& report, const Leaf& leaf) const {
  // A process that has had an answer of this leader lives: what it says is not of the past.
  return report.epoch() == state_.epoch || leaf.session == report.session();
}

void WorkerReportHandler::end_previous_life(const wire::WorkerReport& report) {
  const std::string& previous_id = report.previous_leaf_id();
  if (previous_id.empty() || previous_id == report.leaf().leaf_id()) return;
  Leaf* previous = state_.leaves.find(previous_id);
  if (previous == nullptr || previous->node != report.node_name()) return;
  if (is_current(report, *previous)) ends_.on_incarnation_ended(*previous);
}

Leaf* WorkerReportHandler::leaf_of(const wire::WorkerReport& report) {
  const std::string& id = report.leaf().leaf_id();
  Node& node = state_.leaves.node(report.node_name());
  if (id.empty() || std::find(node.over.begin(), node.over.end(), id) != node.over.end()) return nullptr;
  if (!report.leaf().service().empty() && report.leaf().service() != state_.terms.service) return nullptr;
  Leaf* leaf = state_.leaves.find(id);
  if (leaf != nullptr && leaf->node != report.node_name()) return nullptr;
  if (leaf != nullptr && node.leaf_id == id && leaf->adopted) return leaf;
  std::vector<Leaf*> earlier;
  for (const auto& other : state_.leaves.all())
    if (other->node == report.node_name() && other->id != id) earlier.push_back(other.get());
  for (Leaf* life : earlier) {
    if (!is_current(report, *life)) return nullptr;
    ends_.on_incarnation_ended(*life);
  }
  node.leaf_id = id;
  return leaf != nullptr ? leaf : &state_.leaves.add(id, report.node_name());
}

void WorkerReportHandler::describe(Leaf& leaf, const wire::WorkerReport& report) {
  const wire::LeafDescription& said = report.leaf();
  Resources capacity{said.cpu(), said.mem_mb(), said.gpu()};
  if (!(capacity == leaf.capacity)) state_.changed = true;
  leaf.capacity = capacity;
  leaf.labels.assign(said.labels().begin(), said.labels().end());
  leaf.rack = leaf.labels.empty() ? std::string() : leaf.labels.back();
  leaf.remaining_ms = said.remaining_ms();
  leaf.reported_at = state_.now;
  leaf.heartbeat_age_ms = report.heartbeat_age_ms();
  if (report.left() && !leaf.left) leaf.left_at = state_.now;
  leaf.left = leaf.left || report.left();
  bool same_session = leaf.reported && leaf.session == report.session();
  bool same_epoch = report.epoch() == state_.epoch;
  leaf.epoch_delivered = leaf.epoch_delivered && same_session;
  leaf.session = report.session();
  leaf.report_number = report.report_number();
  leaf.received = same_epoch ? std::min(report.orders_received(), leaf.revision) : 0;
  leaf.settled = same_epoch ? std::min(report.orders_settled(), leaf.received) : 0;
  leaf.told = same_session ? std::max(leaf.told, leaf.received) : leaf.received;
  leaf.reported = true;
  if (said.draining() && !leaf.draining) {
    leaf.draining = true;
    withdraw_undelivered(leaf);
  }
}

void WorkerReportHandler::withdraw_undelivered(Leaf& leaf) {
  std::vector<RunKey> keys;
  for (const auto& [key, run] : leaf.runs)
    if (!run.listed) keys.push_back(key);
  for (const RunKey& key : keys) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    Run& run = found->second;
    StageInstance* gang = run.stage != nullptr && run.stage->spec->gang() ? run.stage : nullptr;
    ledger_.stop(run);
    if (gang != nullptr) ends_.stop_gang_run(*gang, key.run);
  }
}

void WorkerReportHandler::write_record(Leaf& leaf) {
  leaf.recorded = true;
  leaf.record_change =
      state_.records.put(RecordWriteBuffer::worker_key(leaf.id), encode_worker(leaf.id, leaf.node));
}

bool WorkerReportHandler::store_lists(Leaf& leaf, const wire::WorkerReport& report) {
  ReportedTaskLists& lists = leaf.lists;
  if (!report.lists_included())
    return lists.known && lists.session == report.session() && lists.report_number == report.lists_as_of();
  lists.known = true;
  lists.session = report.session();
  lists.report_number = report.report_number();
  lists.running.assign(report.running().begin(), report.running().end());
  lists.finished.assign(report.finished().begin(), report.finished().end());
  return true;
}

void WorkerReportHandler::take_lists(Leaf& leaf) {
  ++leaf.generation;
  take_ends(leaf);
  for (const wire::RunningTask& entry : leaf.lists.running) take_running(leaf, entry);
  take_out_missing(leaf);
  settle_orders(leaf);
  if (!leaf.adopted) state_.changed = true;
  leaf.adopted = true;
  if (state_.unsynchronized_leaves.erase(leaf.id) > 0 && state_.unsynchronized_leaves.empty()) {
    ends_.stop_partial_gangs();
    state_.changed = true;
  }
  note_ends(leaf);
}

void WorkerReportHandler::take_running(Leaf& leaf, const wire::RunningTask& entry) {
  auto found = leaf.runs.find(RunKeyView{entry.task(), entry.run()});
  Run* run = found == leaf.runs.end() ? nullptr : &found->second;
  if (run == nullptr) {
    TaskRef place;
    if (auto name = parse_task_name(entry.task())) {
      place = state_.jobs.place_of(*name);
      if (place.job != nullptr && place.stage == nullptr) jobs_.open_early(*place.job, name->repeat);
      place = state_.jobs.place_of(*name);
    }
    run = &ledger_.adopt(leaf, entry, place);
  }
  run->generation = leaf.generation;
  run->told = true;
  if (!run->listed) run->listed_at = run->moved_at = state_.now;
  run->listed = true;
  if (run->percent != entry.percent()) run->moved_at = state_.now;
  run->percent = entry.percent();
  if (run->task != nullptr && !entry.saved().empty() && run->number >= run->task->saved.run)
    run->task->saved = {entry.saved(), run->number};
}

void WorkerReportHandler::take_ends(Leaf& leaf) {
  std::vector<const wire::FinishedTask*> fresh;
  for (const wire::FinishedTask& entry : leaf.lists.finished)
    if (entry.number() > leaf.processed_ends) fresh.push_back(&entry);
  std::sort(fresh.begin(), fresh.end(),
            [](const auto* a, const auto* b) { return a->number() < b->number(); });
  for (const wire::FinishedTask* entry : fresh) {
    if (entry->number() <= leaf.processed_ends) continue;
    leaf.processed_ends = entry->number();
    leaf.unacknowledged_ends.push_back({entry->number(), ends_.listed(leaf, *entry)});
  }
}

void WorkerReportHandler::take_out_missing(Leaf& leaf) {
  if (leaf.lists.finished.size() >= kEndsListedAtOnce) return;
  std::vector<RunKey> missing;
  for (const auto& [key, run] : leaf.runs)
    if (run.generation != leaf.generation && (run.listed || run.start_revision <= leaf.settled))
      missing.push_back(key);
  for (const RunKey& key : missing) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found != leaf.runs.end()) ends_.on_run_lost(found->second);
  }
}

void WorkerReportHandler::settle_orders(Leaf& leaf) {
  while (!leaf.starts.empty() && leaf.starts.front().revision() <= leaf.settled) leaf.starts.pop_front();
  while (!leaf.stops.empty() && leaf.stops.front().revision() <= leaf.settled) leaf.stops.pop_front();
  for (auto& [key, run] : leaf.runs) {
    if (run.stop_revision == 0 || run.stop_revision > leaf.settled) continue;
    run.stop_revision = 0;  // settled, and it still runs: to be ordered again
    ledger_.stop(run);
  }
}

void WorkerReportHandler::note_ends(Leaf& leaf) {
  while (!leaf.unacknowledged_ends.empty() &&
         state_.records.is_durable(leaf.unacknowledged_ends.front().durable_after)) {
    leaf.last_seen = leaf.unacknowledged_ends.front().number;
    leaf.unacknowledged_ends.pop_front();
  }
}

void WorkerReportHandler::on_changes_durable() {
  for (const auto& leaf : state_.leaves.all()) note_ends(*leaf);
}

}  // namespace winchhall::cluster::scheduling
