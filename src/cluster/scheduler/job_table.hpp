// All jobs of a service by ID, with statistics of their queues.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// Result of looking up a task by name. If a member is null, so are the members after it.
struct TaskRef {
  Job* job = nullptr;
  StageInstance* stage = nullptr;
  Task* task = nullptr;
};

// Owns the jobs, creates the instances of their stages and derives each stage's estimate and queue key.
// References to jobs stay valid until `erase`.
class JobTable {
 public:
  using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;

  // Adds a queued job. `id` must not be in the table.
  Job& add(const std::string& id, wire::JobSpec spec, wire::QueueTerms terms);
  // Null if there is no such job.
  Job* find(const std::string& id) const;
  // Destroys the job. `on_job_ended` must have been called before, and nothing may refer to the job any more.
  void erase(const std::string& id);
  // Removes a job from the counts of live and pending jobs. Must be called exactly once per job, when its
  // state becomes final.
  void on_job_ended(const Job& job);
  const Jobs& all() const { return jobs_; }

  // Looks up a task. Its stage and the task are null unless the task's repeat has started and still has its
  // stages.
  TaskRef find_task(const TaskName& name) const;

  // Number of jobs in a queue that have not ended.
  std::uint32_t pending(const std::string& queue) const;
  // Number of jobs that have not ended.
  std::uint32_t live() const { return live_; }

  // Creates a repeat's stages, none of them ready. Deadlines are counted from `due`, when the repeat was due.
  Repeat& add_repeat(Job& job, std::uint32_t number, TimePoint due);

 private:
  struct QueueStats {
    std::uint32_t pending = 0;   // jobs that have not ended
    double estimate_sum_ms = 0;  // sum over all stages submitted with an estimate
    double estimate_count = 0;   // number of these stages
  };
  // Expected duration of a task of the stage: the stage's own estimate, or without one the mean of the
  // estimates in its queue.
  double estimate_ms_for(const Job& job, const wire::Stage& stage) const;
  // For each stage, the estimated duration of the longest chain of dependent stages that begins with it.
  std::vector<double> critical_paths_ms(const Job& job) const;
  void initialize_stage(Job& job, StageInstance& stage, TimePoint due, double critical_path_ms);

  Jobs jobs_;
  std::unordered_map<std::string, QueueStats> queues_;  // by queue name
  std::uint32_t live_ = 0;
  std::uint64_t next_sequence_ = 1;  // sequence number of the next job or stage
};

}  // namespace winchhall::cluster::scheduling
