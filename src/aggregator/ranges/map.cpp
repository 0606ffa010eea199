#include "aggregator/ranges/map.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <unordered_set>

namespace winchhall::ranges {
namespace {
constexpr std::size_t kWide = 32;    // keys in a node: four cache lines to search, and cheap to copy
constexpr std::size_t kFilled = 24;  // of them used when a map is built: room for splits to come
constexpr std::size_t kSparse = 8;   // below it a node is joined with a neighbour that has room
}  // namespace

struct RangeMap::Node {
  std::uint16_t count = 0;
  bool leaf = true;
  std::array<Key, kWide> from{};  // of each range, or the lowest of each child
  explicit Node(bool is_leaf) : leaf(is_leaf) {}
  Node(const Node&) = default;

  // The last place whose key is not above `key`; the first where all are. Without branches on the keys: their
  // outcome can't be foretold, and a wrong guess costs more than the whole search.
  std::size_t search(Key key) const {
    const Key* base = from.data();
    std::size_t length = count;
    while (length > 1) {
      std::size_t half = length / 2;
      base = base[half] <= key ? base + half : base;
      length -= half;
    }
    return static_cast<std::size_t>(base - from.data());
  }
};

namespace {

using Node = RangeMap::Node;
using Ptr = RangeMap::Ptr;
using Entry = RangeMap::Entry;

struct Leaf : Node {
  std::array<Entry, kWide> entry{};
  Leaf() : Node(true) {}
};

struct Inner : Node {
  std::array<Ptr, kWide> child{};
  Inner() : Node(false) {}
};

const Leaf& leaf(const Node& n) { return static_cast<const Leaf&>(n); }
const Inner& inner(const Node& n) { return static_cast<const Inner&>(n); }

// What a changed node became: itself, none, or two.
struct Grown {
  Ptr first{}, second{};
};

// Puts a slot into a node of type T, or replaces it; splits where it is full.
template <class T, class Slot, class Slots>
Grown put(const T& old, std::size_t at, bool replace, Key key, Slot slot, Slots slots) {
  auto made = std::make_shared<T>(old);
  auto& list = slots(*made);
  if (replace) {
    made->from[at] = key;
    list[at] = std::move(slot);
    return {made, nullptr};
  }
  std::shared_ptr<T> right;
  T* into = made.get();
  if (old.count == kWide) {
    right = std::make_shared<T>();
    constexpr std::size_t half = kWide / 2;
    for (std::size_t i = half; i < kWide; ++i) {
      right->from[i - half] = made->from[i];
      slots(*right)[i - half] = std::move(list[i]);
      list[i] = {};
    }
    made->count = half;
    right->count = kWide - half;
    if (at > half) {
      into = right.get();
      at -= half;
    }
  }
  auto& room = slots(*into);
  for (std::size_t i = into->count; i > at; --i) {
    into->from[i] = into->from[i - 1];
    room[i] = std::move(room[i - 1]);
  }
  into->from[at] = key;
  room[at] = std::move(slot);
  ++into->count;
  return {made, right};
}

template <class T, class Slots>
std::shared_ptr<T> cut(const T& old, std::size_t at, Slots slots) {
  auto made = std::make_shared<T>(old);
  auto& list = slots(*made);
  for (std::size_t i = at; i + 1 < made->count; ++i) {
    made->from[i] = made->from[i + 1];
    list[i] = std::move(list[i + 1]);
  }
  --made->count;
  list[made->count] = {};
  return made;
}

template <class T, class Slots>
Ptr joined(const T& left, const T& right, Slots slots) {
  auto made = std::make_shared<T>(left);
  for (std::size_t i = 0; i < right.count; ++i) {
    made->from[made->count] = right.from[i];
    slots(*made)[made->count] = slots(right)[i];
    ++made->count;
  }
  return made;
}

constexpr auto entries = [](auto& n) -> auto& { return n.entry; };
constexpr auto children = [](auto& n) -> auto& { return n.child; };

Grown insert(const Ptr& node, Key key, const Entry& entry) {
  std::size_t at = node->search(key);
  if (node->leaf) {
    bool same = node->count > 0 && node->from[at] == key;
    bool after = node->count > 0 && node->from[at] < key;
    return put(leaf(*node), same ? at : at + after, same, key, entry, entries);
  }
  const Inner& n = inner(*node);
  Grown below = insert(n.child[at], key, entry);
  Grown here = put(n, at, true, below.first->from[0], below.first, children);
  if (!below.second) return here;
  return put(inner(*here.first), at + 1, false, below.second->from[0], below.second, children);
}

// Nothing where the node became empty.
Ptr erase(const Ptr& node, Key key) {
  std::size_t at = node->search(key);
  if (node->leaf) {
    if (node->count == 0 || node->from[at] != key) return node;
    if (node->count == 1) return nullptr;
    return cut(leaf(*node), at, entries);
  }
  const Inner& n = inner(*node);
  Ptr below = erase(n.child[at], key);
  if (!below) return n.count == 1 ? nullptr : Ptr(cut(n, at, children));
  auto made = std::make_shared<Inner>(n);
  made->from[at] = below->from[0];
  made->child[at] = below;
  // A neighbour with room takes a node that has become sparse, or a map that only merges would keep its size.
  if (below->count >= kSparse || n.count == 1) return made;
  std::size_t left = at > 0 ? at - 1 : 0;
  const Ptr &a = made->child[left], &b = made->child[left + 1];
  if (a->count + b->count > kWide) return made;
  Ptr both = a->leaf ? joined(leaf(*a), leaf(*b), entries) : joined(inner(*a), inner(*b), children);
  made->child[left] = both;
  return cut(*made, left + 1, children);
}

std::size_t bytes_of(const Node& node) {
  if (node.leaf) return sizeof(Leaf);
  std::size_t sum = sizeof(Inner);
  for (std::size_t i = 0; i < node.count; ++i) sum += bytes_of(*inner(node).child[i]);
  return sum;
}

// False where the visitor wants no more.
bool walk(const Node& node, const Span& span, Key end, const std::function<bool(const RangeView&)>& visit) {
  for (std::size_t i = node.search(span.from); i < node.count && node.from[i] < span.to; ++i) {
    Key to = i + 1 < node.count ? node.from[i + 1] : end;
    if (node.leaf) {
      const Entry& e = leaf(node).entry[i];
      if (!visit({e.id, {node.from[i], to}, e.weight, &e.holders})) return false;
    } else if (!walk(*inner(node).child[i], span, to, visit)) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string holders_fault(const Holders& holders) {
  if (holders.size() > kMaxHolders) return "more than " + std::to_string(kMaxHolders) + " holders";
  bool any = false;
  for (std::size_t i = 0; i < holders.size(); ++i) {
    const Holder& h = holders[i];
    if (h.server.empty() || h.server.size() > kMaxNameBytes) return "a holder without a fit name";
    for (std::size_t j = 0; j < i; ++j)
      if (holders[j].server == h.server) return "holder " + h.server + " twice";
    any = any || h.role == Role::serving;
  }
  return any ? "" : "no serving holder";
}

std::optional<RangeMap> RangeMap::build(Revision revision, std::vector<Range> ranges, std::string& fault) {
  auto wrong = [&](const Range& r, const std::string& what) -> std::optional<RangeMap> {
    fault = "range " + std::to_string(r.id) + " " + text_of(r.span) + ": " + what;
    return std::nullopt;
  };
  if (ranges.empty()) {
    fault = "no range";
    return std::nullopt;
  }
  std::sort(ranges.begin(), ranges.end(),
            [](const Range& a, const Range& b) { return a.span.from < b.span.from; });
  std::unordered_set<RangeId> ids;
  std::map<Holders, HoldersPtr, bool (*)(const Holders&, const Holders&)> same(
      [](const Holders& a, const Holders& b) {
        return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
                                            [](const Holder& x, const Holder& y) {
                                              return std::tie(x.server, x.role) < std::tie(y.server, y.role);
                                            });
      });
  Key reached = 0;
  RangeMap map;
  std::vector<Ptr> level;
  std::shared_ptr<Leaf> filling;
  for (Range& r : ranges) {
    if (r.span.empty() || r.span.to > kKeyEnd) return wrong(r, "not within [0, 2^53)");
    if (r.span.from > reached) return wrong(r, "a gap before it, from " + std::to_string(reached));
    if (r.span.from < reached) return wrong(r, "overlaps the range before it");
    if (!std::isfinite(r.weight) || r.weight <= 0) return wrong(r, "a weight that is not above 0");
    if (!ids.insert(r.id).second) return wrong(r, "an id that another range has");
    if (!r.holders) return wrong(r, "no serving holder");
    auto known = same.find(*r.holders);
    if (known == same.end()) {
      if (std::string what = holders_fault(*r.holders); !what.empty()) return wrong(r, what);
      known = same.emplace(*r.holders, r.holders).first;
    }
    reached = r.span.to;
    map.next_id_ = std::max(map.next_id_, r.id + 1);
    if (!filling || filling->count == kFilled) {
      filling = std::make_shared<Leaf>();
      level.push_back(filling);
    }
    filling->from[filling->count] = r.span.from;
    filling->entry[filling->count++] = {r.id, r.weight, known->second};
  }
  if (reached != kKeyEnd) return wrong(ranges.back(), "the map ends there and not at 2^53");
  map.size_ = ranges.size();
  map.revision_ = revision;
  for (map.depth_ = 1; level.size() > 1; ++map.depth_) {
    std::vector<Ptr> above;
    std::shared_ptr<Inner> inner_filling;
    for (const Ptr& child : level) {
      if (!inner_filling || inner_filling->count == kFilled) {
        inner_filling = std::make_shared<Inner>();
        above.push_back(inner_filling);
      }
      inner_filling->from[inner_filling->count] = child->from[0];
      inner_filling->child[inner_filling->count++] = child;
    }
    level = std::move(above);
  }
  map.root_ = level[0];
  return map;
}

std::size_t RangeMap::bytes() const { return root_ ? bytes_of(*root_) : 0; }

RangeView RangeMap::find(Key key) const {
  const Node* node = root_.get();
  Key end = kKeyEnd;
  for (;;) {
    std::size_t at = node->search(key);
    if (at + 1 < node->count) end = node->from[at + 1];
    if (node->leaf) {
      const Entry& e = leaf(*node).entry[at];
      return {e.id, {node->from[at], end}, e.weight, &e.holders};
    }
    node = inner(*node).child[at].get();
  }
}

void RangeMap::visit(const Span& span, const std::function<bool(const RangeView&)>& visit) const {
  if (root_ && !span.empty()) walk(*root_, span, kKeyEnd, visit);
}

std::vector<Range> RangeMap::all() const {
  std::vector<Range> list;
  list.reserve(size_);
  visit({0, kKeyEnd}, [&](const RangeView& p) {
    list.push_back({p.id, p.span, p.weight, *p.holders});
    return true;
  });
  return list;
}

RangeMap RangeMap::with_range(Key from, const Entry& entry) const {
  RangeMap made = *this;
  bool there = find(from).span.from == from;
  Grown grown = insert(root_, from, entry);
  made.root_ = grown.first;
  if (grown.second) {
    auto top = std::make_shared<Inner>();
    top->count = 2;
    top->from[0] = grown.first->from[0];
    top->from[1] = grown.second->from[0];
    top->child[0] = grown.first;
    top->child[1] = grown.second;
    made.root_ = top;
    ++made.depth_;
  }
  if (!there) ++made.size_;
  return made;
}

RangeMap RangeMap::without_range(Key from) const {
  RangeMap made = *this;
  if (from == 0 || size_ < 2 || find(from).span.from != from) return made;
  made.root_ = erase(root_, from);
  --made.size_;
  while (!made.root_->leaf && made.root_->count == 1) {
    made.root_ = Ptr(inner(*made.root_).child[0]);
    --made.depth_;
  }
  return made;
}

RangeMap RangeMap::with_revision(Revision revision, RangeId next_id) const {
  RangeMap made = *this;
  made.revision_ = revision;
  made.next_id_ = next_id;
  return made;
}

}  // namespace winchhall::ranges
