// Arrow IPC messages (encoding and checked decoding, no I/O) of the two schemas that answers have, neither
// with nulls:
//   shards: shard (int32), data (utf8)
//   spans:  from (int64), to (int64), revision (utf8), data (utf8)
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::flight {

// Which of the two schemas a message has.
enum class Layout { shards, spans };

// One row of an answer; the fields that are used depend on the layout.
struct ArrowRow {
  int shard = 0;  // Layout::shards
  std::string data{};
  ranges::Span span{};     // Layout::spans
  std::string revision{};  // Layout::spans: revision of the range map
  bool operator==(const ArrowRow&) const = default;
};

// One IPC message, as FlightData carries it.
struct ArrowMessage {
  std::string header{};  // a Message of Arrow's IPC metadata (FlatBuffers)
  std::string body{};
};

ArrowMessage schema_message(Layout layout = Layout::shards);
// The schema as FlightInfo carries it: continuation marker, length, message.
std::string encapsulated_schema(Layout layout = Layout::shards);
// A record batch with these rows.
ArrowMessage batch_message(const std::vector<ArrowRow>& rows, Layout layout = Layout::shards);

enum class ArrowKind { schema, batch, bad };
// Checks a message and appends the rows of a batch to `rows`, which are unspecified from the first new one on
// if the message is bad. A schema other than that of the layout is bad.
ArrowKind read_arrow(const std::string& header, const std::string& body, std::vector<ArrowRow>& rows,
                     Layout layout = Layout::shards);

}  // namespace winchhall::flight
