#include "cluster/worker_agent/leaf_task_lists.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace winchhall::cluster {
namespace {

bool is_before(const wire::RunningTask& left, const wire::RunningTask& right) {
  return std::forward_as_tuple(left.task(), left.run()) < std::forward_as_tuple(right.task(), right.run());
}

bool has_lower_number(const wire::FinishedTask& left, const wire::FinishedTask& right) {
  return left.number() < right.number();
}

}  // namespace

TaskListsChange LeafTaskLists::update(std::vector<wire::RunningTask> running,
                                      std::vector<wire::FinishedTask> finished) {
  if (finished.size() >= kMaxFinishedListed) carry_over_unlisted(running, finished);
  // A leaf may list its tasks in any order, so a different order alone is not a change.
  std::sort(running.begin(), running.end(), is_before);
  std::sort(finished.begin(), finished.end(), has_lower_number);
  const TaskListsChange change = compare(running, finished);
  running_ = std::move(running);
  finished_ = std::move(finished);
  was_complete_ = was_complete_ || !is_truncated();
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
  was_complete_ = false;
  rebuild_indexes();
}

bool LeafTaskLists::is_running(std::string_view task, std::uint64_t run) const {
  return contains(running_index_, task, run);
}

bool LeafTaskLists::is_listed(std::string_view task, std::uint64_t run) const {
  return is_running(task, run) || contains(finished_index_, task, run);
}

bool LeafTaskLists::has_finished_up_to(std::uint64_t number) const {
  return std::any_of(finished_.begin(), finished_.end(),
                     [number](const wire::FinishedTask& task) { return task.number() <= number; });
}

template <typename Task>
LeafTaskLists::RunIndex LeafTaskLists::index_runs(const std::vector<Task>& tasks) {
  RunIndex index;
  index.reserve(tasks.size());
  for (const Task& task : tasks) index.emplace(task.task(), task.run());
  return index;
}

bool LeafTaskLists::contains(const RunIndex& index, std::string_view task, std::uint64_t run) {
  const auto [first, last] = index.equal_range(task);
  return std::any_of(first, last, [run](const auto& entry) { return entry.second == run; });
}

bool LeafTaskLists::has_same_runs(const std::vector<wire::RunningTask>& running) const {
  return std::equal(running.begin(), running.end(), running_.begin(), running_.end(),
                    [](const wire::RunningTask& left, const wire::RunningTask& right) {
                      return left.run() == right.run() && left.task() == right.task();
                    });
}

bool LeafTaskLists::has_no_new_finished(const std::vector<wire::FinishedTask>& finished) const {
  return std::includes(finished_.begin(), finished_.end(), finished.begin(), finished.end(),
                       has_lower_number);
}

bool LeafTaskLists::has_same_progress(const std::vector<wire::RunningTask>& running) const {
  return std::equal(running.begin(), running.end(), running_.begin(), running_.end(),
                    [](const wire::RunningTask& left, const wire::RunningTask& right) {
                      return left.percent() == right.percent() && left.saved() == right.saved();
                    });
}

void LeafTaskLists::carry_over_unlisted(std::vector<wire::RunningTask>& running,
                                        const std::vector<wire::FinishedTask>& finished) const {
  const RunIndex listed_running = index_runs(running);
  const RunIndex listed_finished = index_runs(finished);
  std::vector<wire::RunningTask> unlisted;
  std::copy_if(running_.begin(), running_.end(), std::back_inserter(unlisted),
               [&](const wire::RunningTask& task) {
                 return !contains(listed_running, task.task(), task.run()) &&
                        !contains(listed_finished, task.task(), task.run());
               });
  // Appended only now, since the indexes refer to names in `running`, whose elements an insertion may move.
  std::move(unlisted.begin(), unlisted.end(), std::back_inserter(running));
}

void LeafTaskLists::rebuild_indexes() {
  running_index_ = index_runs(running_);
  finished_index_ = index_runs(finished_);
}

}  // namespace winchhall::cluster
