#include "aggregator/dynamic_config/config_generation.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <unordered_map>

namespace winchhall::dynamic_config {
namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxDifferenceLines = 200;

class Checker {
 public:
  Checker(const Rows& rows, const Bounds& bounds, std::vector<Fault>& faults)
      : rows_(rows), bounds_(bounds), faults_(faults) {}

  std::shared_ptr<ConfigGeneration> run() {
    auto g = std::make_shared<ConfigGeneration>();
    nodes(*g);
    weights(*g);
    ranges(*g);
    tenants(*g);
    return faults_.empty() ? g : nullptr;
  }

 private:
  void fault(Kind kind, long line, std::string what) {
    if (faults_.size() < kMaxFaults) faults_.push_back({kind, line, std::move(what)});
  }
  static bool is_valid_name(const std::string& name) {
    return !name.empty() && name.size() <= kMaxNameBytes &&
           std::all_of(name.begin(), name.end(), [](unsigned char c) { return c > 32 && c < 127; });
  }

  void nodes(ConfigGeneration& g) {
    if (rows_.nodes.empty()) fault(Kind::nodes, 0, "no node: an empty list is never used");
    if (rows_.nodes.size() > bounds_.nodes)
      return fault(Kind::nodes, 0, "more than " + std::to_string(bounds_.nodes) + " nodes");
    std::unordered_map<std::string, long> ids, addresses;
    for (const NodeRow& row : rows_.nodes) {
      if (!is_valid_name(row.id))
        fault(Kind::nodes, row.line, "id '" + row.id + "', wanted are 1 to 128 signs, no space");
      if (auto [it, fresh] = ids.emplace(row.id, row.line); !fresh)
        fault(Kind::nodes, row.line,
              "id '" + row.id + "' stands at line " + std::to_string(it->second) + " too");
      if (auto [it, fresh] = addresses.emplace(row.address, row.line); !fresh)
        fault(Kind::nodes, row.line,
              "address " + row.address + " is that of line " + std::to_string(it->second) + " too");
      if (!bounds_.zones.empty() && !bounds_.zones.count(row.zone))
        fault(Kind::nodes, row.line, "zone '" + row.zone + "' is not known, known are " + zones());
      if (row.cell < 0 || (bounds_.cells > 0 && row.cell >= bounds_.cells))
        fault(Kind::nodes, row.line,
              "cell " + std::to_string(row.cell) + " is not known, wanted is 0 to " +
                  std::to_string(std::max<long long>(bounds_.cells - 1, 0)));
      coordination::Member m;
      m.entry.server = row.id;
      m.entry.cell = static_cast<int>(row.cell);
      m.entry.state = row.draining ? winchhall::ServerState::draining : winchhall::ServerState::ready;
      m.endpoint = row.address;
      g.members.push_back(std::move(m));
    }
    std::sort(g.members.begin(), g.members.end(),
              [](const auto& a, const auto& b) { return a.entry.server < b.entry.server; });
  }

  std::string zones() const {
    std::string all;
    for (const std::string& z : bounds_.zones) all += (all.empty() ? "" : ", ") + z;
    return all;
  }

  void weights(ConfigGeneration& g) {
    if (rows_.weights.empty()) return;
    g.weighted = true;
    std::vector<double> valid_weights;
    for (const WeightRow& row : rows_.weights)
      if (std::isfinite(row.weight) && row.weight > 0) valid_weights.push_back(row.weight);
    double median = 0;
    if (!valid_weights.empty()) {
      auto middle = valid_weights.begin() + static_cast<long>(valid_weights.size() / 2);
      std::nth_element(valid_weights.begin(), middle, valid_weights.end());
      median = *middle;
    }
    std::unordered_map<std::string, long> lines_by_node;
    std::unordered_map<std::string, coordination::Member*> by_id;
    for (coordination::Member& m : g.members) by_id[m.entry.server] = &m;
    for (const WeightRow& row : rows_.weights) {
      char value[32];
      std::snprintf(value, sizeof value, "%g", row.weight);
      if (!std::isfinite(row.weight) || row.weight <= 0)
        fault(Kind::weights, row.line, std::string("weight ") + value + ", wanted is a number above 0");
      else if (row.weight > bounds_.max_weight_ratio * median ||
               row.weight * bounds_.max_weight_ratio < median)
        fault(Kind::weights, row.line,
              std::string("weight ") + value + " is more than " +
                  std::to_string(static_cast<int>(bounds_.max_weight_ratio)) + " times off the median");
      if (auto [it, fresh] = lines_by_node.emplace(row.node, row.line); !fresh)
        fault(Kind::weights, row.line,
              "node '" + row.node + "' has a weight at line " + std::to_string(it->second) + " too");
      auto it = by_id.find(row.node);
      if (it == by_id.end())
        fault(Kind::weights, row.line, "node '" + row.node + "' is not in nodes.xml");
      else
        it->second->entry.size = row.weight;
    }
  }

