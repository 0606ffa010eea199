// Shards on a simulated control group: there are never two leaders, and each leader continues from its
// predecessor's records.
#include <catch2/catch.hpp>

#include "tests/cluster/support/consensus_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

// The recovered, written and acknowledged versions of one shard's records, over all nodes and incarnations.
//
// Each leader has a history for each key: what it recovered, then what it wrote. Its successor must recover,
// for every key, the predecessor's last acknowledged version or a later one of the predecessor's, and nothing
// else.
class ShardHistory {
 public:
  struct KeyHistory {
    std::vector<std::string> versions;  // empty text: no such record
    std::size_t acknowledged = 0;       // index of the newest acknowledged version
    std::size_t recovered_by_next = 0;
  };
  struct Leadership {
    std::map<std::string, KeyHistory> keys;
    bool succeeded = false;
  };

  void lead(std::uint64_t epoch, const std::vector<ShardEntry>& entries) {
    std::map<std::string, std::string> recovered;
    for (const ShardEntry& entry : entries) recovered[entry.key] = entry.value;
    if (!leaderships_.empty()) {
      REQUIRE(epoch > leaderships_.rbegin()->first);
      check_succession(leaderships_.rbegin()->second, recovered);
    } else {
      REQUIRE(recovered.empty());
    }
    Leadership& leadership = leaderships_[epoch];
    for (const auto& [key, value] : recovered) leadership.keys[key].versions = {value};
  }

  // Records a write; the returned version is for `acknowledged`.
  std::size_t written(std::uint64_t epoch, const std::string& key, const std::string& value) {
    KeyHistory& history = leaderships_.at(epoch).keys[key];
    if (history.versions.empty()) history.versions = {""};
    history.versions.push_back(value);
    return history.versions.size() - 1;
  }
  void acknowledged(std::uint64_t epoch, const std::string& key, std::size_t version) {
    ++acknowledgements_;
    Leadership& leadership = leaderships_.at(epoch);
    KeyHistory& history = leadership.keys.at(key);
    history.acknowledged = std::max(history.acknowledged, version);
    if (leadership.succeeded) REQUIRE(history.recovered_by_next >= version);
  }

  std::size_t leaderships() const { return leaderships_.size(); }
  std::size_t acknowledgements() const { return acknowledgements_; }

 private:
  void check_succession(Leadership& before, const std::map<std::string, std::string>& recovered) {
    before.succeeded = true;
    for (const auto& [key, value] : recovered) {
      CAPTURE(key, value);
      REQUIRE(before.keys.contains(key));
    }
    for (auto& [key, history] : before.keys) {
      const auto entry = recovered.find(key);
      const std::string value = entry == recovered.end() ? "" : entry->second;
      const auto first = history.versions.begin() + static_cast<std::ptrdiff_t>(history.acknowledged);
      const auto version = std::find(first, history.versions.end(), value);
      CAPTURE(key, value, history.versions, history.acknowledged);
      REQUIRE(version != history.versions.end());
      history.recovered_by_next = static_cast<std::size_t>(version - history.versions.begin());
      // Removed twice: the empty text may be a later version.
      if (value.empty()) history.recovered_by_next = history.versions.size() - 1;
    }
  }

  std::map<std::uint64_t, Leadership> leaderships_;
  std::size_t acknowledgements_ = 0;
};

ShardHistory* current_history = nullptr;

// Called whenever a node begins to lead.
std::function<void(SimNode&)> on_new_leader;
std::int64_t last_key_number = 30;

// Participates in one shard on one node.
class ShardUser {
 public:
  ShardUser(SimNode& node, ControlGroup& group) : node_(node) {
    ShardCallbacks callbacks;
    callbacks.on_lead = [this](std::uint64_t epoch, const std::vector<ShardEntry>& entries) {
      REQUIRE_FALSE(is_notified_leader_);
      is_notified_leader_ = true;
      current_history->lead(epoch, entries);
      if (on_new_leader) on_new_leader(node_);
    };
    callbacks.on_lost = [this] {
      REQUIRE(is_notified_leader_);
      is_notified_leader_ = false;
    };
    shard_ = group.open_shard("service/one", std::move(callbacks));
  }

  ReplicatedShard& shard() { return *shard_; }
  bool leads() const { return shard_->leads(); }
  bool is_notified_leader() const { return is_notified_leader_; }

