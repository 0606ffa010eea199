#include "cluster/store/backup_file.hpp"

#include <boost/crc.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

namespace winchhall::cluster {

namespace {

const std::string kName = "winchhall-store-backup ";
const std::string kVersion = "1";

std::uint32_t checksum(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

template <typename Number>
void append_number(std::string& bytes, Number number) {
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    bytes.push_back(static_cast<char>(number >> (8 * index)));
  }
}

// Takes numbers and texts from the start of what is left.
class Reader {
 public:
  explicit Reader(std::string_view left) : left_(left) {}

  template <typename Number>
  std::optional<Number> number() {
    if (left_.size() < sizeof(Number)) return std::nullopt;
    Number number = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
      number |= static_cast<Number>(static_cast<unsigned char>(left_[index])) << (8 * index);
    }
    left_.remove_prefix(sizeof(Number));
    return number;
  }
  std::optional<std::string> text(std::size_t size) {
    if (left_.size() < size) return std::nullopt;
    std::string text(left_.substr(0, size));
    left_.remove_prefix(size);
    return text;
  }
  bool done() const { return left_.empty(); }

 private:
  std::string_view left_;
};

std::optional<StoreEntry> read_entry(Reader& reader) {
  const std::optional<std::uint32_t> key_size = reader.number<std::uint32_t>();
  const std::optional<std::uint32_t> value_size = reader.number<std::uint32_t>();
  if (!key_size || !value_size) return std::nullopt;
  std::optional<std::string> key = reader.text(*key_size);
  std::optional<std::string> value = reader.text(*value_size);
  if (!key || !value) return std::nullopt;
  return StoreEntry{std::move(*key), std::move(*value)};
}

// None: not laid out as described.
std::optional<std::vector<StoreEntry>> parse_entries(std::string_view body) {
  Reader reader(body);
  const std::optional<std::uint64_t> count = reader.number<std::uint64_t>();
  if (!count) return std::nullopt;
  std::vector<StoreEntry> entries;
  for (std::uint64_t index = 0; index < *count; ++index) {
    std::optional<StoreEntry> entry = read_entry(reader);
    if (!entry) return std::nullopt;
    entries.push_back(std::move(*entry));
  }
  if (!reader.done()) return std::nullopt;
  return entries;
}

leaf::error_id damaged(const std::string& file, const char* detail) {
  return leaf::new_error(StoreCorruption{file, detail});
}

}  // namespace

leaf::result<void> write_backup(const std::string& file, const std::vector<StoreEntry>& entries) {
  leveldb::Env& files = local_disk().files();
  if (files.FileExists(file)) return leaf::new_error(StoreFailure{file, "create", "file exists"});
  std::string bytes = kName + kVersion + "\n";
  append_number<std::uint64_t>(bytes, entries.size());
  for (const StoreEntry& entry : entries) {
    append_number<std::uint32_t>(bytes, static_cast<std::uint32_t>(entry.key.size()));
    append_number<std::uint32_t>(bytes, static_cast<std::uint32_t>(entry.value.size()));
    bytes += entry.key;
    bytes += entry.value;
  }
  append_number<std::uint32_t>(bytes, checksum(bytes));
  leveldb::WritableFile* opened = nullptr;
  leveldb::Status status = files.NewWritableFile(file, &opened);
  const std::unique_ptr<leveldb::WritableFile> output(opened);
  if (status.ok()) status = output->Append(bytes);
  if (status.ok()) status = output->Sync();
  if (status.ok()) status = output->Close();
  if (!status.ok()) return leaf::new_error(StoreFailure{file, "write", status.ToString()});
  return {};
}

leaf::result<std::vector<StoreEntry>> read_backup(const std::string& file) {
  std::string bytes;
  const leveldb::Status read = leveldb::ReadFileToString(&local_disk().files(), file, &bytes);
  if (!read.ok()) return leaf::new_error(StoreFailure{file, "read", read.ToString()});
  const std::size_t line_end = bytes.find('\n');
  const bool named = bytes.starts_with(kName) && line_end != std::string::npos;
  if (!named) return damaged(file, "no backup of a store");
  const std::string version = bytes.substr(kName.size(), line_end - kName.size());
  if (version != kVersion) return leaf::new_error(UnsupportedStoreFormat{file, version, kVersion});
  const std::string_view all(bytes);
  constexpr std::size_t kChecksumBytes = 4;
  if (all.size() < line_end + 1 + kChecksumBytes) return damaged(file, "cut off");
  const std::string_view checked = all.substr(0, all.size() - kChecksumBytes);
  Reader tail(all.substr(checked.size()));
  if (tail.number<std::uint32_t>() != checksum(checked)) return damaged(file, "checksum differs");
  std::optional<std::vector<StoreEntry>> entries = parse_entries(checked.substr(line_end + 1));
  if (!entries) return damaged(file, "entries can't be read");
  return std::move(*entries);
}

}  // namespace winchhall::cluster
