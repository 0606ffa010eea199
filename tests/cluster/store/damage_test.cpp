// Stores whose synced content was changed or lost: set aside, never passed off as whole.
#include <catch2/catch.hpp>

#include "cluster/store/log_scan.hpp"
#include "tests/cluster/store/store_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

const std::string kFolder = "/data";

// A disk with a store of many batches, some in tables and some in the log.
DiskFiles filled() {
  SimulatedDisk disk;
  TestLoop loop;
  StoreTuning tuning = tuning_with_long_shutdown_timeout();
  tuning.write_buffer_bytes = 64 << 10;
  {
    auto store = open_leveldb_store(kFolder, loop.poster(), disk, tuning);
    REQUIRE(store);
    for (std::size_t number = 0; number < 100; ++number) {
      commit(*store.value(), loop, {{"key" + std::to_string(number), std::string(1000, 'z')}});
    }
  }
  return disk.content();
}

std::string find_file(const DiskFiles& files, const std::string& part) {
  for (const auto& [path, content] : files) {
    if (path.find(part) != std::string::npos && content.size() > 100) return path;
  }
  FAIL("no file " << part);
  return {};
}

void check_replaced(const DiskFiles& files) {
  SimulatedDisk disk(files);
  TestLoop loop;
  {
    auto store = open_leveldb_store(kFolder, loop.poster(), disk, tuning_with_long_shutdown_timeout());
    REQUIRE(store);
    CHECK(store.value()->replaces_damaged());
    CHECK(content(*store.value()).empty());
    CHECK(commit(*store.value(), loop, {{"identity", "new"}}) == CommitOutcome::durable);
  }
  auto again = open_leveldb_store(kFolder, loop.poster(), disk, tuning_with_long_shutdown_timeout());
  REQUIRE(again);
  CHECK(again.value()->replaces_damaged());
  CHECK(content(*again.value()) == Content{{"identity", "new"}});
}

TEST_CASE("a store with a changed byte or a missing file is set aside whole") {
  const DiskFiles whole = filled();
  for (const std::string part : {".log", ".ldb", "MANIFEST"}) {
    CAPTURE(part);
    const std::string path = find_file(whole, part);
    DiskFiles changed = whole;
    changed[path][changed[path].size() / 3] ^= 1;
    check_replaced(changed);
    DiskFiles missing = whole;
    missing.erase(path);
    if (part != ".log") check_replaced(missing);
  }
  DiskFiles nameless = whole;
  nameless.erase(kFolder + "/CURRENT");
  check_replaced(nameless);
}

TEST_CASE("a replacement that is cut off anywhere is ended later, and never shows a part of the old store") {
  DiskFiles damaged = filled();
  std::string& table = damaged[find_file(damaged, ".ldb")];
  table[table.size() / 3] ^= 1;
  SimulatedDisk disk(damaged);
  TestLoop loop;
  REQUIRE(open_leveldb_store(kFolder, loop.poster(), disk, tuning_with_long_shutdown_timeout()));
  std::mt19937_64 random(5);
  DiskModel model(damaged);
  for (const DiskOperation& operation : disk.trace()) {
    for (unsigned time = 0; time < 4; ++time) check_replaced(model.after_power_loss(random));
    model.apply(operation);
  }
  check_replaced(model.files());
}

TEST_CASE("a scan ends at the last whole record, and tells a torn end from damage") {
  const DiskFiles files = filled();
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

TEST_CASE("random bytes are no log") {
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
