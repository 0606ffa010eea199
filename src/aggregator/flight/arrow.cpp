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

// Buffers of a body start at multiples of eight bytes.
fb::Buffer add_buffer(std::string& body, const void* bytes, std::size_t size) {
  fb::Buffer at(static_cast<std::int64_t>(body.size()), static_cast<std::int64_t>(size));
  if (size > 0) body.append(static_cast<const char*>(bytes), size);
  body.resize((body.size() + 7) / 8 * 8);
  return at;
}

enum class Kind { int32, int64, utf8 };
struct Column {
  const char* name;
  Kind kind;
};

const std::vector<Column>& columns(Layout layout) {
  static const std::vector<Column> shards{{"shard", Kind::int32}, {"data", Kind::utf8}};
  static const std::vector<Column> spans{
      {"from", Kind::int64}, {"to", Kind::int64}, {"revision", Kind::utf8}, {"data", Kind::utf8}};
  return layout == Layout::shards ? shards : spans;
}

std::size_t buffers_of(Kind kind) { return kind == Kind::utf8 ? 3 : 2; }  // validity, (offsets,) values
int width_of(Kind kind) { return kind == Kind::int32 ? 4 : 8; }

std::int64_t number_of(const ArrowRow& row, Layout layout, std::size_t column) {
  if (layout == Layout::shards) return row.shard;
  return static_cast<std::int64_t>(column == 0 ? row.span.from : row.span.to);
}
const std::string& text_of(const ArrowRow& row, Layout layout, std::size_t column) {
  return layout == Layout::spans && column == 2 ? row.revision : row.data;
}

bool our_schema(const fb::Schema& schema, Layout layout) {
  const auto* fields = schema.fields();
  const auto& wanted = columns(layout);
  if (schema.endianness() != fb::Endianness_Little || !fields || fields->size() != wanted.size())
    return false;
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    const fb::Field* field = fields->Get(static_cast<flatbuffers::uoffset_t>(i));
    const fb::Int* integer = field->type_as_Int();
    bool fits = wanted[i].kind == Kind::utf8
                    ? field->type_as_Utf8() != nullptr
                    : integer && integer->bitWidth() == 8 * width_of(wanted[i].kind) && integer->is_signed();
    if (!fits || field->dictionary()) return false;
  }
  return true;
}

// The bytes of one buffer, or nothing if it is not inside the body or shorter than `least`.
const char* slice(const fb::Buffer& at, const std::string& body, std::size_t least) {
  std::int64_t size = static_cast<std::int64_t>(body.size());
  if (at.offset() < 0 || at.length() < 0 || at.offset() > size || at.length() > size - at.offset() ||
      static_cast<std::size_t>(at.length()) < least)
    return nullptr;
  return body.data() + at.offset();
}

template <class T>
T number_at(const char* from, std::size_t i) {
  T n;
  std::memcpy(&n, from + sizeof(T) * i, sizeof(T));
  return n;
}

