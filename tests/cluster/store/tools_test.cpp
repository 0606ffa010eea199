// Reading, backing up and restoring the store of a node that is not running.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "cluster/consensus/member_record.hpp"
#include "cluster/store/backup_file.hpp"
#include "cluster/store/offline_store.hpp"
#include "cluster/store/restored_state.hpp"
#include "cluster/store/state_summary.hpp"
#include "tests/cluster/store/store_fixture.hpp"
#include "tests/cluster/support/consensus_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "store-tools-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
  std::string path(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

enum class Failure { none, store, damaged, format, input };

// The kind of error that a function returns.
template <typename Function>
Failure failure_of(Function function) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Failure> {
        BOOST_LEAF_CHECK(function());
        return Failure::none;
      },
      [](const StoreFailure&) { return Failure::store; },
      [](const StoreCorruption&) { return Failure::damaged; },
      [](const UnsupportedStoreFormat&) { return Failure::format; },
      [](const InvalidInput&) { return Failure::input; }, [] { return Failure::none; });
}

Content as_content(const std::vector<StoreEntry>& entries) {
  Content content;
  for (const StoreEntry& entry : entries) content[entry.key] = entry.value;
  return content;
}

std::map<std::string, std::uintmax_t> sizes(const std::string& directory) {
  std::map<std::string, std::uintmax_t> found;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    found[entry.path().filename().string()] = entry.file_size();
  }
  return found;
}

std::vector<StoreEntry> entries_of(SimStore& store) {
  std::vector<StoreEntry> entries;
  store.load([&](std::string_view key, std::string_view value) {
    entries.push_back({std::string(key), std::string(value)});
  });
  return entries;
}

// A control group of three nodes with a shard record and a register value; node 0 leads the shard.
struct ControlGroupWithState {
  explicit ControlGroupWithState(std::uint64_t seed) : cluster(seed, 3) {
    cluster.bootstrap();
    REQUIRE(cluster.simulation().run_until([&] { return cluster.is_stable(); }, Millis(20000)));
    ShardCallbacks callbacks;
    callbacks.on_lead = [this](std::uint64_t epoch, std::vector<ShardEntry>) { led_epoch = epoch; };
    callbacks.on_lost = [] {};
    shard = cluster.group(0).open_shard("service", callbacks);
    REQUIRE(cluster.simulation().run_until([&] { return shard->leads(); }, Millis(20000)));
    bool durable = false;
    shard->write({{"job/1", std::string("record")}},
                 [&](ShardWriteOutcome outcome) { durable = outcome == ShardWriteOutcome::durable; });
    REQUIRE(cluster.simulation().run_until([&] { return durable; }, Millis(20000)));
    bool chosen = false;
    cluster.group(0).registers().update(
        "configuration", [](const std::string&) { return std::optional<std::string>("routes"); },
        Millis(5000), [&](const std::optional<RegisterValue>& value) { chosen = value.has_value(); });
    REQUIRE(cluster.simulation().run_until([&] { return chosen; }, Millis(20000)));
    cluster.simulation().run_for(Millis(2000));
  }
  ~ControlGroupWithState() { shard.reset(); }

  ControlCluster<> cluster;
  std::uint64_t led_epoch = 0;
  std::unique_ptr<ReplicatedShard> shard;
};

TEST_CASE("an offline store is read without changes and can be restored from a backup") {
  const TemporaryDirectory directory;
  const std::string path = directory.path("data");
  Content expected;
  {
    TestLoop loop;
    auto store = open_leveldb_store(path, loop.poster());
    REQUIRE(store);
    for (std::size_t number = 0; number < 3000; ++number) {
      const std::string key = std::string("record/service\0", 15) + std::to_string(number);
      expected[key] = std::string(number % 1000, 'v');
      REQUIRE(commit(*store.value(), loop, {{key, expected[key]}}) == CommitOutcome::durable);
    }
    CHECK(failure_of([&] { return read_offline_store(path); }) == Failure::store);  // in use
  }
  const auto before = sizes(path);
  auto entries = read_offline_store(path);
  REQUIRE(entries);
  CHECK(as_content(entries.value()) == expected);
  CHECK(sizes(path) == before);
  const std::string file = directory.path("backup");
  REQUIRE(write_backup(file, entries.value()));
  CHECK(failure_of([&] { return write_backup(file, {}); }) == Failure::store);  // never overwritten
  auto read = read_backup(file);
  REQUIRE(read);
  CHECK(as_content(read.value()) == expected);
  REQUIRE(create_offline_store(directory.path("new"), read.value()));
  CHECK(as_content(read_offline_store(directory.path("new")).value()) == expected);
  CHECK(failure_of([&] { return create_offline_store(directory.path("new"), {}); }) ==
        Failure::store);  // not empty
  CHECK(failure_of([&] { return read_offline_store(directory.path("none")); }) != Failure::none);
}

