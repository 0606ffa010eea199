// A member that was absent during hundreds of changes catches up within the documented time, transfers data
// in proportion to what it missed, and never leads or votes with outdated state.
#include <catch2/catch.hpp>
#include <cstdio>

#include "tests/cluster/consensus/lease_candidate.hpp"

namespace winchhall::cluster::sim {
namespace {

constexpr Millis kCatchUp{4000};
constexpr std::size_t kRecordBytes = 500;
constexpr std::size_t kRegisterBytes = 4000;

// Live records of a shard as one machine's disk holds them.
std::map<std::string, std::string> records_on_disk(CandidateCluster& cluster, std::size_t index) {
  std::map<std::string, std::string> records;
  cluster.node(index).store().load([&records](std::string_view key, std::string_view value) {
    if (!key.starts_with("record/")) return;
    wire::ShardRecord record;
    record.ParseFromArray(value.data(), static_cast<int>(value.size()));
    if (!record.deleted()) records[record.key()] = record.value();
  });
  return records;
}

struct CatchUpFixture {
  explicit CatchUpFixture(std::uint64_t seed, std::size_t machines = 5) : cluster(seed, machines) {
    cluster.simulation().rewrite_messages([this](std::size_t, wire::Envelope& message) {
      if (counting) bytes += message.ByteSizeLong();
    });
    cluster.bootstrap();
    REQUIRE(
        simulation().run_until([this] { return cluster.is_stable() && leader_of(cluster); }, Millis(8000)));
    simulation().run_for(Millis(5500));
  }

  Simulation& simulation() { return cluster.simulation(); }
  std::size_t leader() {
    REQUIRE(simulation().run_until([this] { return leader_of(cluster).has_value(); }, Millis(5000)));
    return *leader_of(cluster);
  }

  // Writes records, possibly over earlier ones, and waits until they are acknowledged.
  void write_records(std::size_t count, std::size_t first = 0) {
    constexpr std::size_t kRecordsPerWrite = 100;
    for (std::size_t at = 0; at < count; at += kRecordsPerWrite) {
      std::vector<ShardChange> changes;
      for (std::size_t number = at; number < std::min(count, at + kRecordsPerWrite); ++number) {
        const std::string key = "job/" + std::to_string(first + number);
        std::string value = std::to_string(++version);
        value.resize(kRecordBytes, '.');
        expected[key] = value;
        changes.push_back({key, value});
      }
      bool durable = false;
      cluster.application(leader()).shard->write(std::move(changes), [&durable](ShardWriteOutcome outcome) {
        durable = outcome == ShardWriteOutcome::durable;
      });
      REQUIRE(simulation().run_until([&durable] { return durable; }, Millis(5000)));
    }
  }
  void change_register(std::size_t times, std::size_t at) {
    for (std::size_t count = 0; count < times; ++count) {
      bool chosen = false;
      std::string value = std::to_string(++register_version);
      value.resize(kRegisterBytes, '.');
      register_value = value;
      cluster.group(at).registers().update(
          "configuration", [value](const std::string&) { return value; }, Millis(3000),
          [&chosen](const std::optional<RegisterValue>& result) { chosen = result.has_value(); });
      REQUIRE(simulation().run_until([&chosen] { return chosen; }, Millis(3500)));
    }
  }
  bool caught_up(std::size_t index) {
    return cluster.group(index).votes() && cluster.group(index).has_quorum_contact() &&
           records_on_disk(cluster, index) == expected;
  }
  // Time in ms until the member holds the whole state, measured every 50 ms.
  std::int64_t time_to_catch_up(std::size_t index) {
    const std::int64_t start_ms = simulation().now_ms();
    for (int sample = 0; sample < 400 && !caught_up(index); ++sample) simulation().run_for(Millis(50));
    REQUIRE(caught_up(index));
    return simulation().now_ms() - start_ms;
  }
  // Crashes two other members, so that every majority needs this one, and checks that the group works.
  void require_usable(std::size_t index) {
    std::size_t crashed = 0;
    for (std::size_t other = 0; other < cluster.size() && crashed < 2; ++other) {
      if (other == index || !cluster.running(other)) continue;
      cluster.crash(other);
      ++crashed;
    }
    const std::size_t leading = leader();
    std::map<std::string, std::string> before = expected;
    write_records(1);
    std::optional<std::string> found;
    cluster.group(leading).registers().update(
        "configuration", [](const std::string&) { return std::nullopt; }, Millis(3000),
        [&found](const std::optional<RegisterValue>& value) {
          if (value) found = value->value;
        });
    REQUIRE(simulation().run_until([&found] { return found.has_value(); }, Millis(3500)));
    CHECK(*found == register_value);
  }

