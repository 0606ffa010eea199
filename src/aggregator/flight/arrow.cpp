#include "aggregator/flight/arrow.hpp"

#include <cstdint>
#include <cstring>

#include "ipc_generated.h"

namespace winchhall::flight {
namespace {

namespace fb = org::apache::arrow::flatbuf;
using flatbuffers::FlatBufferBuilder;

std::string finish(FlatBufferBuilder& b, fb::MessageHeader kind, flatbuffers::Offset<void> header,
                   std::size_t body) {
  b.Finish(fb::CreateMessage(b, fb::MetadataVersion_V5, kind, header, static_cast<std::int64_t>(body)));
  return {reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize()};
}

constexpr std::size_t kAlignment = 8;  // bytes, of messages and of the buffers in a body

std::size_t aligned_size(std::size_t size) { return (size + kAlignment - 1) / kAlignment * kAlignment; }

fb::Buffer add_buffer(std::string& body, const void* bytes, std::size_t size) {
  fb::Buffer buffer(static_cast<std::int64_t>(body.size()), static_cast<std::int64_t>(size));
  if (size > 0) body.append(static_cast<const char*>(bytes), size);
  body.resize(aligned_size(body.size()));
  return buffer;
}

enum class ColumnType { int32, int64, utf8 };
struct Column {
  const char* name;
  ColumnType type;
};

const std::vector<Column>& columns(Layout layout) {
  static const std::vector<Column> shards{{"shard", ColumnType::int32}, {"data", ColumnType::utf8}};
  static const std::vector<Column> spans{{"from", ColumnType::int64},
                                         {"to", ColumnType::int64},
                                         {"revision", ColumnType::utf8},
                                         {"data", ColumnType::utf8}};
  return layout == Layout::shards ? shards : spans;
}

// Validity, for strings the offsets, and the values.
std::size_t buffer_count(ColumnType type) { return type == ColumnType::utf8 ? 3 : 2; }
// Bytes of one number.
int byte_width(ColumnType type) { return type == ColumnType::int32 ? 4 : 8; }

std::int64_t integer_field(const ArrowRow& row, Layout layout, std::size_t column) {
  if (layout == Layout::shards) return row.shard;
  return static_cast<std::int64_t>(column == 0 ? row.span.from : row.span.to);
}

// Returns false if the field can't have this value.
bool set_integer_field(ArrowRow& row, Layout layout, std::size_t column, std::int64_t value) {
  if (layout == Layout::shards) {
    row.shard = static_cast<int>(value);
    return true;
  }
  if (value < 0) return false;
  (column == 0 ? row.span.from : row.span.to) = static_cast<ranges::Key>(value);
  return true;
}

template <class Row>
auto& string_field(Row& row, Layout layout, std::size_t column) {
  return layout == Layout::spans && column == 2 ? row.revision : row.data;
}

bool matches_type(const fb::Field& field, ColumnType type) {
  if (field.dictionary()) return false;
  if (type == ColumnType::utf8) return field.type_as_Utf8() != nullptr;
  const fb::Int* integer = field.type_as_Int();
  return integer && integer->bitWidth() == 8 * byte_width(type) && integer->is_signed();
}

bool matches_layout(const fb::Schema& schema, Layout layout) {
  const auto* fields = schema.fields();
  const auto& expected = columns(layout);
  if (schema.endianness() != fb::Endianness_Little || !fields || fields->size() != expected.size())
    return false;
  for (std::size_t i = 0; i < expected.size(); ++i)
    if (!matches_type(*fields->Get(static_cast<flatbuffers::uoffset_t>(i)), expected[i].type)) return false;
  return true;
}

// The bytes of one buffer, or null if it reaches outside the body or is shorter than `min_bytes`.
const char* buffer_bytes(const fb::Buffer& buffer, const std::string& body, std::size_t min_bytes) {
  const auto size = static_cast<std::int64_t>(body.size());
  if (buffer.offset() < 0 || buffer.length() < 0 || buffer.offset() > size ||
      buffer.length() > size - buffer.offset() || static_cast<std::size_t>(buffer.length()) < min_bytes)
    return nullptr;
  return body.data() + buffer.offset();
}

// The i-th number of an array that need not be aligned.
template <class T>
T number_at(const char* array, std::size_t i) {
  T number;
  std::memcpy(&number, array + sizeof(T) * i, sizeof(T));
  return number;
}

// Reads the columns of a batch into its rows, one buffer after the other.
struct BatchReader {
  const fb::RecordBatch& batch;
  const std::string& body;
  Layout layout;
  ArrowRow* rows;  // the first row of the batch
  std::size_t row_count;
  flatbuffers::uoffset_t next_buffer = 0;

  const fb::Buffer& take_buffer() { return *batch.buffers()->Get(next_buffer++); }

  bool read_integers(std::size_t column, ColumnType type) {
    const auto size = static_cast<std::size_t>(byte_width(type)) * row_count;
    const char* values = buffer_bytes(take_buffer(), body, size);
    if (!values) return false;
    for (std::size_t i = 0; i < row_count; ++i) {
      const std::int64_t value =
          type == ColumnType::int32 ? number_at<std::int32_t>(values, i) : number_at<std::int64_t>(values, i);
      if (!set_integer_field(rows[i], layout, column, value)) return false;
    }
    return true;
  }

