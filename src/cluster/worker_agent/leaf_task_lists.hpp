// What runs on a leaf and what has ended there, as of its newest heartbeat.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// A heartbeat holds this many ends at most: with so many, others may be hidden.
inline constexpr std::size_t kMaxFinishedListed = 500;

// What a heartbeat changed: nothing, only progress or checkpoints, also ends that the leaf has forgotten, or
// what runs or has ended.
enum class TaskListsChange { none, progress, finished_removed, runs };

class LeafTaskLists {
 public:
  // Takes in the lists of a newer heartbeat. Runs that vanish while ends may be hidden count as running until
  // they show up again or the list of ends is whole.
  TaskListsChange update(std::vector<wire::RunningTask> running, std::vector<wire::FinishedTask> finished);
  void clear();

  const std::vector<wire::RunningTask>& running() const { return running_; }
  const std::vector<wire::FinishedTask>& finished() const { return finished_; }
  // True if ends may be missing from the list.
  bool is_truncated() const { return finished_.size() >= kMaxFinishedListed; }
  bool runs(std::string_view task, std::uint64_t run) const;
  // True if the run is listed as running or ended.
  bool lists(std::string_view task, std::uint64_t run) const;
  // True if the list holds an end with this number or a lower one.
  bool has_finished_up_to(std::uint64_t number) const;

 private:
  // Newest run of a task in one of the lists, by the task's name, which the lists own.
  using Runs = std::unordered_multimap<std::string_view, std::uint64_t>;

  static bool contains(const Runs& runs, std::string_view task, std::uint64_t run);
  static Runs index_finished(const std::vector<wire::FinishedTask>& finished);
  TaskListsChange compare(const std::vector<wire::RunningTask>& running,
                          const std::vector<wire::FinishedTask>& finished) const;
  bool has_same_runs(const std::vector<wire::RunningTask>& running) const;
  bool has_no_new_finished(const std::vector<wire::FinishedTask>& finished) const;
  bool has_same_progress(const std::vector<wire::RunningTask>& running) const;
  void carry_over_unlisted(std::vector<wire::RunningTask>& running,
                           const std::vector<wire::FinishedTask>& finished) const;
  void rebuild_indexes();

  std::vector<wire::RunningTask> running_;
  std::vector<wire::FinishedTask> finished_;
  Runs running_runs_;
  Runs finished_runs_;
};

}  // namespace winchhall::cluster
