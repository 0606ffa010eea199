// Checks of what clients hand in.
#include "cluster/scheduler/job_validation.hpp"

#include <cstdint>

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::size_t kLongestId = 64;
constexpr std::size_t kLongestSpec = 4000;
constexpr std::size_t kLongestLabel = 256;
constexpr int kMostStages = 256;
constexpr std::uint32_t kMostTasks = 10000;  // of a stage
constexpr std::uint64_t kMostInAll = 20000;  // of all stages
constexpr std::uint32_t kMostRepeats = 1000000;

leaf::error_id invalid(const std::string& field, const std::string& value, const std::string& allowed) {
  return leaf::new_error(InvalidInput{"job", field, value, allowed});
}

leaf::result<void> check_stage(const wire::Stage& stage, std::uint32_t number) {
  std::string field = "stages[" + std::to_string(number) + "]";
  if (stage.count() == 0 || stage.count() > kMostTasks)
    return invalid(field + ".count", std::to_string(stage.count()), "1 to " + std::to_string(kMostTasks));
  for (std::uint32_t earlier : stage.depends_on())
    if (earlier >= number)
      return invalid(field + ".depends_on", std::to_string(earlier), "numbers of earlier stages");
  if (stage.requirements().size() > kLongestLabel || stage.colocation().size() > kLongestLabel)
    return invalid(field, "long label", "labels of at most " + std::to_string(kLongestLabel) + " bytes");
  return {};
}

}  // namespace

leaf::result<void> validate_job(const std::string& id, const wire::JobSpec& spec) {
  if (id.empty() || id.size() > kLongestId) return invalid("id", id.substr(0, kLongestId), "16 hex digits");
  if (spec.spec().size() > kLongestSpec)
    return invalid("spec", std::to_string(spec.spec().size()) + " bytes",
                   "at most " + std::to_string(kLongestSpec));
  if (spec.stages_size() == 0 || spec.stages_size() > kMostStages)
    return invalid("stages", std::to_string(spec.stages_size()), "1 to " + std::to_string(kMostStages));
  if (spec.repeat_count() > kMostRepeats)
    return invalid("repeat_count", std::to_string(spec.repeat_count()),
                   "at most " + std::to_string(kMostRepeats));
  std::uint64_t tasks = 0;
  for (int i = 0; i < spec.stages_size(); ++i) {
    BOOST_LEAF_CHECK(check_stage(spec.stages(i), static_cast<std::uint32_t>(i)));
    tasks += spec.stages(i).count();
  }
  if (tasks > kMostInAll)
    return invalid("stages", std::to_string(tasks) + " tasks", "at most " + std::to_string(kMostInAll));
  return {};
}

}  // namespace winchhall::cluster::scheduling
