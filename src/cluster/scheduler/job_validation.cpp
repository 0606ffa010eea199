#include "cluster/scheduler/job_validation.hpp"

#include <cstdint>

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::size_t kMaxIdBytes = 64;
constexpr std::size_t kMaxSpecBytes = 4000;
constexpr std::size_t kMaxLabelBytes = 256;
constexpr int kMaxStages = 256;
constexpr std::uint32_t kMaxTasksPerStage = 10000;
constexpr std::uint64_t kMaxTasksPerRepeat = 20000;  // in all stages together
constexpr std::uint32_t kMaxRepeats = 1000000;

leaf::error_id invalid_job(const std::string& field, const std::string& value, const std::string& allowed) {
  return leaf::new_error(InvalidInput{"job", field, value, allowed});
}

leaf::result<void> validate_stage(const wire::Stage& stage, std::uint32_t number) {
  std::string field = "stages[" + std::to_string(number) + "]";
  if (stage.count() == 0 || stage.count() > kMaxTasksPerStage)
    return invalid_job(field + ".count", std::to_string(stage.count()),
                       "1 to " + std::to_string(kMaxTasksPerStage));
  for (std::uint32_t dependency : stage.depends_on())
    if (dependency >= number)
      return invalid_job(field + ".depends_on", std::to_string(dependency), "numbers of earlier stages");
  if (stage.requirements().size() > kMaxLabelBytes || stage.colocation().size() > kMaxLabelBytes)
    return invalid_job(field, "long label", "labels of at most " + std::to_string(kMaxLabelBytes) + " bytes");
  return {};
}

}  // namespace

leaf::result<void> validate_job(const std::string& id, const wire::JobSpec& spec) {
  if (id.empty() || id.size() > kMaxIdBytes)
    return invalid_job("id", id.substr(0, kMaxIdBytes), "16 hex digits");
  if (spec.spec().size() > kMaxSpecBytes)
    return invalid_job("spec", std::to_string(spec.spec().size()) + " bytes",
                       "at most " + std::to_string(kMaxSpecBytes));
  if (spec.stages_size() == 0 || spec.stages_size() > kMaxStages)
    return invalid_job("stages", std::to_string(spec.stages_size()), "1 to " + std::to_string(kMaxStages));
  if (spec.repeat_count() > kMaxRepeats)
    return invalid_job("repeat_count", std::to_string(spec.repeat_count()),
                       "at most " + std::to_string(kMaxRepeats));
  std::uint64_t tasks = 0;
  for (int i = 0; i < spec.stages_size(); ++i) {
    BOOST_LEAF_CHECK(validate_stage(spec.stages(i), static_cast<std::uint32_t>(i)));
    tasks += spec.stages(i).count();
  }
  if (tasks > kMaxTasksPerRepeat)
    return invalid_job("stages", std::to_string(tasks) + " tasks",
                       "at most " + std::to_string(kMaxTasksPerRepeat));
  return {};
}

}  // namespace winchhall::cluster::scheduling
