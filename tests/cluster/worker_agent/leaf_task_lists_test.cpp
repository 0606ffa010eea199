// Comparison of a leaf's task lists with those of the previous heartbeat.
#include "cluster/worker_agent/leaf_task_lists.hpp"

#include <catch2/catch.hpp>

using namespace winchhall::cluster;

TEST_CASE("a different order of the listed tasks is not a change") {
  LeafTaskLists lists;
  wire::RunningTask one;
  one.set_task("a");
  wire::RunningTask other;
  other.set_task("b");
  CHECK(lists.update({one, other}, {}) == TaskListsChange::runs);
  CHECK(lists.update({other, one}, {}) == TaskListsChange::none);
  CHECK(lists.update({other}, {}) == TaskListsChange::runs);
}
