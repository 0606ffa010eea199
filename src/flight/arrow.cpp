#include "flight/arrow.hpp"

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

bool our_schema(const fb::Schema& schema) {
  const auto* fields = schema.fields();
  if (schema.endianness() != fb::Endianness_Little || !fields || fields->size() != 2) return false;
  const fb::Field *shard = fields->Get(0), *data = fields->Get(1);
  const fb::Int* integer = shard->type_as_Int();
  return integer && integer->bitWidth() == 32 && integer->is_signed() && data->type_as_Utf8() &&
         !shard->dictionary() && !data->dictionary();
}

// The bytes of one buffer, or nothing if it is not inside the body or shorter than `least`.
const char* slice(const fb::Buffer& at, const std::string& body, std::size_t least) {
  std::int64_t size = static_cast<std::int64_t>(body.size());
  if (at.offset() < 0 || at.length() < 0 || at.offset() > size || at.length() > size - at.offset() ||
      static_cast<std::size_t>(at.length()) < least)
    return nullptr;
  return body.data() + at.offset();
}

bool read_batch(const fb::RecordBatch& batch, const std::string& body, std::vector<ArrowRow>& rows) {
  const auto* nodes = batch.nodes();
  const auto* buffers = batch.buffers();
  if (batch.compression() || !nodes || nodes->size() != 2 || !buffers || buffers->size() != 5) return false;
  if (batch.length() < 0 || batch.length() > static_cast<std::int64_t>(body.size())) return false;
  for (const fb::FieldNode* node : *nodes)
    if (node->null_count() != 0 || node->length() != batch.length()) return false;
  std::size_t count = static_cast<std::size_t>(batch.length());
  if (count == 0) return true;
  const char* shards = slice(*buffers->Get(1), body, 4 * count);
  const char* offsets = slice(*buffers->Get(3), body, 4 * (count + 1));
  const char* data = slice(*buffers->Get(4), body, 0);
  if (!shards || !offsets || !data) return false;
  auto number = [](const char* from, std::size_t i) {
    std::int32_t n;
    std::memcpy(&n, from + 4 * i, 4);
    return n;
  };
  for (std::size_t i = 0; i < count; ++i) {
    std::int64_t from = number(offsets, i), to = number(offsets, i + 1);
    if (from < 0 || to < from || to > buffers->Get(4)->length()) return false;
    rows.push_back({number(shards, i), std::string(data + from, static_cast<std::size_t>(to - from))});
  }
  return true;
}

}  // namespace

ArrowMessage schema_message() {
  FlatBufferBuilder b;
  std::vector<flatbuffers::Offset<fb::Field>> none;
  auto shard = fb::CreateField(b, b.CreateString("shard"), false, fb::Type_Int,
                               fb::CreateInt(b, 32, true).Union(), 0, b.CreateVector(none));
  auto data = fb::CreateField(b, b.CreateString("data"), false, fb::Type_Utf8, fb::CreateUtf8(b).Union(), 0,
                              b.CreateVector(none));
  std::vector<flatbuffers::Offset<fb::Field>> fields{shard, data};
  auto schema = fb::CreateSchema(b, fb::Endianness_Little, b.CreateVector(fields));
  return {finish(b, fb::MessageHeader_Schema, schema.Union(), 0), ""};
}

std::string encapsulated_schema() {
  std::string message = schema_message().header;
  message.resize((message.size() + 7) / 8 * 8);
  std::string all(4, '\xff');
  std::uint32_t size = static_cast<std::uint32_t>(message.size());
  for (int shift = 0; shift < 32; shift += 8) all.push_back(static_cast<char>((size >> shift) & 0xff));
  return all + message;
}

ArrowMessage batch_message(const std::vector<ArrowRow>& rows) {
  std::vector<std::int32_t> shards, offsets{0};
  std::string data, body;
  for (const ArrowRow& row : rows) {
    shards.push_back(row.shard);
    data += row.data;
    offsets.push_back(static_cast<std::int32_t>(data.size()));
  }
  std::int64_t count = static_cast<std::int64_t>(rows.size());
  std::vector<fb::FieldNode> nodes{{count, 0}, {count, 0}};
  std::vector<fb::Buffer> buffers;
  buffers.push_back(add_buffer(body, nullptr, 0));  // no nulls, so no validity bits
  buffers.push_back(add_buffer(body, shards.data(), 4 * shards.size()));
  buffers.push_back(add_buffer(body, nullptr, 0));
  buffers.push_back(add_buffer(body, offsets.data(), 4 * offsets.size()));
  buffers.push_back(add_buffer(body, data.data(), data.size()));
  FlatBufferBuilder b;
  auto batch =
      fb::CreateRecordBatch(b, count, b.CreateVectorOfStructs(nodes), b.CreateVectorOfStructs(buffers));
  return {finish(b, fb::MessageHeader_RecordBatch, batch.Union(), body.size()), std::move(body)};
}

ArrowKind read_arrow(const std::string& header, const std::string& body, std::vector<ArrowRow>& rows) {
  // Aligned for the verifier: a std::string's bytes may begin anywhere.
  std::vector<std::uint64_t> aligned(header.size() / 8 + 1);
  std::memcpy(aligned.data(), header.data(), header.size());
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(bytes, header.size());
  if (header.size() < 8 || !fb::VerifyMessageBuffer(verifier)) return ArrowKind::bad;
  const fb::Message* message = fb::GetMessage(bytes);
  if (const fb::Schema* schema = message->header_as_Schema())
    return our_schema(*schema) ? ArrowKind::schema : ArrowKind::bad;
  if (const fb::RecordBatch* batch = message->header_as_RecordBatch())
    if (read_batch(*batch, body, rows)) return ArrowKind::batch;
  return ArrowKind::bad;
}

}  // namespace winchhall::flight
