// Detection of damaged stores and their replacement by empty ones.
#include <catch2/catch.hpp>

#include "cluster/store/log_scan.hpp"
#include "tests/cluster/store/store_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

const std::string kDirectory = "/data";

// The files of a store with many entries, some in tables and some in the write-ahead log.
DiskFiles files_of_filled_store() {
  SimulatedDisk disk;
  TestLoop loop;
  StoreTuning tuning = tuning_with_long_shutdown_timeout();
  tuning.write_buffer_bytes = 64 << 10;
  {
    auto store = open_leveldb_store(kDirectory, loop.poster(), disk, tuning);
    REQUIRE(store);
    for (std::size_t number = 0; number < 100; ++number) {
      commit(*store.value(), loop, {{"key" + std::to_string(number), std::string(1000, 'z')}});
    }
  }
  return disk.content();
}

std::string find_file(const DiskFiles& files, const std::string& name_part) {
  for (const auto& [path, content] : files) {
    if (path.find(name_part) != std::string::npos && content.size() > 100) return path;
  }
  FAIL("no file " << name_part);
  return {};
}

// Opening the store replaces it by an empty one, which later opens know to be a replacement.
void check_is_replaced(const DiskFiles& files) {
  SimulatedDisk disk(files);
  TestLoop loop;
  {
    auto store = open_leveldb_store(kDirectory, loop.poster(), disk, tuning_with_long_shutdown_timeout());
    REQUIRE(store);
    CHECK(store.value()->replaces_damaged());
    CHECK(load_content(*store.value()).empty());
    CHECK(commit(*store.value(), loop, {{"identity", "new"}}) == CommitOutcome::durable);
  }
  auto again = open_leveldb_store(kDirectory, loop.poster(), disk, tuning_with_long_shutdown_timeout());
  REQUIRE(again);
  CHECK(again.value()->replaces_damaged());
  CHECK(load_content(*again.value()) == Content{{"identity", "new"}});
}

TEST_CASE("a store with a changed byte or a missing file is replaced") {
  const DiskFiles intact = files_of_filled_store();
  for (const std::string part : {".log", ".ldb", "MANIFEST"}) {
    CAPTURE(part);
    const std::string path = find_file(intact, part);
    DiskFiles changed = intact;
    changed[path][changed[path].size() / 3] ^= 1;
    check_is_replaced(changed);
    DiskFiles missing = intact;
    missing.erase(path);
    if (part != ".log") check_is_replaced(missing);
  }
  DiskFiles without_current = intact;
  without_current.erase(kDirectory + "/CURRENT");
  check_is_replaced(without_current);
}

TEST_CASE("a replacement interrupted by a power loss at any operation is completed at the next start") {
  DiskFiles damaged = files_of_filled_store();
  std::string& table = damaged[find_file(damaged, ".ldb")];
  table[table.size() / 3] ^= 1;
  SimulatedDisk disk(damaged);
  TestLoop loop;
  REQUIRE(open_leveldb_store(kDirectory, loop.poster(), disk, tuning_with_long_shutdown_timeout()));
  std::mt19937_64 random(5);
  DiskModel model(damaged);
  for (const DiskOperation& operation : disk.trace()) {
    for (unsigned time = 0; time < 4; ++time) check_is_replaced(model.after_power_loss(random));
    model.apply(operation);
  }
  check_is_replaced(model.files());
}

TEST_CASE("a log scan ends at the last complete record and distinguishes a torn tail from damage") {
  const DiskFiles files = files_of_filled_store();
  const std::string log = files.at(find_file(files, ".log"));
  CHECK(scan_log(log).valid_bytes == log.size());
  CHECK_FALSE(scan_log(log).damaged);
  CHECK(scan_log("").valid_bytes == 0);
  for (std::size_t size = 0; size < log.size(); size += 97) {
    const LogScanResult scan = scan_log(std::string_view(log).substr(0, size));
    CHECK_FALSE(scan.damaged);
    CHECK(scan.valid_bytes <= size);
    CHECK(scan_log(std::string_view(log).substr(0, scan.valid_bytes)).valid_bytes == scan.valid_bytes);
  }
  std::string torn = log;
  torn.back() ^= 1;
  CHECK_FALSE(scan_log(torn).damaged);
  CHECK(scan_log(torn).valid_bytes < log.size());
  std::string damaged = log;
  damaged[20] ^= 1;
  CHECK(scan_log(damaged).damaged);
}

TEST_CASE("random bytes contain no valid log record") {
  std::mt19937_64 random(11);
  for (unsigned round = 0; round < 200; ++round) {
    std::string bytes(random() % 70000, '\0');
    for (char& byte : bytes) byte = static_cast<char>(random());
    const LogScanResult scan = scan_log(bytes);
    CHECK(scan.valid_bytes == 0);
    CHECK_FALSE(scan.damaged);
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
