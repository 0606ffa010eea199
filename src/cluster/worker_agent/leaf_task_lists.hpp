// The running and the finished tasks of a leaf, as of its newest heartbeat.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/common/leaf_protocol.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// The change that a heartbeat makes in the lists, in ascending order; the greatest one counts.
enum class TaskListsChange {
  none,
  progress,          // only percentages or checkpoints
  finished_removed,  // the leaf has dropped finished tasks that the leader has acknowledged
  runs,              // runs have started or finished
};

// Owns the lists of the newest heartbeat, with indexes by run. A run is identified by the task's name and the
// run's number. Not thread-safe.
class LeafTaskLists {
 public:
  // Replaces the lists by those of a newer heartbeat, which may be in any order. While the list of finished
  // tasks may be truncated, a running task that is in neither new list is kept as running, since it may have
  // finished without being listed. It is dropped with the first list that is not truncated.
  TaskListsChange update(std::vector<wire::RunningTask> running, std::vector<wire::FinishedTask> finished);
  // Removes all tasks.
  void clear();

  const std::vector<wire::RunningTask>& running() const { return running_; }     // sorted by task and run
  const std::vector<wire::FinishedTask>& finished() const { return finished_; }  // sorted by number
  // Returns true if finished tasks may be missing from the list.
  bool is_truncated() const { return finished_.size() >= kMaxFinishedListed; }
  // Returns true if runs that ended before the first list may not have been listed yet.
  bool may_lack_earlier_finished() const { return is_truncated() && !was_complete_; }
  // Returns true if the run is listed as running.
  bool is_running(std::string_view task, std::uint64_t run) const;
  // Returns true if the run is listed as running or as finished.
  bool is_listed(std::string_view task, std::uint64_t run) const;
  // Returns true if a finished task with this number or a lower one is listed.
  bool has_finished_up_to(std::uint64_t number) const;

 private:
  // Run numbers by task name. The names are owned by the lists that the index was built from.
  using RunIndex = std::unordered_multimap<std::string_view, std::uint64_t>;

  template <typename Task>
  static RunIndex index_runs(const std::vector<Task>& tasks);
  static bool contains(const RunIndex& index, std::string_view task, std::uint64_t run);
  TaskListsChange compare(const std::vector<wire::RunningTask>& running,
                          const std::vector<wire::FinishedTask>& finished) const;
  bool has_same_runs(const std::vector<wire::RunningTask>& running) const;
  bool has_no_new_finished(const std::vector<wire::FinishedTask>& finished) const;
  bool has_same_progress(const std::vector<wire::RunningTask>& running) const;
  // Appends to `running` the running tasks of the previous heartbeat that are in neither list of the new one.
  void carry_over_unlisted(std::vector<wire::RunningTask>& running,
                           const std::vector<wire::FinishedTask>& finished) const;
  void rebuild_indexes();

  std::vector<wire::RunningTask> running_;
  std::vector<wire::FinishedTask> finished_;
  bool was_complete_ = false;  // a list of finished tasks was not truncated since the last `clear`
  RunIndex running_index_;
  RunIndex finished_index_;
};

}  // namespace winchhall::cluster
