#include "testbed/directory.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "aggregator/http/range_protocol.hpp"

namespace winchhall::testbed {
namespace {
constexpr Millis kKeepaliveInterval = 2000;  // between empty lines, as the range protocol requires
constexpr std::size_t kRangesPerLine = 200;  // in a full map, which is sent as several lines

std::optional<std::uint64_t> parameter(const std::string& target, const std::string& name) {
  std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return std::nullopt;
  std::uint64_t n = 0;
  const char* from = target.data() + at + name.size() + 1;
  std::from_chars(from, target.data() + target.size(), n);
  return n;
}
}  // namespace

Directory::Directory(event_loop::Loop& loop, SimulatedDeployment& deployment)
    : loop_(loop),
      deployment_(deployment),
      http_(loop, [this](auto& c, const auto& m) { handle_request(c, m); }) {
  send_keepalives();
}

Directory::~Directory() { loop_.cancel(keepalive_timer_); }

void Directory::send_keepalives() {
  for (Watch& w : watches_)
    if (auto c = w.connection.lock()) c->line("");
  keepalive_timer_ = loop_.run_at(loop_.now() + kKeepaliveInterval, [this] { send_keepalives(); });
}

void Directory::send_full_map(HttpStandIn::Connection& c, const ranges::RangeMap& map) {
  ++counts_.full_maps;
  auto all = map.all();
  for (std::size_t at = 0; at < all.size(); at += kRangesPerLine) {
    ranges::Update u{map.revision(), true, at + kRangesPerLine < all.size(), {}, {}};
    u.ranges.assign(all.begin() + static_cast<long>(at),
                    all.begin() + static_cast<long>(std::min(all.size(), at + kRangesPerLine)));
    c.line(http::write_update(u));
  }
}

void Directory::handle_request(HttpStandIn::Connection& c, const http::HttpMessage& m) {
  ++counts_.requests;
  bool watch = m.target.find("watch=1") != std::string::npos;
  c.begin_lines();
  const ranges::RangeMap& map =
      loop_.now() < older_map_until_ ? deployment_.map_at(older_map_time_) : deployment_.map();
  auto incarnation = parameter(m.target, "incarnation"), after = parameter(m.target, "after");
  bool known =
      incarnation && after && *incarnation == map.revision().incarnation && loop_.now() >= older_map_until_;
  auto changes = known ? deployment_.changes_after(*after) : std::nullopt;
  if (changes)
    c.line(http::write_update({map.revision(), false, false, {}, std::move(*changes)}));
  else
    send_full_map(c, map);
  if (watch) watches_.push_back({c.weak_from_this(), map.revision()});
  if (!watch) c.cut();
}

void Directory::publish_changes() {
  std::erase_if(watches_, [](const Watch& w) {
    auto c = w.connection.lock();
    return !c || !c->open();
  });
  ranges::Revision now = deployment_.map().revision();
  bool dropped = std::exchange(drop_next_, false);
  counts_.dropped_updates += dropped;
  for (Watch& w : watches_) {
    if (w.sent_revision == now) continue;
    auto changes = w.sent_revision.incarnation == now.incarnation
                       ? deployment_.changes_after(w.sent_revision.number)
                       : std::nullopt;
    w.sent_revision = now;
    if (dropped) continue;
    ++counts_.updates;
    std::string text;
    if (changes) text = http::write_update({now, false, false, {}, std::move(*changes)});
    if (!changes) {
      if (auto c = w.connection.lock()) send_full_map(*c, deployment_.map());
    } else if (update_delay_ <= 0) {
      if (auto c = w.connection.lock()) c->line(text);
    } else {
      loop_.run_at(loop_.now() + update_delay_, [connection = w.connection, text] {
        if (auto c = connection.lock()) c->line(text);
      });
    }
  }
}

void Directory::break_watches() {
  for (Watch& w : std::exchange(watches_, {}))
    if (auto c = w.connection.lock()) {
      ++counts_.broken_watches;
      c->cut();
    }
}

void Directory::serve_older_map(Millis when, Millis until) {
  older_map_time_ = when;
  older_map_until_ = until;
  break_watches();
}

Roster::Roster(event_loop::Loop& loop, bool flight)
    : loop_(loop), flight_(flight), http_(loop, [this](auto& c, const auto& m) {
        bool watch = m.target.find("watch=1") != std::string::npos;
        if (!watch) return c.answer(200, full_list());
        c.begin_lines();
        c.line(full_list());
      }) {
  send_keepalives();
}

Roster::~Roster() { loop_.cancel(keepalive_timer_); }

void Roster::send_keepalives() {
  for (const auto& c : http_.connections())
    if (c->streaming()) c->line("");
  keepalive_timer_ = loop_.run_at(loop_.now() + kKeepaliveInterval, [this] { send_keepalives(); });
}

std::string Roster::row(const RosterEntry& e) const {
  return nlohmann::json{{"id", e.id},      {"host_port", flight_ ? e.flight : e.frames},
                        {"locality", "a"}, {"flavor", "stand-in"},
                        {"cell", e.cell},  {"phase", e.phase},
                        {"size", 1.0},     {"up_since_ms", e.up_since_ms}}
      .dump();
}

std::string Roster::full_list() const {
  std::string rows;
  for (const auto& [id, e] : entries_)
    if (e.phase != "gone") rows += (rows.empty() ? "" : ",") + row(e);
  return "{\"revision\":" + std::to_string(revision_) + ",\"complete\":true,\"members\":[" + rows + "]}";
}

void Roster::set(const RosterEntry& e) {
  entries_[e.id] = e;
  ++revision_;
  changed_at_[e.id] = loop_.now();
  std::string line =
      "{\"revision\":" + std::to_string(revision_) + ",\"complete\":false,\"members\":[" + row(e) + "]}";
  for (const auto& c : http_.connections())
    if (c->streaming()) c->line(line);
}

Millis Roster::last_change_at(const std::string& id) const {
  auto it = changed_at_.find(id);
  return it == changed_at_.end() ? 0 : it->second;
}

}  // namespace winchhall::testbed
