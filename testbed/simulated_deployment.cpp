#include "testbed/simulated_deployment.hpp"

#include <algorithm>
#include <stdexcept>

namespace winchhall::testbed {

using namespace ranges;

namespace {
constexpr std::size_t kMaxHistory = 20000;  // revisions; they share most of their memory
// The directory sends a full map to a watch that is further behind.
constexpr std::size_t kMaxKeptChanges = 400;
constexpr std::size_t kHolders = 3;

std::size_t node_number(const std::string& name) { return std::stoul(name.substr(5)); }
}  // namespace

SimulatedDeployment::SimulatedDeployment(std::uint64_t seed, const SimulatedDeploymentOptions& options,
                                         Millis now)
    : options_(options), random_(seed, 3), data_by_node_(options.nodes) {
  std::vector<Range> list;
  for (std::size_t i = 0; i < options.ranges; ++i) {
    Key width = kKeyEnd / options.ranges;
    Range r;
    r.id = i;
    r.span = {i * width, i + 1 == options.ranges ? kKeyEnd : (i + 1) * width};
    r.weight = 1;
    Holders holders;
    // Neighbouring ranges share holders, as ranges that were split from one another do.
    for (std::size_t j = 0; j < kHolders; ++j) {
      std::size_t node = (i * options.nodes / options.ranges + j) % options.nodes;
      holders.push_back({node_name(node), Role::serving});
      data_by_node_[node].add(r.span);
    }
    r.holders = std::make_shared<const Holders>(std::move(holders));
    list.push_back(std::move(r));
  }
  std::string why;
  auto map = RangeMap::build({1, 1}, std::move(list), why);
  if (!map) throw std::runtime_error("simulated deployment: invalid initial range map: " + why);
  map_ = *map;
  history_.emplace_back(now, map_);
}

bool SimulatedDeployment::apply(const Change& change, Millis now) {
  std::string why;
  auto next = ranges::apply(map_, change, why);
  if (!next) {
    ++counts_.refused;
    return false;
  }
  map_ = std::move(*next);
  changes_.push_back(change);
  history_.emplace_back(now, map_);
  if (history_.size() > kMaxHistory) history_.pop_front();
  return true;
}

RangeView SimulatedDeployment::random_range() { return map_.find(random_.below(kKeyEnd)); }

void SimulatedDeployment::split(Millis now) {
  RangeView p = random_range();
  if (map_.size() >= options_.max_ranges || p.span.size() < 1000) return;
  Key at = p.span.from + 1 + random_.below(p.span.size() - 1);
  double left = static_cast<double>(at - p.span.from) / static_cast<double>(p.span.size());
  RangeId next = map_.next_id();
  counts_.splits +=
      apply(Split{{p.id, p.span.from}, at, next, next + 1, p.weight * left, p.weight * (1 - left)}, now);
}

void SimulatedDeployment::merge(Millis now) {
  RangeView p = random_range();
  if (map_.size() <= options_.min_ranges || p.span.to == kKeyEnd) return;
  RangeView q = map_.find(p.span.to);
  std::size_t shared = 0;
  for (const Holder& h : **p.holders) shared += h.role == Role::serving && serves(**q.holders, h.server);
  if (shared == 0) return;
  Span whole{p.span.from, q.span.to};
  std::vector<std::pair<Span, HoldersPtr>> before{{p.span, *p.holders}, {q.span, *q.holders}};
  if (!apply(Merge{{p.id, p.span.from}, {q.id, q.span.from}, map_.next_id(), {}}, now)) return;
  ++counts_.merges;
  // A holder of only one half keeps its data for the hand-over time.
  HoldersPtr after = *map_.find(whole.from).holders;
  for (const auto& [span, holders] : before)
    for (const Holder& h : *holders)
      if (std::none_of(after->begin(), after->end(), [&](const Holder& x) { return x.server == h.server; }))
        steps_.push_back({now + options_.handover_time, Step::Kind::drop, node_number(h.server), span, {}});
}

void SimulatedDeployment::move(Millis now) {
  RangeView p = random_range();
  std::size_t node = random_.below(options_.nodes);
  auto is = [&](const Holder& h) { return h.server == node_name(node); };
  const Holders holders = **p.holders;
  if (std::any_of(holders.begin(), holders.end(), is) || holders.size() > kHolders) return;
  if (!apply(AddHolder{{p.id, p.span.from}, node_name(node)}, now)) return;
  ++counts_.moves;
  auto serving_now = serving_servers(holders);
  std::string retiring =
      serving_now.size() >= kHolders ? serving_now[random_.below(serving_now.size())] : std::string();
  steps_.push_back({now + options_.copy_time, Step::Kind::promote, node, p.span, retiring});
}

void SimulatedDeployment::reshuffle(Millis now) {
  for (std::size_t i = 0; i < options_.splits; ++i) split(now);
  for (std::size_t i = 0; i < options_.merges; ++i) merge(now);
  for (std::size_t i = 0; i < options_.moves; ++i) move(now);
  for (std::size_t i = 0; i < options_.weight_changes; ++i) {
    RangeView p = random_range();
    counts_.weight_changes += apply(SetWeight{{p.id, p.span.from}, p.weight * random_.between(0.5, 2)}, now);
  }
  // Merges may leave ranges with a single holder; these get another one.
  std::vector<Range> underreplicated;
  for (const Range& r : map_.all())
    if (r.holders->size() < 2) underreplicated.push_back(r);
  for (const Range& r : underreplicated) {
    std::size_t node = random_.below(options_.nodes);
    if (r.holders->front().server == node_name(node)) continue;
    if (apply(AddHolder{{r.id, r.span.from}, node_name(node)}, now))
      steps_.push_back({now + options_.copy_time / 2, Step::Kind::promote, node, r.span, {}});
  }
}

void SimulatedDeployment::run_due_steps(Millis now) {
  std::vector<Step> ready;
  std::erase_if(steps_, [&](const Step& s) {
    if (s.at > now) return false;
    ready.push_back(s);
    return true;
  });
  for (const Step& s : ready) carry_out(s, now);
}

void SimulatedDeployment::carry_out(const Step& s, Millis now) {
  if (s.kind == Step::Kind::drop) return drop_data(s.node, s.span);
  // The range may have been split or merged meanwhile. The step applies to the ranges inside its old span.
  std::vector<Range> list;
  std::string name = node_name(s.node);
  map_.visit(s.span, [&](const RangeView& p) {
    if (s.span.contains(p.span)) list.push_back({p.id, p.span, p.weight, *p.holders});
    return true;
  });
  for (const Range& r : list) {
    Target target{r.id, r.span.from};
    auto it =
        std::find_if(r.holders->begin(), r.holders->end(), [&](const Holder& h) { return h.server == name; });
    if (it == r.holders->end()) continue;
    if (s.kind == Step::Kind::remove) {
      if (it->role == Role::leaving && apply(Remove{target, name}, now))
        steps_.push_back({now + options_.handover_time, Step::Kind::drop, s.node, r.span, {}});
      continue;
    }
    if (it->role != Role::copying) continue;
    data_by_node_[s.node].add(r.span);
    if (!apply(Promote{target, name}, now)) continue;
    if (!s.retire.empty() && apply(Retire{target, s.retire}, now))
      steps_.push_back({now + options_.leave_time, Step::Kind::remove, node_number(s.retire), r.span, {}});
  }
}

void SimulatedDeployment::drop_data(std::size_t node, const Span& span) {
  map_.visit(span, [&](const RangeView& p) {
    Span s{std::max(p.span.from, span.from), std::min(p.span.to, span.to)};
    bool keeps = std::any_of((**p.holders).begin(), (**p.holders).end(), [&](const Holder& h) {
      return h.server == node_name(node) && h.role != Role::copying;
    });
    if (!keeps) data_by_node_[node].remove(s);
    return true;
  });
}

std::optional<std::vector<Change>> SimulatedDeployment::changes_after(std::uint64_t number) const {
  std::uint64_t last = map_.revision().number;
  if (number > last || number < first_number_ || last - number > kMaxKeptChanges) return std::nullopt;
  return std::vector<Change>(changes_.end() - static_cast<long>(last - number), changes_.end());
}

const RangeMap& SimulatedDeployment::map_at(Millis when) const {
  auto it = std::upper_bound(history_.begin(), history_.end(), when,
                             [](Millis t, const auto& entry) { return t < entry.first; });
  return it == history_.begin() ? it->second : std::prev(it)->second;
}

void SimulatedDeployment::new_incarnation(Millis now) {
  Revision r = map_.revision();
  map_ = map_.with_revision({r.incarnation + 1, 1}, map_.next_id());
  first_number_ = 1;
  changes_.clear();
  history_.emplace_back(now, map_);
}

}  // namespace winchhall::testbed
