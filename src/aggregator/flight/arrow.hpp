// Arrow IPC messages of the two schemas that answers have here, neither with nulls:
//   shards: shard (int32), data (utf8)
//   spans:  from (int64), to (int64), revision (utf8), data (utf8)
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::flight {

enum class Layout { shards, spans };

struct ArrowRow {
  int shard = 0;
  std::string data{};
  ranges::Span span{};  // of the layout of spans, with the revision of the map
  std::string revision{};
  bool operator==(const ArrowRow&) const = default;
};

struct ArrowMessage {
  std::string header{};  // a Message of Arrow's IPC metadata
  std::string body{};
};

ArrowMessage schema_message(Layout layout = Layout::shards);
// As FlightInfo carries it: marker, length, message.
std::string encapsulated_schema(Layout layout = Layout::shards);
ArrowMessage batch_message(const std::vector<ArrowRow>& rows, Layout layout = Layout::shards);

enum class ArrowKind { schema, batch, bad };
// Checks a message and appends the rows of a batch. A schema other than that of the layout is bad.
ArrowKind read_arrow(const std::string& header, const std::string& body, std::vector<ArrowRow>& rows,
                     Layout layout = Layout::shards);

}  // namespace winchhall::flight
