// The merge of shard replicas by a new lease holder or a newcomer.
#include "cluster/consensus/shard_replica.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/consensus/shard_record.hpp"

namespace winchhall::cluster {
namespace {

TEST_CASE(
    "a merge of replicas drops records from before the highest base unless a replica of that base has them") {
  ShardReplica based;
  based.state.set_base(5);
  based.records["a"] = shard_record("a", 2, 1);
  ShardReplica outdated;
  outdated.state.set_base(2);
  outdated.records["a"] = shard_record("a", 3, 9);
  outdated.records["b"] = shard_record("b", 4, 1);
  outdated.records["c"] = shard_record("c", 5, 1);
  const ShardReplica merged = merge_replicas({&outdated, &based});
  CHECK(merged.state.base() == 5);
  CHECK(merged.records.size() == 2);
  CHECK(merged.records.at("a").sequence() == 1);
  CHECK(merged.records.contains("c"));
}

}  // namespace
}  // namespace winchhall::cluster