  // Writes one record. This node must lead.
  void write(const std::string& key, const std::string& value, std::function<void(ShardWriteOutcome)> done) {
    const std::uint64_t epoch = shard_->epoch();
    const std::size_t version = current_history->written(epoch, key, value);
    shard_->write({{key, value}}, [epoch, key, version, done = std::move(done)](ShardWriteOutcome outcome) {
      if (outcome == ShardWriteOutcome::durable) current_history->acknowledged(epoch, key, version);
      done(outcome);
    });
  }

  // Writes or removes one of a few records, if this node leads.
  void write_random_records() {
    if (!leads()) return;
    Simulation& simulation = node_.simulation();
    const std::uint64_t epoch = shard_->epoch();
    std::vector<ShardChange> changes;
    std::vector<std::pair<std::string, std::size_t>> versions;
    for (std::int64_t count = simulation.random_between(1, 3); count > 0; --count) {
      const std::string key = "key" + std::to_string(simulation.random_between(0, last_key_number));
      if (std::any_of(versions.begin(), versions.end(),
                      [&](const auto& entry) { return entry.first == key; }))
        continue;
      const bool removes = simulation.chance(0.25);
      const std::string value = removes ? "" : std::to_string(epoch) + ":" + std::to_string(++writes_);
      changes.push_back({key, removes ? std::nullopt : std::optional(value)});
      versions.emplace_back(key, current_history->written(epoch, key, value));
    }
    shard_->write(std::move(changes), [epoch, versions](ShardWriteOutcome outcome) {
      if (outcome != ShardWriteOutcome::durable) return;
      for (const auto& [key, version] : versions) current_history->acknowledged(epoch, key, version);
    });
  }

 private:
  SimNode& node_;
  bool is_notified_leader_ = false;
  std::uint64_t writes_ = 0;
  std::unique_ptr<ReplicatedShard> shard_;
};

using Cluster = ControlCluster<ShardUser>;

std::optional<std::size_t> leader_of(Cluster& cluster) {
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    if (cluster.running(index) && cluster.application(index).leads()) return index;
  }
  return std::nullopt;
}

// Counts frozen nodes, too: they don't act, but must not believe that they lead when they resume.
void require_one_leader(Cluster& cluster) {
  std::size_t leaders = 0;
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    if (cluster.running(index) && cluster.application(index).leads()) ++leaders;
  }
  if (leaders > 1) FAIL("two leaders at once");
}

struct RunPlan {
  std::uint64_t seed = 0;
  std::size_t machines = 5;
  SimulationOptions options;
  FaultPlan faults;
  std::int64_t duration_ms = 25000;
  bool disturb_new_leaders = false;  // new leaders soon crash or are partitioned
  std::int64_t keys = 30;
  std::int64_t writes_at_once = 1;
};

// Faults that hit a leader within its first moments.
void disturb_new_leader(Cluster& cluster, SimNode& node) {
  Simulation& simulation = cluster.simulation();
  const std::size_t index = node.index();
  if (simulation.chance(0.3)) return;
  const Millis until_fault(simulation.random_between(0, simulation.chance(0.5) ? 30 : 400));
  const Millis fault_duration(simulation.random_between(20, 1500));
  if (simulation.chance(0.5)) {
    simulation.in(until_fault, [&cluster, index] { cluster.crash(index); });
    simulation.in(until_fault + fault_duration, [&cluster, index] { cluster.start(index); });
    return;
  }
  simulation.in(until_fault, [&simulation, index] {
    for (std::size_t other = 0; other < simulation.size(); ++other) {
      if (other != index && simulation.chance(0.7)) simulation.cut_both(index, other);
    }
  });
  simulation.in(until_fault + fault_duration, [&simulation] { simulation.heal(); });
}

