// Durable key-value state of a control node.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// One change of a key; no value: the key is removed.
struct StoreWrite {
  std::string key;
  std::optional<std::string> value;
};

// Changes that become durable together or not at all.
using StoreBatch = std::vector<StoreWrite>;

// How a commit ended. After `failed` the batch may or may not be durable, and nothing may be promised on it.
enum class CommitOutcome { durable, failed };

// Commits are carried out in the order in which they are given; many that wait are synced to disk together.
class DurableStore {
 public:
  virtual ~DurableStore() = default;
  // Calls `done` on the event loop once the batch is synced to disk, never from within this function.
  virtual void commit(StoreBatch batch, std::function<void(CommitOutcome)> done) = 0;
  // Everything that was durable when the store was opened, in the order of its keys. Called once, at the
  // start.
  virtual void load(const std::function<void(std::string_view key, std::string_view value)>& visit) = 0;
};

}  // namespace winchhall::cluster
