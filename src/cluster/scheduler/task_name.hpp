// Names that identify tasks on the wire: "ID.K.STEP.INDEX", where ID is the job, K the repeat and STEP the
// stage.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster::scheduling {

// The parts of a task's name, in the order in which they are formatted.
struct TaskName {
  std::string job;           // job ID; may contain dots
  std::uint32_t repeat = 0;  // 0 for jobs without a timetable
  std::uint32_t stage = 0;
  std::uint32_t index = 0;  // within the stage

  bool operator==(const TaskName&) const = default;
};

// Returns the name in the form "ID.K.STEP.INDEX".
std::string format_task_name(const TaskName& name);

// Inverse of `format_task_name`. Fails with InvalidInput if the text is not of that form or a number exceeds
// 32 bits.
leaf::result<TaskName> parse_task_name(std::string_view text);

}  // namespace winchhall::cluster::scheduling