  CandidateCluster cluster;
  bool counting = false;
  std::size_t bytes = 0;
  std::int64_t absent_since_ms = 0;
  std::uint64_t version = 0;
  std::uint64_t register_version = 0;
  std::map<std::string, std::string> expected;
  std::string register_value;
};

// Why a member is absent.
enum class Absence { crashed, cut_off, stalled_disk, wiped };

constexpr Millis kDiskHang{120000};

void begin_absence(CatchUpFixture& fixture, Absence absence, std::size_t index) {
  fixture.absent_since_ms = fixture.simulation().now_ms();
  if (absence == Absence::crashed || absence == Absence::wiped) fixture.cluster.crash(index);
  if (absence == Absence::wiped) fixture.cluster.node(index).lose_disk();
  if (absence == Absence::cut_off) fixture.simulation().isolate(index);
  if (absence == Absence::stalled_disk) fixture.cluster.node(index).hang_disk_for(kDiskHang);
}

void end_absence(CatchUpFixture& fixture, Absence absence, std::size_t index) {
  if (absence == Absence::cut_off) return fixture.simulation().heal();
  if (absence == Absence::stalled_disk) {
    const Millis passed(fixture.simulation().now_ms() - fixture.absent_since_ms);
    REQUIRE(passed < kDiskHang);
    return fixture.simulation().run_for(kDiskHang - passed);
  }
  fixture.cluster.start(index);
}

std::size_t follower_of(CatchUpFixture& fixture, std::uint64_t seed) {
  const std::size_t leading = fixture.leader();
  return (leading + 1 + seed % (fixture.cluster.size() - 1)) % fixture.cluster.size();
}

TEST_CASE("a member that was absent through 2,000 changes and 10,000 jobs catches up in time") {
  const Absence absence = GENERATE(Absence::crashed, Absence::cut_off, Absence::stalled_disk, Absence::wiped);
  CAPTURE(static_cast<int>(absence));
  CatchUpFixture fixture(7 + static_cast<std::uint64_t>(absence));
  fixture.write_records(200);
  const std::size_t absent = follower_of(fixture, 1);
  begin_absence(fixture, absence, absent);
  fixture.simulation().run_for(Millis(1500));
  fixture.change_register(2000, fixture.leader());
  fixture.write_records(10000);
  // Writes that wait for a hung disk must not exhaust the memory.
  constexpr std::size_t kMaxWaitingBytes = 18u << 20;
  CHECK(fixture.cluster.node(absent).store().waiting_bytes() < kMaxWaitingBytes);
  fixture.counting = true;
  end_absence(fixture, absence, absent);
  const std::int64_t took_ms = fixture.time_to_catch_up(absent);
  std::printf("catch-up %d: %lld ms, %.1f MB for 10,000 records of %zu bytes\n", static_cast<int>(absence),
              static_cast<long long>(took_ms), static_cast<double>(fixture.bytes) / 1e6, kRecordBytes);
  CHECK(took_ms <= kCatchUp.count());
  fixture.require_usable(absent);
}

TEST_CASE("the cost of catching up is in proportion to what was missed") {
  std::size_t few = 0;
  std::size_t many = 0;
  for (const bool all : {false, true}) {
    CatchUpFixture fixture(11);
    fixture.write_records(4000);
    const std::size_t absent = follower_of(fixture, 2);
    begin_absence(fixture, Absence::cut_off, absent);
    fixture.simulation().run_for(Millis(1500));
    fixture.write_records(all ? 4000 : 100);
    fixture.counting = true;
    end_absence(fixture, Absence::cut_off, absent);
    fixture.time_to_catch_up(absent);
    (all ? many : few) = fixture.bytes;
  }
  std::printf("catch-up: %zu bytes after 100 records, %zu after 4,000\n", few, many);
  CHECK(few * 8 < many);
}

TEST_CASE("changes continue while a member catches up, and its state transfer is interrupted and restarted") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const Absence absence = seed % 2 == 0 ? Absence::wiped : Absence::crashed;
    CAPTURE(seed, static_cast<int>(absence));
    CatchUpFixture fixture(seed);
    fixture.write_records(1500);
    const std::size_t absent = follower_of(fixture, seed);
    begin_absence(fixture, absence, absent);
    fixture.simulation().run_for(Millis(1200));
    fixture.write_records(1500, 500);
    fixture.change_register(50, fixture.leader());
    end_absence(fixture, absence, absent);
    for (int round = 0; round < 6; ++round) {
      fixture.simulation().run_for(Millis(fixture.simulation().random_between(1, 120)));
      fixture.simulation().isolate(absent);
      fixture.write_records(50, 2500);
      fixture.simulation().run_for(Millis(fixture.simulation().random_between(1, 900)));
      fixture.simulation().heal();
      fixture.write_records(50, 100);
      fixture.change_register(2, fixture.leader());
    }
    CHECK(fixture.time_to_catch_up(absent) <= kCatchUp.count());
    fixture.require_usable(absent);
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
