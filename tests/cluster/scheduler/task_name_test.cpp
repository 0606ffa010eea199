#include "cluster/scheduler/task_name.hpp"

#include <catch2/catch.hpp>

namespace winchhall::cluster::scheduling {
namespace {

TEST_CASE("task names are parsed as they are formatted") {
  TaskName name{"5c0e7a21d94b36f8", 3, 1, 17};
  CHECK(format_task_name(name) == "5c0e7a21d94b36f8.3.1.17");
  CHECK(parse_task_name("5c0e7a21d94b36f8.3.1.17").value() == name);
  for (const char* bad :
       {"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.2.-3", "a.1.2.99999999999", "a.1.2.", "a.1..3"})
    CHECK_FALSE(parse_task_name(bad));
}

}  // namespace
}  // namespace winchhall::cluster::scheduling
