// Disk usage of a store under the write load of a busy service: jobs are added, their progress is rewritten,
// and they are removed 180 s after they end.
#include <catch2/catch.hpp>
#include <cstdio>

#include "tests/cluster/store/store_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

constexpr std::size_t kMebibyte = 1 << 20;
constexpr std::size_t kRecordBytes = 300;

// The write load, in commits of two records each.
struct WriteLoad {
  std::size_t jobs_per_second = 20;
  std::size_t rewrites_per_second = 200;
  std::size_t retention_seconds = 240;  // 60 s running and 180 s after the end
  std::size_t seconds = 900;
};

std::string job_name(std::size_t job) { return std::to_string(0x5c0e7a21d94b0000 + job * 7919); }

std::string random_record(std::mt19937_64& random) {
  std::string value(kRecordBytes, '\0');
  for (char& byte : value) byte = static_cast<char>(random());
  return value;
}

void add_second(std::size_t second, const WriteLoad& load, std::mt19937_64& random,
                std::vector<StoreWrite>& writes) {
  const std::size_t next = second * load.jobs_per_second;
  for (std::size_t job = next; job < next + load.jobs_per_second; ++job) {
    writes.push_back({"record/service/job/" + job_name(job), random_record(random)});
  }
  const std::size_t running = std::min<std::size_t>(next + load.jobs_per_second, 60 * load.jobs_per_second);
  for (std::size_t count = 0; count < load.rewrites_per_second; ++count) {
    const std::size_t job = next + load.jobs_per_second - 1 - random() % running;
    writes.push_back({"record/service/progress/" + job_name(job), random_record(random)});
  }
  if (second < load.retention_seconds) return;
  const std::size_t oldest = (second - load.retention_seconds) * load.jobs_per_second;
  for (std::size_t job = oldest; job < oldest + load.jobs_per_second; ++job) {
    writes.push_back({"record/service/job/" + job_name(job), std::nullopt});
    writes.push_back({"record/service/progress/" + job_name(job), std::nullopt});
  }
}

TEST_CASE("15 minutes of a busy service's writes stay far below the size of the disk") {
  constexpr std::size_t kMaxBytes = 40 * kMebibyte;  // of 128 MB
  std::mt19937_64 random(1);
  SimulatedDisk disk;
  disk.disable_trace();
  TestLoop loop;
  {
    auto store = open_leveldb_store("/data", loop.poster(), disk, tuning_with_long_shutdown_timeout());
    REQUIRE(store);
    const WriteLoad load;
    for (std::size_t second = 0; second < load.seconds; ++second) {
      std::vector<StoreWrite> writes;
      add_second(second, load, random, writes);
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
  CHECK(disk.peak_bytes() < kMaxBytes);
}

}  // namespace
}  // namespace winchhall::cluster::sim
