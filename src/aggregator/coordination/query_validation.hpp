// Validation of queries, shared by all front ends (HTTP and Flight).
#pragma once

#include <string>
#include <vector>

#include "aggregator/coordination/request_router.hpp"

namespace winchhall::coordination {

constexpr std::size_t kMaxParts = 4096;  // maximum number of parts of one query
// Maximum number of account ranges of one query: as many fit into a request body.
constexpr std::size_t kMaxSpans = 1024;
// Time in ms of a client's time-out that is reserved for the answer's way through the network, at most a
// quarter of the time-out.
constexpr Millis kResponseTransitTime = 15;

// Returns what is wrong with the query, or an empty string if it is valid: its shards exist and are distinct,
// weights lie in [0, 1] and sum to 1, cost estimates are finite and not negative. `shards`: number of shards;
// 0 if unknown. The text goes to the client.
std::string validation_error(const QuerySpec& query, int shards);

// Index of the element of that name, or -1. An empty name names nothing.
template <class T>
int index_by_name(const std::vector<T>& list, const std::string& name) {
  for (std::size_t i = 0; i < list.size(); ++i)
    if (!name.empty() && list[i].name == name) return static_cast<int>(i);
  return -1;
}

// Whether an id is printable ASCII without blanks, of 1 to 128 bytes, so that it can be sent to a server in a
// line of the protocol.
bool is_valid_query_id(const std::string& id);

// Latest time to answer, for a client with this time-out (ms) whose request began to arrive at `arrived`.
Millis answer_deadline(Millis arrived, Millis timeout);

}  // namespace winchhall::coordination
