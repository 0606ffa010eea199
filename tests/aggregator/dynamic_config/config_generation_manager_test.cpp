// Sets of files, without a file: checks, the keeper's verdicts, when to look, and random histories of it all
// against a plain model.
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

bool says(const std::string& text, const std::string& words) { return text.find(words) != std::string::npos; }

}  // namespace

TEST_CASE("what no set may say is refused with file, line and reason") {
  CHECK(fault_of(nodes(3)).empty());
  CHECK(says(fault_of({}), "nodes.xml: no node"));
  Rows r = nodes(3);
  r.nodes[2].address = r.nodes[0].address;
  CHECK(fault_of(r) == "nodes.xml:12: address 127.0.0.1:9000 is that of line 10 too");
  r = nodes(3);
  r.nodes[1].id = "n0";
  CHECK(says(fault_of(r), "nodes.xml:11: id 'n0' stands at line 10 too"));
  r = nodes(3);
  r.nodes[1].id = "a b";
  CHECK(says(fault_of(r), "wanted are 1 to 128 signs"));
  Bounds known;
  known.zones = {"surco-a", "ate-1"};
  CHECK(says(fault_of(nodes(1), known), "nodes.xml:10: zone 'a' is not known, known are ate-1, surco-a"));
  known = {};
  known.cells = 4;
  r = nodes(2);
  r.nodes[1].cell = 4;
  CHECK(says(fault_of(r, known), "nodes.xml:11: cell 4 is not known, wanted is 0 to 3"));
  known = {};
  known.nodes = 2;
  CHECK(says(fault_of(nodes(3), known), "more than 2 nodes"));
}