  void ranges(ConfigGeneration& g) {
    if (rows_.ranges.empty()) return;
    if (rows_.ranges.size() > bounds_.ranges)
      return fault(Kind::ranges, 0, "more than " + std::to_string(bounds_.ranges) + " ranges");
    std::unordered_map<std::string, bool> known;
    for (const NodeRow& row : rows_.nodes) known[row.id] = true;
    std::vector<winchhall::ranges::Range> list;
    std::map<winchhall::ranges::RangeId, long> lines;
    std::vector<Holder> before;
    winchhall::ranges::HoldersPtr shared;
    for (const RangeRow& row : rows_.ranges) {
      bool any = false;
      for (const Holder& h : row.holders) {
        if (!known.count(h.server))
          fault(Kind::ranges, row.line,
                "holder '" + h.server + "' of range " + std::to_string(row.id) + " is not in nodes.xml");
        any = any || h.role == winchhall::ranges::Role::serving;
      }
      if (!any) fault(Kind::ranges, row.line, "range " + std::to_string(row.id) + " has no serving holder");
      if (!shared || *shared != row.holders)
        shared = std::make_shared<const winchhall::ranges::Holders>(row.holders);
      list.push_back({row.id, row.span, row.weight, shared});
      lines.emplace(row.id, row.line);
    }
    if (!faults_.empty()) return;
    std::uint64_t number = rows_.revisions.count(Kind::ranges) ? rows_.revisions.at(Kind::ranges) : 0;
    std::string why;
    g.map = winchhall::ranges::RangeMap::build({1, number}, std::move(list), why);
    if (g.map) return;
    // The reason names the range by its id, from which its line number is found.
    long line = 0;
    if (why.rfind("range ", 0) == 0)
      if (auto it = lines.find(std::strtoull(why.c_str() + 6, nullptr, 10)); it != lines.end())
        line = it->second;
    fault(Kind::ranges, line, why);
  }

  void tenants(ConfigGeneration& g) {
    if (rows_.tenants.size() > bounds_.tenants)
      return fault(Kind::tenants, 0, "more than " + std::to_string(bounds_.tenants) + " tenants");
    std::unordered_map<std::string, long> names;
    for (const TenantRow& row : rows_.tenants) {
      if (!is_valid_name(row.name))
        fault(Kind::tenants, row.line, "name '" + row.name + "', wanted are 1 to 128 signs, no space");
      if (auto [it, fresh] = names.emplace(row.name, row.line); !fresh)
        fault(Kind::tenants, row.line,
              "tenant '" + row.name + "' stands at line " + std::to_string(it->second) + " too");
      if (!std::isfinite(row.quota_per_s) || row.quota_per_s < 0)
        fault(Kind::tenants, row.line, "a quota that is not 0 or above");
      g.tenants.push_back({row.name, row.quota_per_s});
    }
  }

  using Holder = winchhall::ranges::Holder;
  const Rows& rows_;
  const Bounds& bounds_;
  std::vector<Fault>& faults_;
};

std::string number_text(double x) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", x);
  return text;
}

const char* name_of(winchhall::ServerState state) {
  return state == winchhall::ServerState::ready ? "ready" : "draining";
}

}  // namespace

const coordination::Member* ConfigGeneration::member(const std::string& id) const {
  auto it = std::lower_bound(
      members.begin(), members.end(), id,
      [](const coordination::Member& m, const std::string& name) { return m.entry.server < name; });
  return it != members.end() && it->entry.server == id ? &*it : nullptr;
}

ConfigGenerationPtr check(const Rows& rows, std::uint64_t digest, const Bounds& bounds,
                          std::vector<Fault>& faults) {
  auto generation = Checker(rows, bounds, faults).run();
  if (!generation) return nullptr;
  generation->digest = digest;
  generation->revisions = rows.revisions;
  return generation;
}

std::string digest_text(std::uint64_t digest) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(digest));
  return text;
}

std::vector<std::string> differences(const ConfigGeneration& a, const ConfigGeneration& b) {
  std::vector<std::string> lines;
  auto add_line = [&](std::string line) {
    if (lines.size() < kMaxDifferenceLines) lines.push_back(std::move(line));
  };
  for (const coordination::Member& m : a.members)
    if (!b.member(m.entry.server)) add_line("- node " + m.entry.server + " " + m.endpoint);
  for (const coordination::Member& m : b.members) {
    const coordination::Member* old = a.member(m.entry.server);
    if (!old) {
      add_line("+ node " + m.entry.server + " " + m.endpoint);
      continue;
    }
    if (old->endpoint != m.endpoint)
      add_line("~ node " + m.entry.server + " " + old->endpoint + " -> " + m.endpoint);
    if (old->entry.state != m.entry.state)
      add_line("~ node " + m.entry.server + " " + name_of(old->entry.state) + " -> " +
               name_of(m.entry.state));
    if (old->entry.cell != m.entry.cell)
      add_line("~ node " + m.entry.server + " cell " + std::to_string(old->entry.cell) + " -> " +
               std::to_string(m.entry.cell));
    if (old->entry.size != m.entry.size)
      add_line("~ weight of " + m.entry.server + " " + number_text(old->entry.size) + " -> " +
               number_text(m.entry.size));
  }
  if (a.map.has_value() != b.map.has_value()) add_line(b.map ? "+ ranges" : "- ranges");
  if (a.map && b.map) {
    std::map<std::pair<ranges::Key, ranges::RangeId>, std::pair<const ranges::Range*, const ranges::Range*>>
        rows;
    auto first = a.map->all(), second = b.map->all();
    for (const auto& r : first) rows[{r.span.from, r.id}].first = &r;
    for (const auto& r : second) rows[{r.span.from, r.id}].second = &r;
    for (const auto& [key, row] : rows) {
      const ranges::Range* any = row.first ? row.first : row.second;
      std::string name = "range " + std::to_string(any->id) + " " + ranges::text_of(any->span);
      if (!row.first) add_line("+ " + name);
      if (!row.second) add_line("- " + name);
      if (row.first && row.second &&
          (row.first->span != row.second->span || row.first->weight != row.second->weight ||
           *row.first->holders != *row.second->holders))
        add_line("~ " + name);
    }
  }
  if (a.tenants != b.tenants) add_line("~ tenants");
  return lines;
}

}  // namespace winchhall::dynamic_config
