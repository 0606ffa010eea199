// Compares RangeMap with the standard containers that could hold the same ranges: std::map and a sorted
// vector. A query pins the revision that it was planned under. A standard container must therefore be copied
// for each change (split_pinned), or is changed in place and then can't be pinned (split_in_place).
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <map>
#include <random>

#include "aggregator/ranges/change.hpp"
#include "aggregator/ranges/planner.hpp"

namespace {

using namespace winchhall::ranges;

struct RangeData {  // the value that the standard containers hold for each range
  RangeId id;
  double weight;
  HoldersPtr holders;
};
using Tree = std::map<Key, RangeData>;
using Sorted = std::vector<std::pair<Key, RangeData>>;

std::vector<Range> ranges(std::size_t count) {
  std::vector<HoldersPtr> holders;
  for (int i = 0; i < 20; ++i)
    holders.push_back(
        std::make_shared<const Holders>(Holders{{"node-" + std::to_string(i), Role::serving},
                                                {"node-" + std::to_string((i + 1) % 20), Role::serving},
                                                {"node-" + std::to_string((i + 2) % 20), Role::serving}}));
  std::vector<Range> list;
  list.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    Key from = kKeyEnd / count * i, to = i + 1 == count ? kKeyEnd : kKeyEnd / count * (i + 1);
    list.push_back({i, {from, to}, 1.0 + static_cast<double>(i % 7), holders[i % holders.size()]});
  }
  return list;
}

RangeMap build(std::size_t count) {
  std::string why;
  return *RangeMap::build({1, 1}, ranges(count), why);
}

Tree tree(std::size_t count) {
  Tree t;
  for (Range& r : ranges(count)) t.emplace(r.span.from, RangeData{r.id, r.weight, r.holders});
  return t;
}

Sorted sorted(std::size_t count) {
  Sorted s;
  for (Range& r : ranges(count)) s.push_back({r.span.from, RangeData{r.id, r.weight, r.holders}});
  return s;
}

std::vector<Key> keys() {
  std::mt19937_64 random(20261201);
  std::vector<Key> list(1 << 16);
  for (Key& k : list) k = random() % kKeyEnd;
  return list;
}

std::size_t size_of(const benchmark::State& state) { return static_cast<std::size_t>(state.range(0)); }

void lookup_range_map(benchmark::State& state) {
  RangeMap map = build(size_of(state));
  auto list = keys();
  std::size_t i = 0;
  for (auto _ : state) benchmark::DoNotOptimize(map.find(list[i++ & 0xffff]).id);
}

void lookup_std_map(benchmark::State& state) {
  Tree map = tree(size_of(state));
  auto list = keys();
  std::size_t i = 0;
  for (auto _ : state) benchmark::DoNotOptimize(std::prev(map.upper_bound(list[i++ & 0xffff]))->second.id);
}

void lookup_sorted_vector(benchmark::State& state) {
  Sorted map = sorted(size_of(state));
  auto list = keys();
  std::size_t i = 0;
  for (auto _ : state) {
    auto it = std::upper_bound(map.begin(), map.end(), list[i++ & 0xffff],
                               [](Key k, const auto& row) { return k < row.first; });
    benchmark::DoNotOptimize(std::prev(it)->second.id);
  }
}

// Every split is applied to the original map, which stays intact, as it does for a query that pins it.
void split_range_map(benchmark::State& state) {
  RangeMap map = build(size_of(state));
  auto list = keys();
  std::size_t i = 0;
  std::string why;
  for (auto _ : state) {
    RangeView p = map.find(list[i++ & 0xffff]);
    auto next = apply(
        map,
        Split{{p.id, p.span.from}, p.span.from + p.span.size() / 2, map.next_id(), map.next_id() + 1, 1, 1},
        why);
    benchmark::DoNotOptimize(next->size());
  }
}

template <class Map>
void split_in(Map& map, Key key);
template <>
void split_in(Tree& map, Key key) {
  auto it = std::prev(map.upper_bound(key));
  Key end = std::next(it) == map.end() ? kKeyEnd : std::next(it)->first;
  map.emplace(it->first + (end - it->first) / 2, it->second);
}
template <>
void split_in(Sorted& map, Key key) {
  auto it = std::prev(
      std::upper_bound(map.begin(), map.end(), key, [](Key k, const auto& row) { return k < row.first; }));
  Key end = std::next(it) == map.end() ? kKeyEnd : std::next(it)->first;
  auto row = *it;
  row.first += (end - it->first) / 2;
  map.insert(std::next(it), row);
}

template <class Map, Map (*make)(std::size_t)>
void split_pinned(benchmark::State& state) {
  Map map = make(size_of(state));
  auto list = keys();
  std::size_t i = 0;
  for (auto _ : state) {
    Map next = map;
    split_in(next, list[i++ & 0xffff]);
    benchmark::DoNotOptimize(next.size());
  }
}

template <class Map, Map (*make)(std::size_t)>
void split_in_place(benchmark::State& state) {
  Map map = make(size_of(state));
  auto list = keys();
  std::size_t i = 0;
  for (auto _ : state) split_in(map, list[i++ & 0xffff]);
  benchmark::DoNotOptimize(map.size());
}

template <class Map, Map (*make)(std::size_t)>
void memory(benchmark::State& state) {
  for (auto _ : state) {
    malloc_trim(0);
    std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    Map map = make(size_of(state));
    std::size_t held = mallinfo2().uordblks + mallinfo2().hblkhd - before;
    state.counters["bytes_per_range"] = static_cast<double>(held) / static_cast<double>(state.range(0));
    benchmark::DoNotOptimize(map.size());
  }
}

void plan_twelve_parts(benchmark::State& state) {
  RangeMap map = build(size_of(state));
  auto list = keys();
  Key width = kKeyEnd / size_of(state);
  std::size_t i = 0;
  std::string why;
  for (auto _ : state) {
    Key from = list[i++ & 0xffff] / width * width;
    if (from + 12 * width > kKeyEnd) from = 0;
    auto plan = winchhall::ranges::plan(map, {{from, from + 12 * width}}, 100.0, 4096, why);
    if (!plan || plan->parts.size() < 12) state.SkipWithError("a plan of fewer parts");
    benchmark::DoNotOptimize(plan->parts.size());
  }
}

#define AT_EACH_SIZE(f) BENCHMARK(f)->Arg(1000)->Arg(100'000)->Arg(1'000'000)
AT_EACH_SIZE(lookup_range_map);
AT_EACH_SIZE(lookup_std_map);
AT_EACH_SIZE(lookup_sorted_vector);
AT_EACH_SIZE(split_range_map);
BENCHMARK(split_pinned<Tree, tree>)->Arg(1000)->Arg(100'000);
BENCHMARK(split_pinned<Sorted, sorted>)->Arg(1000)->Arg(100'000)->Arg(1'000'000)->Iterations(20);
AT_EACH_SIZE((split_in_place<Tree, tree>));
BENCHMARK(split_in_place<Sorted, sorted>)->Arg(1000)->Arg(100'000)->Arg(1'000'000)->Iterations(200);
BENCHMARK(memory<RangeMap, build>)->Arg(1000)->Arg(100'000)->Arg(1'000'000)->Iterations(1);
BENCHMARK(memory<Tree, tree>)->Arg(1000)->Arg(100'000)->Arg(1'000'000)->Iterations(1);
BENCHMARK(memory<Sorted, sorted>)->Arg(1000)->Arg(100'000)->Arg(1'000'000)->Iterations(1);
AT_EACH_SIZE(plan_twelve_parts);

}  // namespace

BENCHMARK_MAIN();