void run_plan(const RunPlan& plan) {
  CAPTURE(plan.seed, plan.machines);
  ShardHistory history;
  current_history = &history;
  Cluster cluster(plan.seed, plan.machines, plan.options);
  FaultInjector<ShardUser> faults(cluster, plan.faults);
  Simulation& simulation = cluster.simulation();
  simulation.on_event([&] { require_one_leader(cluster); });
  last_key_number = plan.keys;
  on_new_leader = nullptr;
  if (plan.disturb_new_leaders)
    on_new_leader = [&cluster](SimNode& node) { disturb_new_leader(cluster, node); };
  cluster.bootstrap();
  std::int64_t next_fault_ms = 2500;
  const std::int64_t end_ms = simulation.now_ms() + plan.duration_ms;
  while (simulation.now_ms() < end_ms) {
    for (std::size_t index = 0; index < plan.machines; ++index) {
      if (!cluster.running(index) || cluster.node(index).frozen()) continue;
      for (std::int64_t write = 0; write < plan.writes_at_once; ++write)
        cluster.application(index).write_random_records();
    }
    simulation.run_for(Millis(simulation.random_between(1, 60)));
    if (simulation.now_ms() < next_fault_ms) continue;
    faults.inject_fault();
    next_fault_ms = simulation.now_ms() + simulation.random_between(50, 2500);
  }
  on_new_leader = nullptr;
  faults.end_faults();
  simulation.options().loss = 0;
  simulation.options().late = 0;
  simulation.run_for(kMaxFaultDuration);
  REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, Millis(15000)));
  REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(5000)));
  // One more leader recovers the remaining records.
  cluster.crash(*leader_of(cluster));
  REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(6000)));
  REQUIRE(history.acknowledgements() > 20);
  simulation.on_event(nullptr);
}

TEST_CASE("a leader is elected soon after the start, and again soon after its crash or step-down") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    ShardHistory history;
    current_history = &history;
    Cluster cluster(seed, 5);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(2500)));
    REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, Millis(3000)));
    REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(1000)));
    const std::size_t first = *leader_of(cluster);
    cluster.crash(first);
    REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(2500)));
    const std::size_t second = *leader_of(cluster);
    REQUIRE(second != first);
    cluster.application(second).shard().step_down();
    REQUIRE_FALSE(leader_of(cluster).has_value());
    REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(1000)));
    REQUIRE(*leader_of(cluster) != second);
  }
}

TEST_CASE("a lease is kept for hours without faults") {
  ShardHistory history;
  current_history = &history;
  Cluster cluster(5, 5);
  Simulation& simulation = cluster.simulation();
  cluster.bootstrap();
  REQUIRE(simulation.run_until([&] { return cluster.is_stable() && leader_of(cluster).has_value(); },
                               Millis(5000)));
  simulation.run_for(Millis(1000));
  const std::size_t leaderships = history.leaderships();
  simulation.run_for(Millis(3600000));
  CHECK(history.leaderships() == leaderships);
}

TEST_CASE("a partitioned leader is notified of its loss before anybody else can lead") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    ShardHistory history;
    current_history = &history;
    Cluster cluster(seed, 5);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(simulation.run_until([&] { return cluster.is_stable() && leader_of(cluster).has_value(); },
                                 Millis(5000)));
    const std::size_t leader = *leader_of(cluster);
    simulation.isolate(leader);
    REQUIRE(simulation.run_until([&] { return !cluster.application(leader).is_notified_leader(); },
                                 Millis(1500)));
    REQUIRE_FALSE(leader_of(cluster).has_value());
    REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(2000)));
  }
}

// A leader that was frozen until its lease had expired first writes and then handles a renewal that arrived
// in the meantime. If it continued to lead, its later writes would be considered durable together with the
// lost one.
TEST_CASE("a leader whose write was lost stops leading under that epoch although its lease is renewed") {
  std::size_t lost_writes = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    ShardHistory history;
    current_history = &history;
    SimulationOptions slow_links;  // so that a renewal is often in flight when the leader freezes
    slow_links.delay_min_us = 20000;
    slow_links.delay_max_us = 40000;
    Cluster cluster(seed, 5, slow_links);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(simulation.run_until([&] { return cluster.is_stable() && leader_of(cluster).has_value(); },
                                 Millis(10000)));
    simulation.run_for(Millis(simulation.random_between(0, 400)));
    REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(5000)));
    const std::size_t index = *leader_of(cluster);
    ShardUser& leader = cluster.application(index);
    SimNode& node = cluster.node(index);
    std::uint64_t lost_epoch = 0;
    const auto write = [&] {
      const std::uint64_t epoch = leader.shard().epoch();
      if (epoch == 0) return;
      leader.write("key", "value", [&, epoch](ShardWriteOutcome outcome) {
        if (outcome != ShardWriteOutcome::lost) return;
        ++lost_writes;
        lost_epoch = epoch;
      });
    };
    const auto timer = node.after(Millis(1), write);
    node.freeze_for(Millis(simulation.random_between(540, 704)));
    simulation.on_event([&] {
      if (lost_epoch != 0 && leader.leads() && leader.shard().epoch() == lost_epoch)
        FAIL("leads on after a lost write");
    });
    simulation.run_for(Millis(3000));
    simulation.on_event(nullptr);
  }
  CHECK(lost_writes > 0);
}

