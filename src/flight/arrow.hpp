// Arrow IPC messages of the one schema that answers have here: shard (int32) and data (utf8), no nulls.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace winchhall::flight {

struct ArrowRow {
  int shard = 0;
  std::string data{};
  bool operator==(const ArrowRow&) const = default;
};

struct ArrowMessage {
  std::string header{};  // a Message of Arrow's IPC metadata
  std::string body{};
};

ArrowMessage schema_message();
std::string encapsulated_schema();  // as FlightInfo carries it: marker, length, message
ArrowMessage batch_message(const std::vector<ArrowRow>& rows);

enum class ArrowKind { schema, batch, bad };
// Checks a message and appends the rows of a batch. A schema other than ours is bad.
ArrowKind read_arrow(const std::string& header, const std::string& body, std::vector<ArrowRow>& rows);

}  // namespace winchhall::flight