bool read_batch(const fb::RecordBatch& batch, const std::string& body, std::vector<ArrowRow>& rows,
                Layout layout) {
  const auto* nodes = batch.nodes();
  const auto* buffers = batch.buffers();
  const auto& wanted = columns(layout);
  std::size_t needed = 0;
  for (const Column& c : wanted) needed += buffers_of(c.kind);
  if (batch.compression() || !nodes || nodes->size() != wanted.size() || !buffers ||
      buffers->size() != needed)
    return false;
  if (batch.length() < 0 || batch.length() > static_cast<std::int64_t>(body.size())) return false;
  for (const fb::FieldNode* node : *nodes)
    if (node->null_count() != 0 || node->length() != batch.length()) return false;
  std::size_t count = static_cast<std::size_t>(batch.length()), first = rows.size();
  if (count == 0) return true;
  rows.resize(first + count);
  flatbuffers::uoffset_t next = 0;
  for (std::size_t column = 0; column < wanted.size(); ++column) {
    ++next;  // validity: there are no nulls, so whatever it says
    Kind kind = wanted[column].kind;
    const char* values = nullptr;
    if (kind != Kind::utf8) {
      values = slice(*buffers->Get(next++), body, static_cast<std::size_t>(width_of(kind)) * count);
      if (!values) return false;
      for (std::size_t i = 0; i < count; ++i) {
        ArrowRow& row = rows[first + i];
        std::int64_t n =
            kind == Kind::int32 ? number_at<std::int32_t>(values, i) : number_at<std::int64_t>(values, i);
        if (layout == Layout::shards)
          row.shard = static_cast<int>(n);
        else if (n < 0)
          return false;
        else
          (column == 0 ? row.span.from : row.span.to) = static_cast<ranges::Key>(n);
      }
      continue;
    }
    const char* offsets = slice(*buffers->Get(next++), body, 4 * (count + 1));
    const fb::Buffer& at = *buffers->Get(next++);
    values = slice(at, body, 0);
    if (!offsets || !values) return false;
    for (std::size_t i = 0; i < count; ++i) {
      std::int64_t from = number_at<std::int32_t>(offsets, i), to = number_at<std::int32_t>(offsets, i + 1);
      if (from < 0 || to < from || to > at.length()) return false;
      ArrowRow& row = rows[first + i];
      (layout == Layout::spans && column == 2 ? row.revision : row.data)
          .assign(values + from, static_cast<std::size_t>(to - from));
    }
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
    if (c.kind == Kind::utf8)
      fields.push_back(
          fb::CreateField(b, name, false, fb::Type_Utf8, fb::CreateUtf8(b).Union(), 0, children));
    else
      fields.push_back(fb::CreateField(b, name, false, fb::Type_Int,
                                       fb::CreateInt(b, 8 * width_of(c.kind), true).Union(), 0, children));
  }
  auto schema = fb::CreateSchema(b, fb::Endianness_Little, b.CreateVector(fields));
  return {finish(b, fb::MessageHeader_Schema, schema.Union(), 0), ""};
}

std::string encapsulated_schema(Layout layout) {
  std::string message = schema_message(layout).header;
  message.resize((message.size() + 7) / 8 * 8);
  std::string all(4, '\xff');
  std::uint32_t size = static_cast<std::uint32_t>(message.size());
  for (int shift = 0; shift < 32; shift += 8) all.push_back(static_cast<char>((size >> shift) & 0xff));
  return all + message;
}

ArrowMessage batch_message(const std::vector<ArrowRow>& rows, Layout layout) {
  std::string body;
  std::int64_t count = static_cast<std::int64_t>(rows.size());
  std::vector<fb::FieldNode> nodes;
  std::vector<fb::Buffer> buffers;
  const auto& wanted = columns(layout);
  for (std::size_t column = 0; column < wanted.size(); ++column) {
    nodes.push_back({count, 0});
    buffers.push_back(add_buffer(body, nullptr, 0));  // no nulls, so no validity bits
    if (wanted[column].kind == Kind::utf8) {
      std::vector<std::int32_t> offsets{0};
      std::string data;
      for (const ArrowRow& row : rows) {
        data += text_of(row, layout, column);
        offsets.push_back(static_cast<std::int32_t>(data.size()));
      }
      buffers.push_back(add_buffer(body, offsets.data(), 4 * offsets.size()));
      buffers.push_back(add_buffer(body, data.data(), data.size()));
      continue;
    }
    std::string numbers;
    for (const ArrowRow& row : rows) {
      std::int64_t n = number_of(row, layout, column);  // little endian, as Arrow's and as this machine's
      numbers.append(reinterpret_cast<const char*>(&n),
                     static_cast<std::size_t>(width_of(wanted[column].kind)));
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
  // Aligned for the verifier: a std::string's bytes may begin anywhere.
  std::vector<std::uint64_t> aligned(header.size() / 8 + 1);
  std::memcpy(aligned.data(), header.data(), header.size());
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(bytes, header.size());
  if (header.size() < 8 || !fb::VerifyMessageBuffer(verifier)) return ArrowKind::bad;
  const fb::Message* message = fb::GetMessage(bytes);
  if (const fb::Schema* schema = message->header_as_Schema())
    return our_schema(*schema, layout) ? ArrowKind::schema : ArrowKind::bad;
  if (const fb::RecordBatch* batch = message->header_as_RecordBatch())
    if (read_batch(*batch, body, rows, layout)) return ArrowKind::batch;
  return ArrowKind::bad;
}

}  // namespace winchhall::flight