  bool read_strings(std::size_t column) {
    const char* offsets = buffer_bytes(take_buffer(), body, sizeof(std::int32_t) * (row_count + 1));
    const fb::Buffer& values_buffer = take_buffer();
    const char* values = buffer_bytes(values_buffer, body, 0);
    if (!offsets || !values) return false;
    for (std::size_t i = 0; i < row_count; ++i) {
      const std::int64_t from = number_at<std::int32_t>(offsets, i);
      const std::int64_t to = number_at<std::int32_t>(offsets, i + 1);
      if (from < 0 || to < from || to > values_buffer.length()) return false;
      string_field(rows[i], layout, column).assign(values + from, static_cast<std::size_t>(to - from));
    }
    return true;
  }
};

// Whether the batch has the columns and buffers of the layout, and no nulls.
bool is_well_formed(const fb::RecordBatch& batch, const std::string& body, Layout layout) {
  const auto& expected = columns(layout);
  std::size_t buffers = 0;
  for (const Column& column : expected) buffers += buffer_count(column.type);
  if (batch.compression() || !batch.nodes() || batch.nodes()->size() != expected.size()) return false;
  if (!batch.buffers() || batch.buffers()->size() != buffers) return false;
  if (batch.length() < 0 || batch.length() > static_cast<std::int64_t>(body.size())) return false;
  for (const fb::FieldNode* node : *batch.nodes())
    if (node->null_count() != 0 || node->length() != batch.length()) return false;
  return true;
}

bool read_batch(const fb::RecordBatch& batch, const std::string& body, std::vector<ArrowRow>& rows,
                Layout layout) {
  if (!is_well_formed(batch, body, layout)) return false;
  const std::size_t count = static_cast<std::size_t>(batch.length()), first = rows.size();
  if (count == 0) return true;
  rows.resize(first + count);
  BatchReader reader{batch, body, layout, &rows[first], count};
  const auto& expected = columns(layout);
  for (std::size_t column = 0; column < expected.size(); ++column) {
    reader.take_buffer();  // validity: not read, as the batch has no nulls
    const ColumnType type = expected[column].type;
    if (!(type == ColumnType::utf8 ? reader.read_strings(column) : reader.read_integers(column, type)))
      return false;
  }
  return true;
}

}  // namespace

ArrowMessage schema_message(Layout layout) {
  FlatBufferBuilder b;
  std::vector<flatbuffers::Offset<fb::Field>> none, fields;
  for (const Column& c : columns(layout)) {
    auto name = b.CreateString(c.name);
    auto children = b.CreateVector(none);
    if (c.type == ColumnType::utf8)
      fields.push_back(
          fb::CreateField(b, name, false, fb::Type_Utf8, fb::CreateUtf8(b).Union(), 0, children));
    else
      fields.push_back(fb::CreateField(b, name, false, fb::Type_Int,
                                       fb::CreateInt(b, 8 * byte_width(c.type), true).Union(), 0, children));
  }
  auto schema = fb::CreateSchema(b, fb::Endianness_Little, b.CreateVector(fields));
  return {finish(b, fb::MessageHeader_Schema, schema.Union(), 0), ""};
}

std::string encapsulated_schema(Layout layout) {
  std::string message = schema_message(layout).header;
  message.resize(aligned_size(message.size()));
  std::string encapsulated(4, '\xff');  // continuation marker
  const auto size = static_cast<std::uint32_t>(message.size());
  for (int shift = 0; shift < 32; shift += 8)
    encapsulated.push_back(static_cast<char>((size >> shift) & 0xff));
  return encapsulated + message;
}

ArrowMessage batch_message(const std::vector<ArrowRow>& rows, Layout layout) {
  std::string body;
  std::int64_t count = static_cast<std::int64_t>(rows.size());
  std::vector<fb::FieldNode> nodes;
  std::vector<fb::Buffer> buffers;
  const auto& expected = columns(layout);
  for (std::size_t column = 0; column < expected.size(); ++column) {
    nodes.push_back({count, 0});
    buffers.push_back(add_buffer(body, nullptr, 0));  // no nulls, so no validity bits
    if (expected[column].type == ColumnType::utf8) {
      std::vector<std::int32_t> offsets{0};
      std::string data;
      for (const ArrowRow& row : rows) {
        data += string_field(row, layout, column);
        offsets.push_back(static_cast<std::int32_t>(data.size()));
      }
      buffers.push_back(add_buffer(body, offsets.data(), sizeof(std::int32_t) * offsets.size()));
      buffers.push_back(add_buffer(body, data.data(), data.size()));
      continue;
    }
    std::string numbers;
    for (const ArrowRow& row : rows) {
      const std::int64_t value = integer_field(row, layout, column);  // little-endian, as in Arrow
      numbers.append(reinterpret_cast<const char*>(&value),
                     static_cast<std::size_t>(byte_width(expected[column].type)));
    }
    buffers.push_back(add_buffer(body, numbers.data(), numbers.size()));
  }
  FlatBufferBuilder b;
  auto batch =
      fb::CreateRecordBatch(b, count, b.CreateVectorOfStructs(nodes), b.CreateVectorOfStructs(buffers));
  return {finish(b, fb::MessageHeader_RecordBatch, batch.Union(), body.size()), std::move(body)};
}

ArrowKind read_arrow(const std::string& header, const std::string& body, std::vector<ArrowRow>& rows,
                     Layout layout) {
  // The verifier requires alignment, which the bytes of a std::string need not have.
  std::vector<std::uint64_t> aligned(header.size() / 8 + 1);
  std::memcpy(aligned.data(), header.data(), header.size());
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(bytes, header.size());
  if (header.size() < 8 || !fb::VerifyMessageBuffer(verifier)) return ArrowKind::bad;
  const fb::Message* message = fb::GetMessage(bytes);
  if (const fb::Schema* schema = message->header_as_Schema())
    return matches_layout(*schema, layout) ? ArrowKind::schema : ArrowKind::bad;
  if (const fb::RecordBatch* batch = message->header_as_RecordBatch())
    if (read_batch(*batch, body, rows, layout)) return ArrowKind::batch;
  return ArrowKind::bad;
}

}  // namespace winchhall::flight
