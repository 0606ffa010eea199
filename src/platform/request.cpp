#include "platform/request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "core/check.hpp"

namespace winchhall::platform {
namespace {

using core::Millis;
using nlohmann::json;

constexpr Millis kTimeoutMost = 24 * 3600e3;  // no client waits a day: a longer time is a mistake

template <class T>
int index_of(const std::vector<T>& list, const std::string& name) {
  for (std::size_t i = 0; i < list.size(); ++i)
    if (list[i].name == name) return static_cast<int>(i);
  return -1;
}

std::optional<std::uint64_t> hex_key(std::string_view text) {
  std::uint64_t key = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  if (text.empty()) return std::nullopt;
  if (error == std::errc{} && end == text.data() + text.size()) return key;
  // Any other word names its subject as well: FNV-1a.
  key = 1469598103934665603ULL;
  for (unsigned char c : text) key = (key ^ c) * 1099511628211ULL;
  return key;
}

std::optional<Millis> read_timeout(const std::string& text) {
  double n = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, n);
  if (error != std::errc{} || last - end != 1 || !(n > 0) || !std::isfinite(n)) return std::nullopt;
  if (*end != 'm' && *end != 'u') return std::nullopt;
  n = *end == 'm' ? n : n / 1000;
  return n <= kTimeoutMost ? std::optional(n) : std::nullopt;
}

bool read_body(const std::string& body, core::QuerySpec& q) {
  json from = json::parse(body, nullptr, false);
  if (!from.is_object() || !from.contains("parts") || !from["parts"].is_array()) return false;
  if (from.contains("expr") && !from["expr"].is_string()) return false;
  q.text = from.value("expr", "");
  for (const json& row : from["parts"]) {
    if (!row.is_object() || !row.contains("id") || !row["id"].is_number_integer()) return false;
    if (!row.contains("w") || !row["w"].is_number()) return false;
    std::int64_t shard = row["id"].get<std::int64_t>();
    if (shard < 0 || shard > 1'000'000'000) return false;
    core::QueryPart p{static_cast<int>(shard), row["w"].get<double>(), {}};
    if (row.contains("hint") && row["hint"].is_number()) p.hint = row["hint"].get<double>() / 1000;
    q.parts.push_back(p);
  }
  return true;
}

Decoded wrong(int status, std::string why) { return {status, std::move(why), {}}; }

}  // namespace

Decoded decode_query(const HttpMessage& m, const ClientNames& names, Millis arrived) {
  std::string_view path = m.target;
  std::string_view query = path.substr(std::min(path.find('?'), path.size()));
  path = path.substr(0, path.size() - query.size());
  if (path.empty() || path[0] != '/') return wrong(400, "target");
  path.remove_prefix(1);
  path = path.substr(0, path.find('/'));
  Decoded d;
  core::QuerySpec& q = d.query;
  q.query_class = index_of(names.settings.classes, std::string(path));
  if (q.query_class < 0) return wrong(404, "no such class");
  if (m.method != "POST") return wrong(405, "method");
  const std::string* id = m.header("x-request-id");
  if (!id || !core::fit_name(*id)) return wrong(400, "X-Request-ID");
  q.id = *id;
  if (const std::string* tenant = m.header("x-tenant-id"))
    q.tenant = index_of(names.settings.tenants, *tenant);
  Millis timeout = names.settings.classes[static_cast<std::size_t>(q.query_class)].deadline;
  if (const std::string* text = m.header("x-timeout")) {
    auto read = read_timeout(*text);
    if (!read) return wrong(400, "X-Timeout");
    timeout = *read;
  }
  // The client counts from its sending: what the way took and takes is not ours to use.
  q.give_up_at = core::due(arrived, timeout);
  const std::string* retried = m.header("x-retried");
  q.repeat = retried && *retried == "1";
  while (!query.empty()) {
    query.remove_prefix(1);
    std::string_view item = query.substr(0, query.find('&'));
    if (item.substr(0, 2) == "k=") q.key = hex_key(item.substr(2));
    query.remove_prefix(item.size());
  }
  if (!read_body(m.body, q)) return wrong(400, "body");
  if (std::string what = core::unsound(q, names.shards); !what.empty()) return wrong(400, what);
  return d;
}

std::string http_answer(int status, const std::string& headers, const std::string& body, bool keep) {
  const char* reason = status == 200   ? "OK"
                       : status == 400 ? "Bad Request"
                       : status == 404 ? "Not Found"
                       : status == 405 ? "Method Not Allowed"
                       : status == 408 ? "Request Timeout"
                       : status == 409 ? "Conflict"
                       : status == 413 ? "Content Too Large"
                       : status == 503 ? "Service Unavailable"
                                       : "Error";
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
         (keep ? "" : "Connection: close\r\n") + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string verdict_answer(const core::Verdict& v, bool keep) {
  if (v.kind == core::Verdict::Kind::refused) {
    char advice[64] = "";
    if (v.retry_after > 0)
      std::snprintf(advice, sizeof advice, "Retry-After: %.3f\r\n", v.retry_after / 1000);
    return http_answer(503, advice, "", keep);
  }
  if (v.kind == core::Verdict::Kind::failed) return http_answer(500, "", "", keep);
  json rows = json::array();
  for (const core::Row& row : v.rows)
    for (const std::string& value : row.values) rows.push_back({{"id", row.shard}, {"data", value}});
  std::string body = json{{"exact", v.whole}, {"rows", std::move(rows)}}.dump(-1, ' ', false,
                                                                              json::error_handler_t::replace);
  // The protocol's limit on bodies; a cut answer would be none.
  if (body.size() > kBodyMost) return http_answer(500, "", "", keep);
  return http_answer(200, "Content-Type: application/json\r\n", body, keep);
}

}  // namespace winchhall::platform
