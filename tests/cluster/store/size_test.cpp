// How much disk a store takes under the stream of a busy service: jobs come, their progress is rewritten, and
// they are removed 180 s after their end.
#include <catch2/catch.hpp>
#include <cstdio>

#include "tests/cluster/store/store_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

constexpr std::size_t kMebibyte = 1 << 20;
constexpr std::size_t kRecordBytes = 300;

// One second of the stream: 200 records rewritten, in commits of two.
struct Stream {
  std::size_t jobs_a_second = 20;
  std::size_t rewrites_a_second = 200;
  std::size_t kept_seconds = 240;  // 60 s under way, 180 s after the end
  std::size_t seconds = 900;
};

std::string name(std::size_t job) { return std::to_string(0x5c0e7a21d94b0000 + job * 7919); }

std::string record(std::mt19937_64& random) {
  std::string value(kRecordBytes, '\0');
  for (char& byte : value) byte = static_cast<char>(random());
  return value;
}

void add_second(std::size_t second, const Stream& stream, std::mt19937_64& random,
                std::vector<StoreWrite>& writes) {
  const std::size_t next = second * stream.jobs_a_second;
  for (std::size_t job = next; job < next + stream.jobs_a_second; ++job) {
    writes.push_back({"record/service/job/" + name(job), record(random)});
  }
  const std::size_t under_way = std::min<std::size_t>(next + stream.jobs_a_second, 60 * stream.jobs_a_second);
  for (std::size_t count = 0; count < stream.rewrites_a_second; ++count) {
    const std::size_t job = next + stream.jobs_a_second - 1 - random() % under_way;
    writes.push_back({"record/service/progress/" + name(job), record(random)});
  }
  if (second < stream.kept_seconds) return;
  const std::size_t oldest = (second - stream.kept_seconds) * stream.jobs_a_second;
  for (std::size_t job = oldest; job < oldest + stream.jobs_a_second; ++job) {
    writes.push_back({"record/service/job/" + name(job), std::nullopt});
    writes.push_back({"record/service/progress/" + name(job), std::nullopt});
  }
}

TEST_CASE("15 minutes of a busy service stay far below the size of the disk") {
  constexpr std::size_t kMostBytes = 40 * kMebibyte;  // of 128 MB
  std::mt19937_64 random(1);
  SimulatedDisk disk;
  disk.disable_trace();
  TestLoop loop;
  {
    auto store = open_leveldb_store("/data", loop.poster(), disk, tuning_with_long_shutdown_timeout());
    REQUIRE(store);
    const Stream stream;
    for (std::size_t second = 0; second < stream.seconds; ++second) {
      std::vector<StoreWrite> writes;
      add_second(second, stream, random, writes);
      for (std::size_t index = 0; index < writes.size(); index += 2) {
        StoreBatch batch{writes[index]};
        if (index + 1 < writes.size()) batch.push_back(writes[index + 1]);
        REQUIRE(commit(*store.value(), loop, std::move(batch)) == CommitOutcome::durable);
      }
    }
  }
  std::printf("store size: peak %.1f MiB, at the end %.1f MiB, written %.1f MiB\n",
              static_cast<double>(disk.peak_bytes()) / kMebibyte,
              static_cast<double>(disk.bytes()) / kMebibyte,
              static_cast<double>(disk.written_bytes()) / kMebibyte);
  CHECK(disk.peak_bytes() < kMostBytes);
}

}  // namespace
}  // namespace winchhall::cluster::sim
