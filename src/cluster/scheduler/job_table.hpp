// All jobs of a service, by ID, with statistics of their queues.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// Result of looking up a task by name. Resolved from left to right: where a member is null, so are those
// after it.
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
  // Destroys the job; nothing may refer to it any more. `on_job_ended` must have been called before.
  void erase(const std::string& id);
  // Takes a job off the counts of live and pending jobs. To be called exactly once per job, when its state
  // becomes final.
  void on_job_ended(const Job& job);
  const Jobs& all() const { return jobs_; }

  TaskRef find_task(const TaskName& name) const;

  // Jobs of a queue that have not ended.
  std::uint32_t pending(const std::string& queue) const;
  // Jobs that have not ended.
  std::uint32_t live() const { return live_; }

  // Creates a repeat's stages, none of them ready. `due`: when the repeat fell due, from which its deadlines
  // are counted.
  Repeat& add_repeat(Job& job, std::uint32_t number, TimePoint due);

 private:
  struct QueueStats {
    std::uint32_t pending = 0;   // jobs that have not ended
    double estimate_sum_ms = 0;  // of all stages submitted with an estimate
    double estimate_count = 0;
  };
  // The stage's own estimate for a task, else the mean of its queue's, in ms.
  double estimate_ms_for(const Job& job, const wire::Stage& stage) const;
  // For each stage the longest chain of dependent stages that begins with it, by estimate, in ms.
  std::vector<double> critical_paths_ms(const Job& job) const;
  void initialize_stage(Job& job, StageInstance& stage, TimePoint due, double critical_path_ms);

  Jobs jobs_;
  std::unordered_map<std::string, QueueStats> queues_;  // by queue name
  std::uint32_t live_ = 0;
  std::uint64_t next_sequence_ = 1;  // of jobs and stages
};

}  // namespace winchhall::cluster::scheduling
