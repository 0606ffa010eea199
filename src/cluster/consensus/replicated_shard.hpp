// A shard: a set of records that is replicated on every member of the control group and changed only by the
// holder of the shard's lease.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// How a write ended. `lost`: this node no longer leads and will not lead again under that epoch; the write
// may or may not take effect.
enum class ShardWriteOutcome { durable, lost };

// One change of a record; no value: the record is removed.
struct ShardChange {
  std::string key;
  std::optional<std::string> value;
};

// A record as the new holder of a lease recovers it.
struct ShardEntry {
  std::string key;
  std::string value;
};

// Notifications to the user of a shard. All are called on the event loop.
struct ShardCallbacks {
  // This node leads from now on. `entries` holds the newest version of every record that was ever
  // acknowledged. `epoch` is higher than that of any earlier holder: a fencing token for actions outside the
  // control group.
  std::function<void(std::uint64_t epoch, std::vector<ShardEntry> entries)> on_lead;
  // This node no longer leads and must stop acting for the shard.
  std::function<void()> on_lost;
};

// One node's participation in one shard: requests the lease while it is free, renews it and writes under it.
class ReplicatedShard {
 public:
  virtual ~ReplicatedShard() = default;
  // True if the lease is certainly held at the current time. Must be checked again after every asynchronous
  // wait and before every externally visible action.
  virtual bool leads() const = 0;
  // Epoch of the lease that this node holds or requests; 0: none.
  virtual std::uint64_t epoch() const = 0;
  // Makes all of the changes durable on a majority. If the lease is lost, any subset of them may take effect.
  // Several writes may be in progress; they take effect in the order of the calls. `done` is called exactly
  // once, never from within this function, unless this object is destroyed before.
  virtual void write(std::vector<ShardChange> changes, std::function<void(ShardWriteOutcome)> done) = 0;
  // Releases the lease and does not request it again, for a planned shutdown of this process.
  virtual void step_down() = 0;
};

}  // namespace winchhall::cluster
