#include "aggregator/app/ranges_command.hpp"

#include <charconv>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "aggregator/app/check_files.hpp"
#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/http.hpp"
#include "aggregator/http/range_protocol.hpp"
#include "aggregator/ranges/follower.hpp"

namespace winchhall::app {
namespace {

using namespace ranges;
using nlohmann::json;
constexpr event_loop::Millis kMapTimeout = 10000;  // ms for a directory to send its complete map

// One request to a range directory for its map, on an event loop of its own.
class MapRequest : public event_loop::Stream::Owner {
 public:
  explicit MapRequest(const std::string& address) : address_(address) {}

  RangeMap fetch() {
    auto to = event_loop::parse_address(address_);
    int error = 0;
    if (to) stream_ = event_loop::Stream::connect(loop_, *to, *this, error);
    if (!stream_) throw std::runtime_error(address_ + ": no such file, and no address of a directory");
    event_loop::Millis end = loop_.now() + kMapTimeout;
    while (!is_finished_ && follower_.map().empty() && loop_.now() < end) loop_.run_once(100);
    stream_->close();
    if (!follower_.map().empty()) return follower_.map();
    throw std::runtime_error(address_ + ": " + (fault_.empty() ? "gave no map in 10 s" : fault_));
  }

  void connected() override {
    stream_->write("GET /v1/ranges HTTP/1.1\r\nHost: " + address_ + "\r\nConnection: close\r\n\r\n");
  }
  void received(std::string& in) override {
    parser_.feed(in);
    process_response();
  }
  void ended() override {
    parser_.connection_closed(stream_->reset());
    process_response();
    if (fault_.empty()) fault_ = "the connection ended before the whole map was there";
    is_finished_ = true;
  }

 private:
  void process_response() {
    http::HttpMessage& m = parser_.message();
    if (parser_.failed() || (parser_.head_done() && m.status != 200)) {
      fault_ = parser_.failed() ? "an answer that cannot be read" : "status " + std::to_string(m.status);
      is_finished_ = true;
      return;
    }
    for (std::size_t end; (end = m.body.find('\n')) != std::string::npos; m.body.erase(0, end + 1))
      process_line(m.body.substr(0, end));
    if (parser_.done() && !m.body.empty()) process_line(std::exchange(m.body, {}));
  }
  void process_line(const std::string& text) {
    if (http::trim(text).empty()) return;
    auto update = http::read_update(text, fault_);
    if (update && follower_.apply_update(std::move(*update), 0) != UpdateResult::applied)
      fault_ = follower_.fault();
  }

  std::string address_, fault_;
  event_loop::Loop loop_;
  http::HttpParser parser_{http::HttpParser::Mode::streamed};
  Follower follower_;
  std::shared_ptr<event_loop::Stream> stream_;
  bool is_finished_ = false;
};

std::string holders_text(const Holders& holders) {
  std::string all;
  for (const Holder& h : holders) {
    all += (all.empty() ? "" : " ") + h.server;
    if (h.role != Role::serving) all += std::string("(") + name_of(h.role) + ")";
  }
  return all;
}

std::string range_text(const Range& r) {
  char weight[32];
  std::snprintf(weight, sizeof weight, "%.6g", r.weight);
  return std::to_string(r.id) + " " + text_of(r.span) + " weight " + weight + " " + holders_text(*r.holders);
}

}  // namespace

RangeMap load_map(const std::string& source) {
  std::string why;
  std::string text = read_text(source, why);
  if (!why.empty()) return MapRequest(source).fetch();
  auto update = http::read_update(text, why);
  if (!update) throw std::runtime_error(source + ": " + why);
  if (!update->complete) throw std::runtime_error(source + ": changes only, a whole map is wanted");
  auto map = RangeMap::build(update->revision, std::move(update->ranges), why);
  if (!map) throw std::runtime_error(source + ": " + why);
  return *map;
}

std::optional<Span> parse_span(const std::string& text) {
  Span s;
  const char* end = text.data() + text.size();
  auto first = std::from_chars(text.data(), end, s.from);
  if (first.ec != std::errc{} || first.ptr == end || *first.ptr != ':') return std::nullopt;
  auto second = std::from_chars(first.ptr + 1, end, s.to);
  if (second.ec != std::errc{} || second.ptr != end) return std::nullopt;
  return s;
}

std::string show_map(const RangeMap& map, const Span& within, bool as_json) {
  Update update{map.revision(), true, false, {}, {}};
  map.visit(within, [&](const RangeView& p) {
    update.ranges.push_back({p.id, p.span, p.weight, *p.holders});
    return true;
  });
  if (as_json) return http::write_update(update) + "\n";
  std::string out = "revision " + text_of(map.revision()) + ", " + std::to_string(map.size()) + " ranges\n";
  for (const Range& r : update.ranges) out += range_text(r) + "\n";
  return out;
}

std::string show_plan(const Plan& plan, bool as_json) {
  json rows = json::array();
  std::string out;
  for (const PlannedPart& p : plan.parts) {
    rows.push_back({{"range", p.range},
                    {"from", p.span.from},
                    {"to", p.span.to},
                    {"weight", p.weight},
                    {"holders", serving_servers(*p.holders)}});
    if (p.hint) rows.back()["hint_us"] = *p.hint * 1000;
    char share[32];
    std::snprintf(share, sizeof share, "%.4f", p.weight);
    out += "part of range " + std::to_string(p.range) + " " + text_of(p.span) + " share " + share + " " +
           holders_text(*p.holders) + "\n";
  }
  return as_json ? rows.dump() + "\n" : out;
}

std::string diff_maps(const RangeMap& a, const RangeMap& b) {
  std::map<std::pair<Key, RangeId>, std::pair<std::string, std::string>> rows;
  for (const Range& r : a.all()) rows[{r.span.from, r.id}].first = range_text(r);
  for (const Range& r : b.all()) rows[{r.span.from, r.id}].second = range_text(r);
  std::string out;
  for (const auto& [key, row] : rows) {
    if (row.first == row.second) continue;
    if (!row.first.empty() && !row.second.empty())
      out += "~ " + row.first + "\n  now " + row.second + "\n";
    else
      out += (row.first.empty() ? "+ " + row.second : "- " + row.first) + "\n";
  }
  return out;
}

}  // namespace winchhall::app