TEST_CASE("a truncated, changed or unsupported backup is rejected") {
  const TemporaryDirectory directory;
  const std::string file = directory.path("backup");
  REQUIRE(write_backup(file, {{"key", "value"}, {"other", ""}}));
  std::ifstream input(file, std::ios::binary);
  const std::string complete((std::istreambuf_iterator<char>(input)), {});
  const auto failure_with = [&](const std::string& bytes) {
    std::ofstream(directory.path("changed"), std::ios::binary | std::ios::trunc) << bytes;
    return failure_of([&] { return read_backup(directory.path("changed")); });
  };
  CHECK(failure_with(complete) == Failure::none);
  for (std::size_t index = 0; index < complete.size(); ++index) {
    CAPTURE(index);
    CHECK(failure_with(complete.substr(0, index)) == Failure::damaged);
    std::string changed = complete;
    changed[index] ^= 4;
    CHECK(failure_with(changed) != Failure::none);
  }
  std::string newer = complete;
  newer[newer.find('\n') - 1] = '2';
  CHECK(failure_with(newer) == Failure::format);
}

TEST_CASE("every entry of a real control group's state is recognized") {
  ControlGroupWithState group(1);
  for (std::size_t index = 0; index < 3; ++index) {
    const StateSummary summary = summarize_state(entries_of(group.cluster.node(index).store()));
    CHECK(summary.unreadable.empty());
    CHECK(summary.identity.id() == group.cluster.group(index).member_id());
    CHECK(summary.members.members_size() == 3);
    CHECK(summary.shards == 1);
    CHECK(summary.records == 1);
    CHECK(summary.registers >= 1);
  }
  CHECK(summarize_state({{"else", "?"}}).unreadable.size() == 1);
  const std::string garbage(3, '\xff');
  CHECK(failure_of([&] {
          return make_restored_state({{"identity", garbage}}, 1, "a", "b");
        }) == Failure::damaged);
  CHECK(failure_of([&] { return make_restored_state({}, 1, "", ""); }) == Failure::input);
}

// A store that initially contains the given entries and commits to another store.
class PreloadedStore : public DurableStore {
 public:
  PreloadedStore(DurableStore& disk, const std::vector<StoreEntry>& entries)
      : disk_(disk), entries_(entries) {}
  void commit(StoreBatch batch, std::function<void(CommitOutcome)> done) override {
    disk_.commit(std::move(batch), std::move(done));
  }
  void load(const std::function<void(std::string_view, std::string_view)>& visit) override {
    for (const StoreEntry& entry : entries_) visit(entry.key, entry.value);
  }

 private:
  DurableStore& disk_;
  const std::vector<StoreEntry> entries_;
};

// A simulated node whose control group starts from given entries.
struct RestoredNode {
  RestoredNode(const std::vector<StoreEntry>& entries, std::size_t machine) : simulation(3) {
    simulation.add_node(machine_ip(machine) + ":7000", [this, entries, machine](SimNode& node) {
      store = std::make_unique<PreloadedStore>(node.store(), entries);
      auto group_of_node = std::make_shared<ControlGroup>(node, *store, control_settings(machine, false));
      group = group_of_node.get();
      group->start();
      return SimNode::Program{group_of_node,
                              [this](const wire::Envelope& request, const ReplyCallback& reply) {
                                return group->handle(request, reply);
                              }};
    });
    simulation.node(0).start();
  }

  std::unique_ptr<PreloadedStore> store;
  Simulation simulation;
  ControlGroup* group = nullptr;
};

TEST_CASE("a restored state starts a new group of one member, fenced off from the old group") {
  ControlGroupWithState old(2);
  const std::uint64_t old_id = old.cluster.group(1).member_id();
  auto restored = make_restored_state(entries_of(old.cluster.node(1).store()), 4711, "", "");
  REQUIRE(restored);
  RestoredNode restored_node(restored.value(), 1);
  REQUIRE(restored_node.simulation.run_until([&] { return restored_node.group->has_quorum_contact(); },
                                             Millis(5000)));
  CHECK(restored_node.group->votes());
  CHECK(restored_node.group->member_id() == 4711);
  CHECK(restored_node.group->members().members_size() == 1);
  CHECK(restored_node.group->members().epoch() > old.cluster.group(1).members().epoch() + 1000);
  CHECK(was_removed(restored_node.group->members(), old_id));
  std::uint64_t epoch = 0;
  std::vector<ShardEntry> recovered;
  ShardCallbacks callbacks;
  callbacks.on_lead = [&](std::uint64_t led, std::vector<ShardEntry> found) {
    epoch = led;
    recovered = std::move(found);
  };
  callbacks.on_lost = [] {};
  auto shard = restored_node.group->open_shard("service", callbacks);
  REQUIRE(restored_node.simulation.run_until([&] { return shard->leads(); }, Millis(20000)));
  CHECK(epoch > old.led_epoch + kRestoreFencingIncrement);
  REQUIRE(recovered.size() == 1);
  CHECK(recovered[0].key == "job/1");
  CHECK(recovered[0].value == "record");
  std::optional<std::string> configuration;
  restored_node.group->registers().update(
      "configuration", [](const std::string&) { return std::nullopt; }, Millis(5000),
      [&](const std::optional<RegisterValue>& value) {
        if (value) configuration = value->value;
      });
  REQUIRE(restored_node.simulation.run_until([&] { return configuration.has_value(); }, Millis(5000)));
  CHECK(*configuration == "routes");
  shard.reset();
}

}  // namespace
}  // namespace winchhall::cluster::sim
