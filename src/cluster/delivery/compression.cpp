#include "cluster/delivery/compression.hpp"

#include <zlib.h>

#include <array>

namespace winchhall::cluster {

namespace {

// Nearly the ratio of the default level in a third of its time.
constexpr int kCompressionLevel = 3;
constexpr std::size_t kBufferBytes = 16u << 10;

const Bytef* input_of(std::string_view text) { return reinterpret_cast<const Bytef*>(text.data()); }

}  // namespace

std::string compress(std::string_view text) {
  uLongf size = compressBound(static_cast<uLong>(text.size()));
  std::string bytes(size, '\0');
  compress2(reinterpret_cast<Bytef*>(bytes.data()), &size, input_of(text), static_cast<uLong>(text.size()),
            kCompressionLevel);
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> decompress(std::string_view bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) return std::nullopt;
  stream.next_in = const_cast<Bytef*>(input_of(bytes));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  std::array<char, kBufferBytes> buffer{};
  int result = Z_OK;
  while (result == Z_OK && text.size() <= kMaxUncompressedBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(buffer.data());
    stream.avail_out = static_cast<uInt>(buffer.size());
    result = inflate(&stream, Z_NO_FLUSH);
    text.append(buffer.data(), buffer.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END || text.size() > kMaxUncompressedBytes) return std::nullopt;
  return text;
}

}  // namespace winchhall::cluster
