// Durable store of configuration generations and of operators' commands to the running aggregator.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "aggregator/dynamic_config/rows.hpp"

namespace winchhall::dynamic_config {

// A candidate configuration and its result, as stored.
struct StoredSet {
  std::int64_t number = 0;  // rises with each `put`; the order of entries
  std::uint64_t digest = 0;
  double at = 0;                  // Unix time in ms, for people: clocks step back
  std::string verdict{};          // "taken", "refused", "held", see `name_of(ValidationOutcome)`
  std::string why{};              // the first fault, or why it is held
  dynamic_config::Bytes bytes{};  // empty for a rejected one
};

// A command of an operator to the running aggregator.
struct OperatorCommand {
  std::int64_t id = 0;
  std::string action{};      // "accept" or "rollback"
  std::uint64_t digest = 0;  // of the generation that is meant
  std::string answer{};      // empty: not carried out yet
};

// Interface of the store, with plain values only: its implementation on SQLite (sqlite_store.cpp) lies in a
// module that is loaded only if a store is configured. Several processes may use one store. Calls block, so
// they are made on a worker thread, never on the event loop. Not thread-safe.
class Store {
 public:
  virtual ~Store() = default;
  // Adds an entry atomically, also if the process dies during the call, and drops the oldest ones beyond the
  // limits below. False: it was not stored, `fault` has the reason; the store stays usable (a full disk,
  // another writer).
  virtual bool put(const StoredSet& stored) = 0;
  // The newest entry with verdict "taken" whose bytes match their digest; none: there is no such entry.
  virtual std::optional<StoredSet> newest_taken() = 0;
  // The newest entry of this digest whose bytes match it.
  virtual std::optional<StoredSet> find(std::uint64_t digest) = 0;
  // At most `most` entries without their bytes, newest first.
  virtual std::vector<StoredSet> history(int most) = 0;
  // Stores a command for the running aggregator and returns its id; none: it was not stored.
  virtual std::optional<std::int64_t> add_command(const std::string& action, std::uint64_t digest) = 0;
  // Commands that have not been answered, oldest first.
  virtual std::vector<OperatorCommand> pending_commands() = 0;
  // Answers a command. False: the answer was not stored.
  virtual bool answer(std::int64_t id, const std::string& words) = 0;
  // A command by its id; none: there is none, or it was answered long ago.
  virtual std::optional<OperatorCommand> find_command(std::int64_t id) = 0;
  // Why the last call failed.
  virtual const std::string& fault() const = 0;

  static constexpr int kMaxStoredSets = 32;  // entries
  // Of all entries together. The newest two entries are kept in any case.
  static constexpr std::int64_t kMaxStoredBytes = 256 << 20;
};

// Result of `open`.
struct OpenedStore {
  std::unique_ptr<Store> store{};  // null: it could not be opened, for the reason in `why`
  std::string why{};
  std::string set_aside{};  // new name of a corrupt database that was replaced; empty: none was
};

// Opens the store, or creates it. A corrupt database is renamed and replaced by an empty one, and one of a
// later version is left alone; with `read_only` nothing is created or renamed.
OpenedStore open(const std::string& path, bool read_only = false);

// Entry point of the module; called by `open` only.
using Opener = void (*)(const std::string& path, bool read_only, OpenedStore& opened);

}  // namespace winchhall::dynamic_config
