// What must outlive the process: the last good sets of files, and an operator's words for a running program.
// Only plain values here; the library that keeps them is behind it (sqlite_store.cpp), in a module that is
// loaded only where a store is named. A store may be slow: it is used on a thread of its own, never on the
// loop.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "aggregator/dynamic_config/rows.hpp"

namespace winchhall::store {

struct Kept {
  std::int64_t number = 0;  // in order of keeping
  std::uint64_t digest = 0;
  double at = 0;          // Unix time, ms, for people; order is by number, as clocks step back
  std::string verdict{};  // "taken", "refused", "held"
  std::string why{};
  generations::Bytes bytes{};  // of what was taken or held
};

struct Order {  // an operator's word, left for the running program
  std::int64_t id = 0;
  std::string word{};  // "accept", "rollback"
  std::uint64_t digest = 0;
  std::string answer{};  // empty: not carried out yet
};

class Store {
 public:
  virtual ~Store() = default;
  // Whole or not at all, also where the process dies in the middle of it. False, and fault() says why, where
  // it could not be kept: a full or read-only disk costs durability and nothing else.
  virtual bool put(const Kept& kept) = 0;
  virtual std::optional<Kept> newest_taken() = 0;  // whose bytes still have their digest
  virtual std::optional<Kept> find(std::uint64_t digest) = 0;
  virtual std::vector<Kept> history(int most) = 0;  // newest first, without bytes
  virtual std::optional<std::int64_t> leave(const std::string& word, std::uint64_t digest) = 0;
  virtual std::vector<Order> open_orders() = 0;
  virtual bool answer(std::int64_t id, const std::string& words) = 0;
  virtual std::optional<Order> order(std::int64_t id) = 0;
  virtual const std::string& fault() const = 0;

  static constexpr int kKeptMost = 32;                   // sets with their bytes
  static constexpr std::int64_t kBytesMost = 256 << 20;  // and of them all; the newest two stay in any case
};

struct Opened {
  std::unique_ptr<Store> store{};  // null: none to be had, and why
  std::string why{};
  std::string set_aside{};  // where a spoilt one was put
};

// Opens or makes the store. One that is spoilt is set aside under a name of its own and a new one begun,
// unless `look_only`, with which nothing is made or moved.
Opened open(const std::string& path, bool look_only = false);

// What the module offers; called through open() only.
using Opener = void (*)(const std::string& path, bool look_only, Opened& opened);

}  // namespace winchhall::store
