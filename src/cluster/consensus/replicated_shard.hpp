// A shard: a set of records kept on every member of the control group and changed by the one holder of its
// lease.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// How a write ended. `lost`: this node no longer leads; the write may or may not last.
enum class ShardWriteOutcome { durable, lost };

// One change of a record; no value: the record is removed.
struct ShardChange {
  std::string key;
  std::optional<std::string> value;
};

// A record as the new holder of a lease finds it.
struct ShardEntry {
  std::string key;
  std::string value;
};

// What the holder of a shard's lease is told. All calls come from the event loop.
struct ShardCallbacks {
  // This node leads from now on, with the newest version of every record that was ever acknowledged.
  std::function<void(std::uint64_t epoch, std::vector<ShardEntry> entries)> on_lead;
  // This node no longer leads: it acts for the shard no more.
  std::function<void()> on_lost;
};

// This node's part in leading one shard: asks for the lease when nobody holds it, renews it, writes under it.
class ReplicatedShard {
 public:
  virtual ~ReplicatedShard() = default;
  // True while the lease certainly holds. To be asked again after every wait, before every act on the
  // outside.
  virtual bool leads() const = 0;
  virtual std::uint64_t epoch() const = 0;
  // Makes changes durable on a majority, all together or, where the lease is lost, perhaps some of them.
  // Many writes may be under way; they are carried out in the order given.
  virtual void write(std::vector<ShardChange> changes, std::function<void(ShardWriteOutcome)> done) = 0;
  // Gives the lease up, for a planned end of this process.
  virtual void step_down() = 0;
};

}  // namespace winchhall::cluster
