#include "aggregator/http/request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "aggregator/coordination/query_validation.hpp"

namespace winchhall::http {
namespace {

using coordination::Millis;
using nlohmann::json;

constexpr Millis kMaxTimeout = 24 * 3600e3;  // ms; no client waits longer than a day: more is an error

constexpr std::size_t kMaxEchoedBytes = 60;  // of client input quoted in an error response

std::string class_names(const std::vector<winchhall::ClassSettings>& classes) {
  std::string all;
  for (const auto& c : classes) all += (all.empty() ? "" : ", ") + c.name;
  return all;
}

std::optional<std::uint64_t> parse_key(std::string_view text) {
  std::uint64_t key = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  if (text.empty()) return std::nullopt;
  if (error == std::errc{} && end == text.data() + text.size()) return key;
  // Other strings are valid keys as well; they are hashed with FNV-1a.
  key = 1469598103934665603ULL;
  for (unsigned char c : text) key = (key ^ c) * 1099511628211ULL;
  return key;
}

std::optional<Millis> parse_timeout(const std::string& text) {
  double n = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, n);
  if (error != std::errc{} || last - end != 1 || !(n > 0) || !std::isfinite(n)) return std::nullopt;
  if (*end != 'm' && *end != 'u') return std::nullopt;
  n = *end == 'm' ? n : n / 1000;
  return n <= kMaxTimeout ? std::optional(n) : std::nullopt;
}

// These return an error message, or an empty string.
std::string read_spans(const json& from, bool supported, coordination::QuerySpec& q) {
  if (!supported) return "'spans': no directory of ranges is followed here, a query names parts";
  if (from.contains("parts")) return "both 'parts' and 'spans'";
  if (!from["spans"].is_array()) return "'spans' is no list";
  for (const json& row : from["spans"]) {
    if (!row.is_object() || !row.contains("from") || !row.contains("to") ||
        !row["from"].is_number_unsigned() || !row["to"].is_number_unsigned())
      return "'spans': {\"from\":A,\"to\":B} is wanted, whole numbers from 0 to 2^53, not " +
             row.dump(-1, ' ', true, json::error_handler_t::replace).substr(0, 100);
    q.spans.push_back({row["from"].get<ranges::Key>(), row["to"].get<ranges::Key>()});
  }
  if (q.spans.empty()) return "'spans' is empty";
  if (from.contains("hint") && from["hint"].is_number()) q.hint = from["hint"].get<double>() / 1000;
  return "";
}

std::string read_body(const std::string& body, bool spans, coordination::QuerySpec& q) {
  json from = json::parse(body, nullptr, false);
  if (!from.is_object()) return "body: a JSON object is wanted";
  if (from.contains("expr") && !from["expr"].is_string()) return "body: 'expr' is no text";
  q.text = from.value("expr", "");
  if (from.contains("spans")) return read_spans(from, spans, q);
  if (!from.contains("parts") || !from["parts"].is_array()) return "body: 'parts' is no list";
  for (const json& row : from["parts"]) {
    if (!row.is_object() || !row.contains("id") || !row["id"].is_number_integer())
      return "body: a part without an 'id' that is a whole number";
    if (!row.contains("w") || !row["w"].is_number()) return "body: a part without a 'w' that is a number";
    std::int64_t shard = row["id"].get<std::int64_t>();
    if (shard < 0 || shard > 1'000'000'000) return "body: a part's id " + std::to_string(shard);
    coordination::QueryPart p{static_cast<int>(shard), row["w"].get<double>(), {}};
    if (row.contains("hint") && row["hint"].is_number()) p.hint = row["hint"].get<double>() / 1000;
    q.parts.push_back(p);
  }
  return "";
}

DecodedQuery rejected(int status, std::string why) { return {status, std::move(why), {}}; }

}  // namespace

DecodedQuery decode_query(const HttpMessage& m, const DecodeContext& context, Millis arrived) {
  std::string_view path = m.target;
  std::string_view query = path.substr(std::min(path.find('?'), path.size()));
  path = path.substr(0, path.size() - query.size());
  if (path.empty() || path[0] != '/') return rejected(400, "target: a path is wanted");
  path.remove_prefix(1);
  path = path.substr(0, path.find('/'));
  DecodedQuery d;
  coordination::QuerySpec& q = d.query;
  q.query_class = coordination::index_by_name(context.settings.classes, std::string(path));
  if (q.query_class < 0)
    return rejected(404, "no such class: '" + std::string(path.substr(0, kMaxEchoedBytes)) + "', known are " +
                             class_names(context.settings.classes));
  if (m.method != "POST")
    return rejected(405, "method " + m.method.substr(0, kMaxEchoedBytes) + ", wanted is POST");
  const std::string* id = m.header("x-request-id");
  if (!id || !coordination::is_valid_query_id(*id))
    return rejected(400, "X-Request-ID: wanted are 1 to 128 signs, none of them a space");
  q.id = *id;
  if (const std::string* tenant = m.header("x-tenant-id"))
    q.tenant = coordination::index_by_name(context.settings.tenants, *tenant);
  Millis timeout = context.settings.classes[static_cast<std::size_t>(q.query_class)].deadline;
  if (const std::string* text = m.header("x-timeout")) {
    auto read = parse_timeout(*text);
    if (!read)
      return rejected(
          400, "X-Timeout '" + text->substr(0, kMaxEchoedBytes) + "': wanted is a number above 0 and m or u");
    timeout = *read;
  }
  // The client's timeout runs from its sending: time on the network, in either direction, is not available
  // here.
  q.give_up_at = coordination::answer_deadline(arrived, timeout);
  const std::string* retried = m.header("x-retried");
  q.is_retry = retried && *retried == "1";
  while (!query.empty()) {
    query.remove_prefix(1);
    std::string_view item = query.substr(0, query.find('&'));
    if (item.substr(0, 2) == "k=") q.key = parse_key(item.substr(2));
    query.remove_prefix(item.size());
  }
  if (std::string what = read_body(m.body, context.spans, q); !what.empty()) return rejected(400, what);
  if (std::string what = coordination::validation_error(q, context.shards); !what.empty())
    return rejected(400, what);
  return d;
}

std::string http_response(int status, const std::string& headers, const std::string& body, bool keep) {
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

std::string error_response(int status, const std::string& headers, const std::string& why, bool keep) {
  // Invalid UTF-8 in quoted client input is replaced by U+FFFD.
  std::string body = json{{"error", why}}.dump(-1, ' ', false, json::error_handler_t::replace);
  return http_response(status, headers + "Content-Type: application/json\r\n", body, keep);
}

std::string query_response(const coordination::QueryResult& v, bool keep) {
  using Kind = coordination::QueryResult::Kind;
  auto why = [&](const char* otherwise) { return v.why.empty() ? otherwise : v.why; };
  if (v.kind == Kind::refused) {
    char advice[64] = "";
    if (v.retry_after > 0)
      std::snprintf(advice, sizeof advice, "Retry-After: %.3f\r\n", v.retry_after / 1000);
    return error_response(503, advice, why("refused: too much is asked just now, or servers are missing"),
                          keep);
  }
  if (v.kind == Kind::invalid) return error_response(400, "", why("cannot be asked"), keep);
  if (v.kind == Kind::failed) return error_response(500, "", why("failed: not enough came in in time"), keep);
  json rows = json::array();
  bool spans = false;
  for (const coordination::PartialResult& row : v.rows)
    for (const std::string& value : row.values) {
      if (row.span.empty()) {
        rows.push_back({{"id", row.shard}, {"data", value}});
        continue;
      }
      spans = true;
      rows.push_back({{"from", row.span.from},
                      {"to", row.span.to},
                      {"rev", ranges::text_of(row.revision)},
                      {"data", value}});
    }
  std::string body = json{{"exact", v.complete}, {"rows", std::move(rows)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
  // A body over the protocol's limit can't be truncated, so it is an error. Spans have a limit of their own.
  if (body.size() > (spans ? kMaxSpansBodyBytes : kMaxBodyBytes))
    return error_response(500, "", "the answer is larger than a body may be", keep);
  return http_response(200, "Content-Type: application/json\r\n", body, keep);
}

}  // namespace winchhall::http
