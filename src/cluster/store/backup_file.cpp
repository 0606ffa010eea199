#include "cluster/store/backup_file.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

#include "cluster/store/crc32c.hpp"

namespace winchhall::cluster {

namespace {

const std::string kFormatName = "winchhall-store-backup ";
const std::string kFormatVersion = "1";
constexpr std::size_t kChecksumBytes = 4;

template <typename Number>
void append_little_endian(std::string& bytes, Number number) {
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    bytes.push_back(static_cast<char>(number >> (8 * index)));
  }
}

// Decodes numbers and strings from the front of a byte sequence.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : remaining_(bytes) {}

  // None: fewer bytes remain.
  template <typename Number>
  std::optional<Number> read_little_endian() {
    if (remaining_.size() < sizeof(Number)) return std::nullopt;
    Number number = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
      number |= static_cast<Number>(static_cast<unsigned char>(remaining_[index])) << (8 * index);
    }
    remaining_.remove_prefix(sizeof(Number));
    return number;
  }
  std::optional<std::string> read_string(std::size_t size) {
    if (remaining_.size() < size) return std::nullopt;
    std::string string(remaining_.substr(0, size));
    remaining_.remove_prefix(size);
    return string;
  }
  bool at_end() const { return remaining_.empty(); }

 private:
  std::string_view remaining_;
};

std::optional<StoreEntry> decode_entry(ByteReader& reader) {
  const std::optional<std::uint32_t> key_size = reader.read_little_endian<std::uint32_t>();
  const std::optional<std::uint32_t> value_size = reader.read_little_endian<std::uint32_t>();
  if (!key_size || !value_size) return std::nullopt;
  std::optional<std::string> key = reader.read_string(*key_size);
  std::optional<std::string> value = reader.read_string(*value_size);
  if (!key || !value) return std::nullopt;
  return StoreEntry{std::move(*key), std::move(*value)};
}

// None: the bytes do not follow the layout.
std::optional<std::vector<StoreEntry>> decode_entries(std::string_view body) {
  ByteReader reader(body);
  const std::optional<std::uint64_t> count = reader.read_little_endian<std::uint64_t>();
  if (!count) return std::nullopt;
  std::vector<StoreEntry> entries;
  for (std::uint64_t index = 0; index < *count; ++index) {
    std::optional<StoreEntry> entry = decode_entry(reader);
    if (!entry) return std::nullopt;
    entries.push_back(std::move(*entry));
  }
  if (!reader.at_end()) return std::nullopt;
  return entries;
}

std::string encode_backup(const std::vector<StoreEntry>& entries) {
  std::string bytes = kFormatName + kFormatVersion + "\n";
  append_little_endian<std::uint64_t>(bytes, entries.size());
  for (const StoreEntry& entry : entries) {
    append_little_endian<std::uint32_t>(bytes, static_cast<std::uint32_t>(entry.key.size()));
    append_little_endian<std::uint32_t>(bytes, static_cast<std::uint32_t>(entry.value.size()));
    bytes += entry.key;
    bytes += entry.value;
  }
  append_little_endian<std::uint32_t>(bytes, crc32c(bytes));
  return bytes;
}

leveldb::Status write_synced_file(leveldb::Env& files, const std::string& file, const std::string& bytes) {
  leveldb::WritableFile* opened = nullptr;
  leveldb::Status status = files.NewWritableFile(file, &opened);
  const std::unique_ptr<leveldb::WritableFile> output(opened);
  if (status.ok()) status = output->Append(bytes);
  if (status.ok()) status = output->Sync();
  if (status.ok()) status = output->Close();
  return status;
}

leaf::error_id damaged_backup(const std::string& file, const char* detail) {
  return leaf::new_error(StoreCorruption{file, detail});
}

}  // namespace

leaf::result<void> write_backup(const std::string& file, const std::vector<StoreEntry>& entries) {
  leveldb::Env& files = local_disk().files();
  if (files.FileExists(file)) return leaf::new_error(StoreFailure{file, "create", "file exists"});
  const leveldb::Status written = write_synced_file(files, file, encode_backup(entries));
  if (!written.ok()) return leaf::new_error(StoreFailure{file, "write", written.ToString()});
  return {};
}

leaf::result<std::vector<StoreEntry>> read_backup(const std::string& file) {
  std::string bytes;
  const leveldb::Status read = leveldb::ReadFileToString(&local_disk().files(), file, &bytes);
  if (!read.ok()) return leaf::new_error(StoreFailure{file, "read", read.ToString()});

  const std::size_t line_end = bytes.find('\n');
  const bool is_backup = bytes.starts_with(kFormatName) && line_end != std::string::npos;
  if (!is_backup) return damaged_backup(file, "no backup of a store");
  const std::string version = bytes.substr(kFormatName.size(), line_end - kFormatName.size());
  if (version != kFormatVersion)
    return leaf::new_error(UnsupportedStoreFormat{file, version, kFormatVersion});

  const std::string_view content(bytes);
  if (content.size() < line_end + 1 + kChecksumBytes) return damaged_backup(file, "cut off");
  const std::string_view checked = content.substr(0, content.size() - kChecksumBytes);
  ByteReader trailer(content.substr(checked.size()));
  if (trailer.read_little_endian<std::uint32_t>() != crc32c(checked)) {
    return damaged_backup(file, "checksum differs");
  }
  std::optional<std::vector<StoreEntry>> entries = decode_entries(checked.substr(line_end + 1));
  if (!entries) return damaged_backup(file, "entries can't be read");
  return std::move(*entries);
}

}  // namespace winchhall::cluster
