#include "aggregator/ranges/change.hpp"

#include <algorithm>
#include <cmath>

namespace winchhall::ranges {
namespace {

using Entry = RangeMap::Entry;

struct Applier {
  const RangeMap& map;
  std::string& fault;

  std::optional<RangeMap> reject(std::string why) const {
    fault = std::move(why);
    return std::nullopt;
  }
  std::optional<RangeView> resolve(const Target& t) const {
    if (t.from < kKeyEnd && !map.empty())
      if (RangeView p = map.find(t.from); p.id == t.range && p.span.from == t.from) return p;
    fault = "no range " + std::to_string(t.range) + " begins at " + std::to_string(t.from);
    return std::nullopt;
  }
  bool is_valid_weight(double w) const {
    if (std::isfinite(w) && w > 0) return true;
    fault = "a weight that is not above 0";
    return false;
  }
  bool is_unused(RangeId id) const {
    if (id >= map.next_id()) return true;
    fault = "id " + std::to_string(id) + " was used before";
    return false;
  }
  RangeMap at_next_revision(const RangeMap& made, RangeId used = 0) const {
    Revision r = map.revision();
    return made.with_revision({r.incarnation, r.number + 1}, std::max(map.next_id(), used + 1));
  }
  std::optional<RangeMap> with_holders(const RangeView& p, Holders holders) const {
    if (std::string why = holders_fault(holders); !why.empty())
      return reject("range " + std::to_string(p.id) + " would be left with " + why);
    Entry e{p.id, p.weight, std::make_shared<const Holders>(std::move(holders))};
    return at_next_revision(map.with_range(p.span.from, e), map.next_id() - 1);
  }

  std::optional<RangeMap> operator()(const Split& c) const {
    auto p = resolve(c.target);
    if (!p || !is_valid_weight(c.left_weight) || !is_valid_weight(c.right_weight)) return std::nullopt;
    if (c.at <= p->span.from || c.at >= p->span.to)
      return reject("a split at " + std::to_string(c.at) + ", not inside " + text_of(p->span));
    if (c.left == c.right) return reject("both halves have id " + std::to_string(c.left));
    if (!is_unused(c.left) || !is_unused(c.right)) return std::nullopt;
    HoldersPtr holders = *p->holders;
    RangeMap made = map.with_range(c.target.from, {c.left, c.left_weight, holders})
                        .with_range(c.at, {c.right, c.right_weight, holders});
    return at_next_revision(made, std::max(c.left, c.right));
  }

  std::optional<RangeMap> operator()(const Merge& c) const {
    auto l = resolve(c.left), r = l ? resolve(c.right) : std::nullopt;
    if (!l || !r || !is_unused(c.merged)) return std::nullopt;
    if (l->span.to != r->span.from)
      return reject("ranges " + std::to_string(l->id) + " and " + std::to_string(r->id) +
                    " are no neighbours");
    Holders both;
    for (const Holder& a : **l->holders)
      for (const Holder& b : **r->holders) {
        if (a.server != b.server) continue;
        // A server that still copies one of the ranges doesn't have the whole merged range, and one that
        // leaves one of them won't keep it.
        Role role = a.role == b.role                                     ? a.role
                    : a.role == Role::copying || b.role == Role::copying ? Role::copying
                                                                         : Role::leaving;
        both.push_back({a.server, role});
      }
    for (const Holder& h : c.holders)
      if (h.role == Role::serving && !serves(both, h.server))
        return reject("holder " + h.server + " does not serve both halves");
    Holders kept = c.holders.empty() ? both : c.holders;
    if (std::string why = holders_fault(kept); !why.empty())
      return reject("the merged range would be left with " + why);
    auto holders = kept == **l->holders ? *l->holders : std::make_shared<const Holders>(std::move(kept));
    RangeMap made =
        map.without_range(c.right.from).with_range(c.left.from, {c.merged, l->weight + r->weight, holders});
    return at_next_revision(made, c.merged);
  }

  std::optional<RangeMap> operator()(const AddHolder& c) const {
    auto p = resolve(c.target);
    if (!p) return std::nullopt;
    Holders list = **p->holders;
    list.push_back({c.server, Role::copying});
    return with_holders(*p, std::move(list));
  }
  std::optional<RangeMap> operator()(const Promote& c) const {
    return change_role(c.target, c.server, Role::serving);
  }
  std::optional<RangeMap> operator()(const Retire& c) const {
    return change_role(c.target, c.server, Role::leaving);
  }
  std::optional<RangeMap> change_role(const Target& target, const std::string& server, Role new_role) const {
    auto p = resolve(target);
    if (!p) return std::nullopt;
    Holders list = **p->holders;
    for (Holder& h : list) {
      if (h.server != server) continue;
      if (h.role == new_role) return reject("holder " + server + " is " + name_of(new_role) + " already");
      if (new_role == Role::leaving && h.role == Role::copying)
        return reject("holder " + server + " is copying and can only be removed");
      h.role = new_role;
      return with_holders(*p, std::move(list));
    }
    return reject("range " + std::to_string(p->id) + " has no holder " + server);
  }
  std::optional<RangeMap> operator()(const Remove& c) const {
    auto p = resolve(c.target);
    if (!p) return std::nullopt;
    Holders list = **p->holders;
    if (std::erase_if(list, [&](const Holder& h) { return h.server == c.server; }) == 0)
      return reject("range " + std::to_string(p->id) + " has no holder " + c.server);
    return with_holders(*p, std::move(list));
  }
  std::optional<RangeMap> operator()(const SetWeight& c) const {
    auto p = resolve(c.target);
    if (!p || !is_valid_weight(c.weight)) return std::nullopt;
    return at_next_revision(map.with_range(p->span.from, {p->id, c.weight, *p->holders}), map.next_id() - 1);
  }
};

}  // namespace

const char* name_of(const Change& change) {
  constexpr const char* kNames[] = {"split", "merge", "add", "promote", "retire", "remove", "weigh"};
  return kNames[change.index()];
}

std::optional<RangeMap> apply(const RangeMap& map, const Change& change, std::string& fault) {
  return std::visit(Applier{map, fault}, change);
}

}  // namespace winchhall::ranges
