// A shard: a set of records that every member of the control group keeps, changed by the one holder of its
// lease.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// How a write ended. `lost`: this node no longer leads, and won't again under that epoch; the write may or
// may not last.
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
  // This node leads from now on, with the newest version of every record that was ever acknowledged. `epoch`
  // is higher than that of any earlier holder: a fencing token for acts outside the control group.
  std::function<void(std::uint64_t epoch, std::vector<ShardEntry> entries)> on_lead;
  // This node no longer leads and must not act for the shard any more.
  std::function<void()> on_lost;
};

// This node's part in one shard: requests the lease when nobody holds it, renews it, writes under it.
class ReplicatedShard {
 public:
  virtual ~ReplicatedShard() = default;
  // True while the lease certainly holds, by the clock of this moment. To be asked again after every wait,
  // before every act on the outside.
  virtual bool leads() const = 0;
  // Epoch of the lease that this node holds or requests; 0: none.
  virtual std::uint64_t epoch() const = 0;
  // Makes changes durable on a majority, all together or, if the lease is lost, perhaps some of them. Many
  // writes may be in progress; they take effect in the order of the calls. `done` is called exactly once,
  // never from within this function, unless this object is destroyed before.
  virtual void write(std::vector<ShardChange> changes, std::function<void(ShardWriteOutcome)> done) = 0;
  // Releases the lease and requests it no more, for a planned shutdown of this process.
  virtual void step_down() = 0;
};

}  // namespace winchhall::cluster
