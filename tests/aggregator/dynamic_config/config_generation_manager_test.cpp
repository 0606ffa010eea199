// Validation of configurations, the decisions of ConfigGenerationManager, the schedule of scans, and a
// property test over random histories. No files are read.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "aggregator/dynamic_config/config_generation_manager.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>
#include <random>

#include "aggregator/dynamic_config/debouncer.hpp"

using namespace winchhall::dynamic_config;
using winchhall::ranges::kKeyEnd;
using winchhall::ranges::Role;

namespace {

Rows nodes(int count, int from = 0) {
  Rows rows;
  for (int i = from; i < from + count; ++i)
    rows.nodes.push_back(
        {"n" + std::to_string(i), "127.0.0.1:" + std::to_string(9000 + i), "a", 0, false, 10 + i});
  return rows;
}

Rows with_ranges(Rows rows, std::vector<std::vector<std::string>> holders) {
  std::uint64_t width = kKeyEnd / holders.size();
  for (std::size_t i = 0; i < holders.size(); ++i) {
    RangeRow row{
        i, {i * width, i + 1 == holders.size() ? kKeyEnd : (i + 1) * width}, 1, {}, static_cast<long>(3 + i)};
    for (const std::string& s : holders[i]) row.holders.push_back({s, Role::serving});
    rows.ranges.push_back(row);
  }
  return rows;
}

std::string fault_of(const Rows& rows, Bounds bounds = {}) {
  std::vector<Fault> faults;
  auto made = check(rows, 1, bounds, faults);
  CHECK((made == nullptr) == !faults.empty());
  return faults.empty() ? "" : faults[0].text();
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("invalid nodes are rejected with file, line and reason") {
  CHECK(fault_of(nodes(3)).empty());
  CHECK(contains(fault_of({}), "nodes.xml: no node"));
  Rows r = nodes(3);
  r.nodes[2].address = r.nodes[0].address;
  CHECK(fault_of(r) == "nodes.xml:12: address 127.0.0.1:9000 is that of line 10 too");
  r = nodes(3);
  r.nodes[1].id = "n0";
  CHECK(contains(fault_of(r), "nodes.xml:11: id 'n0' stands at line 10 too"));
  r = nodes(3);
  r.nodes[1].id = "a b";
  CHECK(contains(fault_of(r), "wanted are 1 to 128 signs"));
  Bounds known;
  known.zones = {"surco-a", "ate-1"};
  CHECK(contains(fault_of(nodes(1), known), "nodes.xml:10: zone 'a' is not known, known are ate-1, surco-a"));
  known = {};
  known.cells = 4;
  r = nodes(2);
  r.nodes[1].cell = 4;
  CHECK(contains(fault_of(r, known), "nodes.xml:11: cell 4 is not known, wanted is 0 to 3"));
  known = {};
  known.nodes = 2;
  CHECK(contains(fault_of(nodes(3), known), "more than 2 nodes"));
}

TEST_CASE("invalid weights are rejected with file, line and reason") {
  for (double bad :
       {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    Rows r = nodes(3);
    r.weights = {{"n0", 1, 3}, {"n1", bad, 4}, {"n2", 1, 5}};
    CHECK(contains(fault_of(r), "weights.xml:4: weight "));
  }
  Rows r = nodes(5);
  r.weights = {{"n0", 1, 3}, {"n1", 1, 4}, {"n2", 1, 5}, {"n3", 101, 6}};
  CHECK(contains(fault_of(r), "weights.xml:6: weight 101 is more than 100 times off the median"));
  r.weights[3].weight = 0.009;
  CHECK(contains(fault_of(r), "weights.xml:6"));
  r.weights[3].weight = 100;
  CHECK(fault_of(r).empty());
  r.weights.push_back({"n0", 2, 7});
  CHECK(contains(fault_of(r), "weights.xml:7: node 'n0' has a weight at line 3 too"));
  r.weights[4] = {"zz", 2, 7};
  CHECK(contains(fault_of(r), "weights.xml:7: node 'zz' is not in nodes.xml"));
}

TEST_CASE("ranges that contradict the nodes, or form no map, are rejected") {
  CHECK(fault_of(with_ranges(nodes(3), {{"n0", "n1"}, {"n2"}})).empty());
  CHECK(contains(fault_of(with_ranges(nodes(2), {{"n0"}, {"n2"}})),
                 "ranges.xml:4: holder 'n2' of range 1 is not in nodes.xml"));
  Rows r = with_ranges(nodes(3), {{"n0"}, {"n1"}});
  r.ranges[1].holders[0].role = Role::copying;
  CHECK(contains(fault_of(r), "ranges.xml:4: range 1 has no serving holder"));
  r = with_ranges(nodes(3), {{"n0"}, {"n1"}, {"n2"}});
  r.ranges[1].span.from += 1;
  CHECK(contains(fault_of(r), "ranges.xml:4: range 1 "));
  CHECK(contains(fault_of(r), "a gap before it"));
  r = with_ranges(nodes(3), {{"n0"}, {"n1"}});
  r.ranges[0].weight = -1;
  CHECK(contains(fault_of(r), "ranges.xml:3"));
}

TEST_CASE("all faults are reported, up to a maximum") {
  Rows r = nodes(200);
  for (auto& row : r.nodes) row.id = "bad id";
  std::vector<Fault> faults;
  CHECK_FALSE(check(r, 1, {}, faults));
  CHECK(faults.size() == kMaxFaults);
}

TEST_CASE(
    "a valid candidate is applied, an unchanged one is ignored, and a rejected one leaves the active one in "
    "use") {
  ConfigGenerationManager manager;
  CHECK(manager.evaluate(nodes(4), 1, {}, 0).verdict == ValidationOutcome::taken);
  CHECK(manager.number() == 1);
  CHECK(manager.evaluate(nodes(4), 1, {}, 10).verdict == ValidationOutcome::same);
  CHECK(manager.number() == 1);
  auto rejected = manager.evaluate(Rows{}, 2, {{Kind::nodes, 3, "half a file"}}, 20);
  CHECK(rejected.verdict == ValidationOutcome::refused);
  CHECK(rejected.faults[0].text() == "nodes.xml:3: half a file");
  CHECK(rejected.may_be_partial);
  CHECK(manager.current()->members.size() == 4);
  // Unchanged: it is reported once. Changed back: the generation is active already.
  CHECK(manager.evaluate(Rows{}, 2, {{Kind::nodes, 3, "half a file"}}, 30).verdict ==
        ValidationOutcome::same);
  CHECK(manager.evaluate(nodes(4), 1, {}, 40).verdict == ValidationOutcome::same);
  CHECK(manager.evaluate(Rows{}, 2, {{Kind::nodes, 3, "half a file"}}, 50).verdict ==
        ValidationOutcome::refused);
  CHECK(manager.history().size() == 3);
}

TEST_CASE("a lower revision is rejected") {
  ConfigGenerationManager manager;
  Rows r = nodes(4);
  r.revisions[Kind::nodes] = 7;
  CHECK(manager.evaluate(r, 1, {}, 0).verdict == ValidationOutcome::taken);
  r.revisions[Kind::nodes] = 6;
  auto f = manager.evaluate(r, 2, {}, 10);
  CHECK(f.verdict == ValidationOutcome::refused);
  CHECK(f.faults[0].what == "revision 6 goes back, 7 is in use");
  r.revisions[Kind::nodes] = 0;  // not stated
  CHECK(manager.evaluate(r, 3, {}, 20).verdict == ValidationOutcome::taken);
}

TEST_CASE("a generation that removes too many nodes needs an operator's approval") {
  ConfigGenerationManager manager;
  manager.evaluate(nodes(8), 1, {}, 0);
  CHECK(manager.evaluate(nodes(6), 2, {}, 10).verdict == ValidationOutcome::taken);  // a quarter
  auto f = manager.evaluate(nodes(3), 3, {}, 20);
  CHECK(f.verdict == ValidationOutcome::held);
  CHECK(f.why == "it drops 3 of 6 nodes, more than 25%");
  CHECK(manager.current()->members.size() == 6);
  CHECK_FALSE(manager.accept(99, 30));
  SUBCASE("accepted") {
    CHECK(manager.accept(3, 30));
    CHECK(manager.current()->members.size() == 3);
    CHECK_FALSE(manager.accept(3, 40));
  }
  SUBCASE("replaced by another generation") {
    CHECK(manager.evaluate(nodes(5), 4, {}, 30).verdict == ValidationOutcome::taken);
    CHECK_FALSE(manager.accept(3, 40));
  }
  SUBCASE("changed back to the active generation") {
    CHECK(manager.evaluate(nodes(6), 2, {}, 30).verdict == ValidationOutcome::same);
    CHECK_FALSE(manager.held());
  }
}

TEST_CASE("a generation in which a range loses all its holders, or without the map, needs approval too") {
  ConfigGenerationManager manager;
  manager.evaluate(with_ranges(nodes(4), {{"n0", "n1"}, {"n1", "n2"}}), 1, {}, 0);
  CHECK(manager.evaluate(with_ranges(nodes(4), {{"n1", "n3"}, {"n2"}}), 2, {}, 10).verdict ==
        ValidationOutcome::taken);
  auto f = manager.evaluate(with_ranges(nodes(4), {{"n0"}, {"n2"}}), 3, {}, 20);
  CHECK(f.verdict == ValidationOutcome::held);
  CHECK(contains(f.why, "has none of the holders it had"));
  CHECK(manager.evaluate(nodes(4), 4, {}, 30).verdict == ValidationOutcome::held);
}

TEST_CASE("a removed node is draining for the drain time; one that is listed again is ready") {
  ConfigGenerationManager manager;
  manager.evaluate(nodes(8), 1, {}, 0);
  manager.evaluate(nodes(7), 2, {}, 1000);
  auto list = manager.members(1000);
  REQUIRE(list.size() == 8);
  CHECK(list[7].entry.server == "n7");
  CHECK(list[7].entry.state == winchhall::ServerState::draining);
  CHECK(manager.next_removal() == 11000);
  CHECK(manager.members(10999).size() == 8);
  CHECK(manager.members(11000).size() == 7);
  manager.evaluate(nodes(6), 3, {}, 12000);
  CHECK(manager.members(12001).size() == 7);
  manager.evaluate(nodes(7), 4, {}, 13000);
  list = manager.members(13001);
  REQUIRE(list.size() == 7);
  CHECK(list[6].entry.state == winchhall::ServerState::ready);
}

TEST_CASE("a rollback stays in effect until the files change") {
  ConfigGenerationManager manager;
  manager.evaluate(nodes(8), 1, {}, 0);
  ConfigGenerationPtr old = manager.current();
  manager.evaluate(nodes(7), 2, {}, 10);
  CHECK(manager.rollback(old, 20));
  CHECK(manager.current()->members.size() == 8);
  // The files have not changed.
  CHECK(manager.evaluate(nodes(7), 2, {}, 30).verdict == ValidationOutcome::same);
  CHECK(manager.current()->members.size() == 8);
  CHECK(manager.evaluate(nodes(9), 3, {}, 40).verdict == ValidationOutcome::taken);
  CHECK_FALSE(manager.rollback(manager.current(), 50));
}

TEST_CASE("map revisions increase with each generation, also after a rollback") {
  ConfigGenerationManager manager;
  manager.evaluate(with_ranges(nodes(4), {{"n0"}, {"n1"}}), 1, {}, 0);
  auto first = manager.map()->revision();
  ConfigGenerationPtr old = manager.current();
  manager.evaluate(with_ranges(nodes(4), {{"n0", "n2"}, {"n1"}}), 2, {}, 10);
  auto second = manager.map()->revision();
  manager.rollback(old, 20);
  CHECK(first < second);
  CHECK(second < manager.map()->revision());
}

TEST_CASE(
    "a burst of events causes one scan, continuous writes defer it up to a limit, and scans go on without "
    "events") {
  Debouncer debouncer;
  debouncer.on_scan_started(0);
  CHECK(debouncer.next_scan_at() == Debouncer::kPollInterval);
  debouncer.on_event(1000);
  CHECK(debouncer.next_scan_at() == 1000 + Debouncer::kQuietPeriod);
  for (Millis t = 1000; t < 3000; t += 10) debouncer.on_event(t);
  CHECK(debouncer.next_scan_at() == 1000 + Debouncer::kMaxDelay);
  debouncer.on_scan_started(1400);
  CHECK(debouncer.next_scan_at() == 1400 + Debouncer::kPollInterval);
  debouncer.on_event(1401);  // during the scan
  CHECK(debouncer.next_scan_at() == 1401 + Debouncer::kQuietPeriod);
  debouncer.on_scan_started(1441);
  debouncer.schedule_retry(1441);
  CHECK(debouncer.next_scan_at() == 1441 + Debouncer::kRetryDelay);
}

TEST_CASE("differences are listed, one per line") {
  std::vector<Fault> none;
  auto a = check(with_ranges(nodes(3), {{"n0"}, {"n1"}}), 1, {}, none);
  Rows r = with_ranges(nodes(3, 1), {{"n1"}, {"n1"}});
  r.nodes[0].address = "127.0.0.1:1";
  r.weights = {{"n2", 2, 1}, {"n1", 1, 2}, {"n3", 1, 3}};
  auto b = check(r, 2, {}, none);
  REQUIRE(a);
  REQUIRE(b);
  auto lines = differences(*a, *b);
  auto has = [&](const std::string& line) {
    return std::find(lines.begin(), lines.end(), line) != lines.end();
  };
  CHECK(has("- node n0 127.0.0.1:9000"));
  CHECK(has("+ node n3 127.0.0.1:9003"));
  CHECK(has("~ node n1 127.0.0.1:9001 -> 127.0.0.1:1"));
  CHECK(has("~ weight of n2 1 -> 2"));
  CHECK(differences(*a, *a).empty());
}

// Valid, invalid and too small candidates in any order, some of them accepted by an operator: the active
// generation is always one that was valid as a whole, and members() returns its members as ready and all
// others as draining.
TEST_CASE("random histories: the active generation is always one valid configuration") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    ConfigGenerationManager manager;
    std::map<std::uint64_t, std::size_t> valid_sizes;  // digest: nodes
    Millis now = 0;
    std::uint64_t before = 0;
    for (std::uint32_t step : steps) {
      std::mt19937 rng(step);
      now += rng() % 5000;
      std::size_t count = 1 + rng() % 12;
      bool invalid = rng() % 3 == 0;
      std::uint64_t digest = 2 * count + invalid;
      Rows rows = nodes(static_cast<int>(count));
      if (invalid) rows.nodes[rng() % count].address = "127.0.0.1:9000";
      invalid = invalid && check(rows, digest, {}, *std::make_unique<std::vector<Fault>>()) == nullptr;
      if (!invalid) valid_sizes[digest] = count;
      ValidationResult f = manager.evaluate(rows, digest, {}, now);
      if (rng() % 4 == 0 && manager.held()) RC_ASSERT(manager.accept(manager.held()->digest, now));
      RC_ASSERT(!(invalid && f.verdict == ValidationOutcome::taken));
      RC_ASSERT(manager.number() >= before);
      before = manager.number();
      if (!manager.current()) continue;
      RC_ASSERT(valid_sizes.count(manager.current()->digest) == 1);
      RC_ASSERT(manager.current()->members.size() == valid_sizes[manager.current()->digest]);
      std::set<std::string> names;
      for (const auto& m : manager.members(now)) {
        RC_ASSERT(names.insert(m.entry.server).second);
        bool named = manager.current()->member(m.entry.server) != nullptr;
        RC_ASSERT(named == (m.entry.state == winchhall::ServerState::ready));
      }
    }
  }));
}
