// Decoder of a client's query command: from its bytes to the router's QuerySpec.
#pragma once

#include <string>
#include <variant>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/flight/grpc.hpp"

namespace winchhall::flight {

// Status and message with which a call is rejected.
struct CallError {
  Status status = Status::internal;
  std::string message{};
};

// The settings that a command is checked against.
struct QueryCommandRules {
  const winchhall::Settings& settings;
  int shard_count = 0;
  bool allows_spans = false;  // a range directory is followed, so queries may name account ranges
};

// Decodes and checks a serialized QueryCommand (command.proto). Id and deadline of the result are left to the
// caller.
std::variant<coordination::QuerySpec, CallError> read_query_command(const std::string& bytes,
                                                                    const QueryCommandRules& rules);

}  // namespace winchhall::flight
