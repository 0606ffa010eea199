#include "cluster/worker_agent/leaf_task_lists.hpp"

#include <algorithm>

namespace winchhall::cluster {
namespace {

// A leaf may list its tasks in any order: that alone is no change.
void sort_lists(std::vector<wire::RunningTask>& running, std::vector<wire::FinishedTask>& finished) {
  std::sort(running.begin(), running.end(),
            [](const wire::RunningTask& left, const wire::RunningTask& right) {
              return left.task() != right.task() ? left.task() < right.task() : left.run() < right.run();
            });
  std::sort(finished.begin(), finished.end(),
            [](const wire::FinishedTask& left, const wire::FinishedTask& right) {
              return left.number() < right.number();
            });
}

}  // namespace

TaskListsChange LeafTaskLists::update(std::vector<wire::RunningTask> running,
                                      std::vector<wire::FinishedTask> finished) {
  if (finished.size() >= kMaxFinishedListed) carry_over_unlisted(running, finished);
  sort_lists(running, finished);
  const TaskListsChange change = compare(running, finished);
  running_ = std::move(running);
  finished_ = std::move(finished);
  rebuild_indexes();
  return change;
}

TaskListsChange LeafTaskLists::compare(const std::vector<wire::RunningTask>& running,
                                       const std::vector<wire::FinishedTask>& finished) const {
  if (!has_same_runs(running) || !has_no_new_finished(finished)) return TaskListsChange::runs;
  if (finished.size() < finished_.size()) return TaskListsChange::finished_removed;
  return has_same_progress(running) ? TaskListsChange::none : TaskListsChange::progress;
}

void LeafTaskLists::clear() {
  running_.clear();
  finished_.clear();
  rebuild_indexes();
}

bool LeafTaskLists::runs(std::string_view task, std::uint64_t run) const {
  return contains(running_runs_, task, run);
}

bool LeafTaskLists::lists(std::string_view task, std::uint64_t run) const {
  return runs(task, run) || contains(finished_runs_, task, run);
}

bool LeafTaskLists::has_finished_up_to(std::uint64_t number) const {
  return std::any_of(finished_.begin(), finished_.end(),
                     [number](const wire::FinishedTask& end) { return end.number() <= number; });
}

bool LeafTaskLists::contains(const Runs& runs, std::string_view task, std::uint64_t run) {
  const auto [first, last] = runs.equal_range(task);
  return std::any_of(first, last, [run](const auto& entry) { return entry.second == run; });
}

LeafTaskLists::Runs LeafTaskLists::index_finished(const std::vector<wire::FinishedTask>& finished) {
  Runs runs;
  runs.reserve(finished.size());
  for (const wire::FinishedTask& end : finished) runs.emplace(end.task(), end.run());
  return runs;
}

bool LeafTaskLists::has_same_runs(const std::vector<wire::RunningTask>& running) const {
  return std::equal(running.begin(), running.end(), running_.begin(), running_.end(),
                    [](const wire::RunningTask& left, const wire::RunningTask& right) {
                      return left.run() == right.run() && left.task() == right.task();
                    });
}

// Both lists are in the order of the numbers.
bool LeafTaskLists::has_no_new_finished(const std::vector<wire::FinishedTask>& finished) const {
  return std::includes(finished_.begin(), finished_.end(), finished.begin(), finished.end(),
                       [](const wire::FinishedTask& left, const wire::FinishedTask& right) {
                         return left.number() < right.number();
                       });
}

bool LeafTaskLists::has_same_progress(const std::vector<wire::RunningTask>& running) const {
  return std::equal(running.begin(), running.end(), running_.begin(), running_.end(),
                    [](const wire::RunningTask& left, const wire::RunningTask& right) {
                      return left.percent() == right.percent() && left.saved() == right.saved();
                    });
}

void LeafTaskLists::carry_over_unlisted(std::vector<wire::RunningTask>& running,
                                        const std::vector<wire::FinishedTask>& finished) const {
  const Runs ended = index_finished(finished);
  Runs still_running;
  for (const wire::RunningTask& task : running) still_running.emplace(task.task(), task.run());
  std::vector<wire::RunningTask> hidden;
  for (const wire::RunningTask& task : running_) {
    if (contains(still_running, task.task(), task.run())) continue;
    if (contains(ended, task.task(), task.run())) continue;
    hidden.push_back(task);
  }
  std::move(hidden.begin(), hidden.end(), std::back_inserter(running));
}

void LeafTaskLists::rebuild_indexes() {
  running_runs_.clear();
  for (const wire::RunningTask& task : running_) running_runs_.emplace(task.task(), task.run());
  finished_runs_ = index_finished(finished_);
}

}  // namespace winchhall::cluster
