#include "testbed/directory.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "aggregator/http/range_protocol.hpp"

namespace winchhall::testbed {
namespace {
constexpr Millis kBeat = 2000;      // ms between empty lines, as the protocol has it
constexpr std::size_t kPage = 200;  // ranges in one line of a whole map

std::optional<std::uint64_t> parameter(const std::string& target, const std::string& name) {
  std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return std::nullopt;
  std::uint64_t n = 0;
  const char* from = target.data() + at + name.size() + 1;
  std::from_chars(from, target.data() + target.size(), n);
  return n;
}
}  // namespace

Directory::Directory(event_loop::Loop& loop, World& world)
    : loop_(loop), world_(world), http_(loop, [this](auto& c, const auto& m) { asked(c, m); }) {
  beat();
}

Directory::~Directory() { loop_.cancel(beat_); }

void Directory::beat() {
  for (Watch& w : watches_)
    if (auto c = w.connection.lock()) c->line("");
  beat_ = loop_.run_at(loop_.now() + kBeat, [this] { beat(); });
}

void Directory::whole(HttpStandIn::Connection& c, const ranges::RangeMap& map) {
  ++counts_.whole;
  auto all = map.all();
  for (std::size_t at = 0; at < all.size(); at += kPage) {
    ranges::Update u{map.revision(), true, at + kPage < all.size(), {}, {}};
    u.ranges.assign(all.begin() + static_cast<long>(at),
                    all.begin() + static_cast<long>(std::min(all.size(), at + kPage)));
    c.line(http::write_update(u));
  }
}

void Directory::asked(HttpStandIn::Connection& c, const http::HttpMessage& m) {
  ++counts_.asked;
  bool watch = m.target.find("watch=1") != std::string::npos;
  c.begin_lines();
  const ranges::RangeMap& map = loop_.now() < older_until_ ? world_.map_at(older_) : world_.map();
  auto incarnation = parameter(m.target, "incarnation"), after = parameter(m.target, "after");
  bool known =
      incarnation && after && *incarnation == map.revision().incarnation && loop_.now() >= older_until_;
  auto changes = known ? world_.changes_after(*after) : std::nullopt;
  if (changes)
    c.line(http::write_update({map.revision(), false, false, {}, std::move(*changes)}));
  else
    whole(c, map);
  if (watch) watches_.push_back({c.weak_from_this(), map.revision()});
  if (!watch) c.cut();
}

void Directory::tell() {
  std::erase_if(watches_, [](const Watch& w) {
    auto c = w.connection.lock();
    return !c || !c->open();
  });
  ranges::Revision now = world_.map().revision();
  bool lost = std::exchange(skip_, false);
  counts_.skipped += lost;
  for (Watch& w : watches_) {
    if (w.told == now) continue;
    auto changes = w.told.incarnation == now.incarnation ? world_.changes_after(w.told.number) : std::nullopt;
    w.told = now;
    if (lost) continue;
    ++counts_.words;
    std::string text;
    if (changes) text = http::write_update({now, false, false, {}, std::move(*changes)});
    if (!changes) {
      if (auto c = w.connection.lock()) whole(*c, world_.map());
    } else if (delay_ <= 0) {
      if (auto c = w.connection.lock()) c->line(text);
    } else {
      loop_.run_at(loop_.now() + delay_, [connection = w.connection, text] {
        if (auto c = connection.lock()) c->line(text);
      });
    }
  }
}

void Directory::break_watches() {
  for (Watch& w : std::exchange(watches_, {}))
    if (auto c = w.connection.lock()) {
      ++counts_.broken;
      c->cut();
    }
}

void Directory::tell_older(Millis when, Millis until) {
  older_ = when;
  older_until_ = until;
  break_watches();
}

Roster::Roster(event_loop::Loop& loop, bool flight)
    : loop_(loop), flight_(flight), http_(loop, [this](auto& c, const auto& m) {
        bool watch = m.target.find("watch=1") != std::string::npos;
        if (!watch) return c.answer(200, whole());
        c.begin_lines();
        c.line(whole());
      }) {
  beat();
}

Roster::~Roster() { loop_.cancel(beat_); }

void Roster::beat() {
  for (const auto& c : http_.connections())
    if (c->streaming()) c->line("");
  beat_ = loop_.run_at(loop_.now() + kBeat, [this] { beat(); });
}

std::string Roster::row(const RosterEntry& e) const {
  return nlohmann::json{{"id", e.id},      {"host_port", flight_ ? e.flight : e.frames},
                        {"locality", "a"}, {"flavor", "stand-in"},
                        {"cell", e.cell},  {"phase", e.phase},
                        {"size", 1.0},     {"up_since_ms", e.up_since_ms}}
      .dump();
}

std::string Roster::whole() const {
  std::string rows;
  for (const auto& [id, e] : entries_)
    if (e.phase != "gone") rows += (rows.empty() ? "" : ",") + row(e);
  return "{\"revision\":" + std::to_string(revision_) + ",\"complete\":true,\"members\":[" + rows + "]}";
}

void Roster::set(const RosterEntry& e) {
  entries_[e.id] = e;
  ++revision_;
  told_at_[e.id] = loop_.now();
  std::string line =
      "{\"revision\":" + std::to_string(revision_) + ",\"complete\":false,\"members\":[" + row(e) + "]}";
  for (const auto& c : http_.connections())
    if (c->streaming()) c->line(line);
}

Millis Roster::told_at(const std::string& id) const {
  auto it = told_at_.find(id);
  return it == told_at_.end() ? 0 : it->second;
}

}  // namespace winchhall::testbed
