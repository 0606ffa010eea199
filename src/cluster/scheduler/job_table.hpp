// All jobs of a service: by ID, by queue, and the estimates that their queues gave so far.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// A task's place: either all three are there or the first that is not known is null, with those after it.
struct TaskRef {
  Job* job = nullptr;
  StageInstance* stage = nullptr;
  Task* task = nullptr;
};

class JobTable {
 public:
  using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;

  // Adds a job in its first state; its ID must be new.
  Job& add(const std::string& id, wire::JobSpec spec, wire::QueueTerms terms);
  Job* find(const std::string& id) const;
  void erase(const std::string& id);
  // To be called when a job ends, once.
  void count_end(const Job& job);
  const Jobs& all() const { return jobs_; }

  TaskRef place_of(const TaskName& name) const;

  std::uint32_t pending(const std::string& queue) const;
  std::uint32_t live() const { return live_; }

  // Creates the stages of one repeat; their tasks are not waiting yet. `due`: when the repeat fell due.
  Repeat& open_repeat(Job& job, std::uint32_t number, TimePoint due);

 private:
  // Hints that a queue's stages gave.
  struct QueueStats {
    std::uint32_t pending = 0;
    double hint_sum = 0;
    double hint_count = 0;
  };
  double hint_of(const Job& job, const wire::Stage& stage) const;
  // For each stage the longest chain of estimated work that begins with it, in ms.
  std::vector<double> critical_paths(const Job& job) const;
  void set_up_stage(Job& job, StageInstance& stage, TimePoint due, double critical_path_ms);

  Jobs jobs_;
  std::unordered_map<std::string, QueueStats> queues_;
  std::uint32_t live_ = 0;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace winchhall::cluster::scheduling