TEST_CASE("impossible weights") {
  for (double bad :
       {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    Rows r = nodes(3);
    r.weights = {{"n0", 1, 3}, {"n1", bad, 4}, {"n2", 1, 5}};
    CHECK(says(fault_of(r), "weights.xml:4: weight "));
  }
  Rows r = nodes(5);
  r.weights = {{"n0", 1, 3}, {"n1", 1, 4}, {"n2", 1, 5}, {"n3", 101, 6}};
  CHECK(says(fault_of(r), "weights.xml:6: weight 101 is more than 100 times off the median"));
  r.weights[3].weight = 0.009;
  CHECK(says(fault_of(r), "weights.xml:6"));
  r.weights[3].weight = 100;
  CHECK(fault_of(r).empty());
  r.weights.push_back({"n0", 2, 7});
  CHECK(says(fault_of(r), "weights.xml:7: node 'n0' has a weight at line 3 too"));
  r.weights[4] = {"zz", 2, 7};
  CHECK(says(fault_of(r), "weights.xml:7: node 'zz' is not in nodes.xml"));
}

TEST_CASE("nodes and ranges that don't fit each other, and ranges that are no map") {
  CHECK(fault_of(with_ranges(nodes(3), {{"n0", "n1"}, {"n2"}})).empty());
  CHECK(says(fault_of(with_ranges(nodes(2), {{"n0"}, {"n2"}})),
             "ranges.xml:4: holder 'n2' of range 1 is not in nodes.xml"));
  Rows r = with_ranges(nodes(3), {{"n0"}, {"n1"}});
  r.ranges[1].holders[0].role = Role::copying;
  CHECK(says(fault_of(r), "ranges.xml:4: range 1 has no serving holder"));
  r = with_ranges(nodes(3), {{"n0"}, {"n1"}, {"n2"}});
  r.ranges[1].span.from += 1;
  CHECK(says(fault_of(r), "ranges.xml:4: range 1 "));
  CHECK(says(fault_of(r), "a gap before it"));
  r = with_ranges(nodes(3), {{"n0"}, {"n1"}});
  r.ranges[0].weight = -1;
  CHECK(says(fault_of(r), "ranges.xml:3"));
}

TEST_CASE("every fault is told, up to a bound") {
  Rows r = nodes(200);
  for (auto& row : r.nodes) row.id = "bad id";
  std::vector<Fault> faults;
  CHECK_FALSE(check(r, 1, {}, faults));
  CHECK(faults.size() == kMaxFaults);
}

TEST_CASE("taken, the same again, refused with what was in use kept, back and forth") {
  ConfigGenerationManager k;
  CHECK(k.evaluate(nodes(4), 1, {}, 0).verdict == ValidationOutcome::taken);
  CHECK(k.number() == 1);
  CHECK(k.evaluate(nodes(4), 1, {}, 10).verdict == ValidationOutcome::same);
  CHECK(k.number() == 1);
  auto refused = k.evaluate(Rows{}, 2, {{Kind::nodes, 3, "half a file"}}, 20);
  CHECK(refused.verdict == ValidationOutcome::refused);
  CHECK(refused.faults[0].text() == "nodes.xml:3: half a file");
  CHECK(refused.may_be_partial);
  CHECK(k.current()->members.size() == 4);
  // It stays as it is: told once. It changes back: nothing to take.
  CHECK(k.evaluate(Rows{}, 2, {{Kind::nodes, 3, "half a file"}}, 30).verdict == ValidationOutcome::same);
  CHECK(k.evaluate(nodes(4), 1, {}, 40).verdict == ValidationOutcome::same);
  CHECK(k.evaluate(Rows{}, 2, {{Kind::nodes, 3, "half a file"}}, 50).verdict == ValidationOutcome::refused);
  CHECK(k.history().size() == 3);
}

TEST_CASE("a revision that goes back is refused") {
  ConfigGenerationManager k;
  Rows r = nodes(4);
  r.revisions[Kind::nodes] = 7;
  CHECK(k.evaluate(r, 1, {}, 0).verdict == ValidationOutcome::taken);
  r.revisions[Kind::nodes] = 6;
  auto f = k.evaluate(r, 2, {}, 10);
  CHECK(f.verdict == ValidationOutcome::refused);
  CHECK(f.faults[0].what == "revision 6 goes back, 7 is in use");
  r.revisions[Kind::nodes] = 0;  // not stated
  CHECK(k.evaluate(r, 3, {}, 20).verdict == ValidationOutcome::taken);
}

TEST_CASE("a set that takes away too much waits for an operator's word") {
  ConfigGenerationManager k;
  k.evaluate(nodes(8), 1, {}, 0);
  CHECK(k.evaluate(nodes(6), 2, {}, 10).verdict == ValidationOutcome::taken);  // a quarter
  auto f = k.evaluate(nodes(3), 3, {}, 20);
  CHECK(f.verdict == ValidationOutcome::held);
  CHECK(f.why == "it drops 3 of 6 nodes, more than 25%");
  CHECK(k.current()->members.size() == 6);
  CHECK_FALSE(k.accept(99, 30));
  SUBCASE("accepted") {
    CHECK(k.accept(3, 30));
    CHECK(k.current()->members.size() == 3);
    CHECK_FALSE(k.accept(3, 40));
  }
  SUBCASE("withdrawn by another set") {
    CHECK(k.evaluate(nodes(5), 4, {}, 30).verdict == ValidationOutcome::taken);
    CHECK_FALSE(k.accept(3, 40));
  }
  SUBCASE("back to what is in use") {
    CHECK(k.evaluate(nodes(6), 2, {}, 30).verdict == ValidationOutcome::same);
    CHECK_FALSE(k.held());
  }
}

TEST_CASE("ranges that lose every holder they had, or the map as a whole, wait as well") {
  ConfigGenerationManager k;
  k.evaluate(with_ranges(nodes(4), {{"n0", "n1"}, {"n1", "n2"}}), 1, {}, 0);
  CHECK(k.evaluate(with_ranges(nodes(4), {{"n1", "n3"}, {"n2"}}), 2, {}, 10).verdict ==
        ValidationOutcome::taken);
  auto f = k.evaluate(with_ranges(nodes(4), {{"n0"}, {"n2"}}), 3, {}, 20);
  CHECK(f.verdict == ValidationOutcome::held);
  CHECK(says(f.why, "has none of the holders it had"));
  CHECK(k.evaluate(nodes(4), 4, {}, 30).verdict == ValidationOutcome::held);
}

TEST_CASE("a node that is dropped drains for its time, then it is gone; one that is named again is back") {
  ConfigGenerationManager k;
  k.evaluate(nodes(8), 1, {}, 0);
  k.evaluate(nodes(7), 2, {}, 1000);
  auto list = k.members(1000);
  REQUIRE(list.size() == 8);
  CHECK(list[7].entry.server == "n7");
  CHECK(list[7].entry.state == winchhall::ServerState::draining);
  CHECK(k.next_removal() == 11000);
  CHECK(k.members(10999).size() == 8);
  CHECK(k.members(11000).size() == 7);
  k.evaluate(nodes(6), 3, {}, 12000);
  CHECK(k.members(12001).size() == 7);
  k.evaluate(nodes(7), 4, {}, 13000);
  list = k.members(13001);
  REQUIRE(list.size() == 7);
  CHECK(list[6].entry.state == winchhall::ServerState::ready);
}

TEST_CASE("a rollback holds until the files change") {
  ConfigGenerationManager k;
  k.evaluate(nodes(8), 1, {}, 0);
  ConfigGenerationPtr old = k.current();
  k.evaluate(nodes(7), 2, {}, 10);
  CHECK(k.rollback(old, 20));
  CHECK(k.current()->members.size() == 8);
  CHECK(k.evaluate(nodes(7), 2, {}, 30).verdict == ValidationOutcome::same);  // the files still say so
  CHECK(k.current()->members.size() == 8);
  CHECK(k.evaluate(nodes(9), 3, {}, 40).verdict == ValidationOutcome::taken);
  CHECK_FALSE(k.rollback(k.current(), 50));
}

TEST_CASE("maps of later generations are later revisions, also after a rollback") {
  ConfigGenerationManager k;
  k.evaluate(with_ranges(nodes(4), {{"n0"}, {"n1"}}), 1, {}, 0);
  auto first = k.map()->revision();
  ConfigGenerationPtr old = k.current();
  k.evaluate(with_ranges(nodes(4), {{"n0", "n2"}, {"n1"}}), 2, {}, 10);
  auto second = k.map()->revision();
  k.rollback(old, 20);
  CHECK(first < second);
  CHECK(second < k.map()->revision());
}

TEST_CASE("a burst is one look; a busy writer can't put it off for ever; silence is looked at now and then") {
  Debouncer s;
  s.on_scan_started(0);
  CHECK(s.next_scan_at() == Debouncer::kPollInterval);
  s.on_event(1000);
  CHECK(s.next_scan_at() == 1000 + Debouncer::kQuietPeriod);
  for (Millis t = 1000; t < 3000; t += 10) s.on_event(t);
  CHECK(s.next_scan_at() == 1000 + Debouncer::kMaxDelay);
  s.on_scan_started(1400);
  CHECK(s.next_scan_at() == 1400 + Debouncer::kPollInterval);
  s.on_event(1401);  // while it was looked at
  CHECK(s.next_scan_at() == 1401 + Debouncer::kQuietPeriod);
  s.on_scan_started(1441);
  s.schedule_retry(1441);
  CHECK(s.next_scan_at() == 1441 + Debouncer::kRetryDelay);
}

TEST_CASE("differences are told by line") {
  std::vector<Fault> none;
  auto a = check(with_ranges(nodes(3), {{"n0"}, {"n1"}}), 1, {}, none);
  Rows r = with_ranges(nodes(3, 1), {{"n1"}, {"n1"}});
  r.nodes[0].address = "127.0.0.1:1";
  r.weights = {{"n2", 2, 1}, {"n1", 1, 2}, {"n3", 1, 3}};
  auto b = check(r, 2, {}, none);
  REQUIRE(a);
  REQUIRE(b);
  auto lines = differences(*a, *b);
  auto has = [&](const std::string& words) {
    return std::find(lines.begin(), lines.end(), words) != lines.end();
  };
  CHECK(has("- node n0 127.0.0.1:9000"));
  CHECK(has("+ node n3 127.0.0.1:9003"));
  CHECK(has("~ node n1 127.0.0.1:9001 -> 127.0.0.1:1"));
  CHECK(has("~ weight of n2 1 -> 2"));
  CHECK(differences(*a, *a).empty());
}

// Any order of sets, sound, spoilt and too small, with accepts and rollbacks: what is in use is always a set
// that was sound as a whole, and every member of it, or one that drains, is what members() tells.
TEST_CASE("random histories: what is in use is always one whole set") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    ConfigGenerationManager k;
    std::map<std::uint64_t, std::size_t> sound;  // digest: nodes
    Millis now = 0;
    std::uint64_t before = 0;
    for (std::uint32_t step : steps) {
      std::mt19937 dice(step);
      now += dice() % 5000;
      std::size_t count = 1 + dice() % 12;
      bool spoilt = dice() % 3 == 0;
      std::uint64_t digest = 2 * count + spoilt;
      Rows rows = nodes(static_cast<int>(count));
      if (spoilt) rows.nodes[dice() % count].address = "127.0.0.1:9000";
      spoilt = spoilt && check(rows, digest, {}, *std::make_unique<std::vector<Fault>>()) == nullptr;
      if (!spoilt) sound[digest] = count;
      ValidationResult f = k.evaluate(rows, digest, {}, now);
      if (dice() % 4 == 0 && k.held()) RC_ASSERT(k.accept(k.held()->digest, now));
      RC_ASSERT(!(spoilt && f.verdict == ValidationOutcome::taken));
      RC_ASSERT(k.number() >= before);
      before = k.number();
      if (!k.current()) continue;
      RC_ASSERT(sound.count(k.current()->digest) == 1);
      RC_ASSERT(k.current()->members.size() == sound[k.current()->digest]);
      std::set<std::string> names;
      for (const auto& m : k.members(now)) {
        RC_ASSERT(names.insert(m.entry.server).second);
        bool named = k.current()->member(m.entry.server) != nullptr;
        RC_ASSERT(named == (m.entry.state == winchhall::ServerState::ready));
      }
    }
  }));
}
