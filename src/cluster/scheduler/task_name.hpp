// Names of tasks as leaves know them: ID.K.STEP.INDEX.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster::scheduling {

struct TaskName {
  std::string job;
  std::uint32_t repeat = 0;  // 0 for jobs without times
  std::uint32_t stage = 0;
  std::uint32_t index = 0;

  bool operator==(const TaskName&) const = default;
};

std::string format_task_name(const TaskName& name);

// Errors: InvalidInput.
leaf::result<TaskName> parse_task_name(std::string_view text);

}  // namespace winchhall::cluster::scheduling
