// What every front holds a query against, whatever wire it came on.
#pragma once

#include <string>

#include "aggregator/coordination/exchange.hpp"

namespace winchhall::core {

constexpr std::size_t kPartsMost = 4096;  // of one query
constexpr std::size_t kSpansMost = 1024;  // of one query: as many fit into a body
constexpr Millis kWayBack = 15;  // ms of a client's time spent on the way here and left for the way back

// Shards that exist and come once, weights that are a share each and sum to 1, hints that are figures.
// Empty if the query is sound, else what is wrong. `shards` 0: how many there are is not stated.
std::string unsound(const QuerySpec& query, int shards);

// A name that can be passed on in a line to a server.
bool fit_name(const std::string& id);

// When the answer is due, for a client that waits `timeout` and was first heard of at `arrived`.
Millis due(Millis arrived, Millis timeout);

}  // namespace winchhall::core