TEST_CASE("writes are durable soon and in order, also while one member is down") {
  ShardHistory history;
  current_history = &history;
  Cluster cluster(6, 5);
  Simulation& simulation = cluster.simulation();
  cluster.bootstrap();
  REQUIRE(simulation.run_until([&] { return cluster.is_stable() && leader_of(cluster).has_value(); },
                               Millis(5000)));
  const std::size_t leader = *leader_of(cluster);
  cluster.crash((leader + 1) % 5);
  std::vector<int> ended;
  const std::int64_t begun_ms = simulation.now_ms();
  for (int write = 0; write < 200; ++write) {
    cluster.application(leader).write("key" + std::to_string(write % 7), std::to_string(write),
                                      [&ended, write](ShardWriteOutcome outcome) {
                                        REQUIRE(outcome == ShardWriteOutcome::durable);
                                        ended.push_back(write);
                                      });
  }
  REQUIRE(simulation.run_until([&] { return ended.size() == 200; }, Millis(1000)));
  CHECK(std::is_sorted(ended.begin(), ended.end()));
  CHECK(simulation.now_ms() - begun_ms < 200);
}

TEST_CASE("a restarted member gets the writes that it missed") {
  ShardHistory history;
  current_history = &history;
  Cluster cluster(7, 5);
  Simulation& simulation = cluster.simulation();
  cluster.bootstrap();
  REQUIRE(simulation.run_until([&] { return cluster.is_stable() && leader_of(cluster).has_value(); },
                               Millis(5000)));
  const std::size_t leader = *leader_of(cluster);
  const std::size_t away = (leader + 1) % 5;
  cluster.crash(away);
  for (int write = 0; write < 50; ++write) {
    cluster.application(leader).write("key" + std::to_string(write), "value", [](ShardWriteOutcome) {});
  }
  simulation.run_for(Millis(3000));
  cluster.start(away);
  simulation.run_for(Millis(2000));
  REQUIRE(leader_of(cluster) == leader);
  // With two more members down, the restarted one is needed for a majority.
  const std::size_t gone = (leader + 2) % 5;
  cluster.crash(gone);
  cluster.crash(leader);
  const std::size_t leaderships = history.leaderships();
  REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(4000)));
  CHECK(history.leaderships() > leaderships);
}

TEST_CASE("one leader at a time, no acknowledged write is lost: crashes, freezes, partitions, disk faults") {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    RunPlan plan;
    plan.seed = seed;
    plan.machines = seed % 2 == 0 ? 5 : 3;
    run_plan(plan);
  }
}

TEST_CASE("one leader at a time, no acknowledged write is lost: lost, duplicated and late messages") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    RunPlan plan;
    plan.seed = seed;
    plan.options.loss = 0.05;
    plan.options.duplication = 0.1;
    plan.options.late = 0.05;
    run_plan(plan);
  }
}

TEST_CASE("one leader at a time, no acknowledged write is lost: members lose their disks one after another") {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    RunPlan plan;
    plan.seed = seed;
    plan.machines = seed % 3 == 0 ? 4 : 5;
    plan.options.duplication = 0.05;
    plan.options.late = 0.05;
    plan.faults.disk_losses = true;
    run_plan(plan);
  }
}

TEST_CASE("what short-lived leaders recovered and wrote is never contradicted") {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    RunPlan plan;
    plan.seed = seed;
    plan.machines = seed % 2 == 0 ? 5 : 3;
    plan.options.loss = seed % 3 == 0 ? 0.1 : 0;
    plan.options.duplication = 0.1;
    plan.options.late = 0.05;
    plan.options.late_max_us = 100000;
    plan.faults.disk_losses = seed % 4 == 0;
    plan.disturb_new_leaders = true;
    plan.keys = 4;
    plan.writes_at_once = 4;
    run_plan(plan);
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
