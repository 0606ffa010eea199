// Interface of the durable key-value store in which a control node keeps its consensus state.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// A put, or a removal if there is no value.
struct StoreWrite {
  std::string key;
  std::optional<std::string> value;
};

// Writes that become durable atomically, applied in order.
using StoreBatch = std::vector<StoreWrite>;

// Result of a commit. After `failed` it is unknown whether the batch is durable: the caller must rely on
// neither outcome.
enum class CommitOutcome { durable, failed };

// Commits take effect in the order of the calls. Pending commits may share one disk sync (group commit). Used
// only on the event loop's thread.
class DurableStore {
 public:
  virtual ~DurableStore() = default;
  // Starts a commit and returns at once. `done` is called on the event loop when the batch has been synced to
  // disk or has failed, never from within this call.
  virtual void commit(StoreBatch batch, std::function<void(CommitOutcome)> done) = 0;
  // Visits every entry that was durable when the store was opened, in key order. To be called once, before
  // the first commit.
  virtual void load(const std::function<void(std::string_view key, std::string_view value)>& visit) = 0;
};

}  // namespace winchhall::cluster
