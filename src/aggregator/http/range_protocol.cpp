#include "aggregator/http/range_protocol.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace winchhall::http {
namespace {

using namespace ranges;
using nlohmann::json;

// Thrown and caught in this file only.
struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const json& member(const json& row, const char* key) {
  if (!row.is_object()) throw ParseError("an object is wanted");
  auto it = row.find(key);
  if (it == row.end()) throw ParseError(std::string("'") + key + "' is missing");
  return *it;
}

std::uint64_t integer(const json& row, const char* key) {
  const json& v = member(row, key);
  // 2^53 itself is valid as the end of the last range.
  if (!v.is_number_integer() || v.get<std::int64_t>() < 0 || v.get<std::uint64_t>() > kKeyEnd)
    throw ParseError(std::string("'") + key + "' is " + v.dump() +
                     ", wanted is a whole number from 0 to 2^53");
  return v.get<std::uint64_t>();
}

double number(const json& row, const char* key) {
  const json& v = member(row, key);
  if (!v.is_number() || !std::isfinite(v.get<double>()))
    throw ParseError(std::string("'") + key + "' is " + v.dump() + ", wanted is a number");
  return v.get<double>();
}

std::string text(const json& row, const char* key) {
  const json& v = member(row, key);
  if (!v.is_string()) throw ParseError(std::string("'") + key + "' is " + v.dump() + ", wanted is a text");
  return v.get<std::string>();
}

const json& list(const json& row, const char* key) {
  const json& v = member(row, key);
  if (!v.is_array()) throw ParseError(std::string("'") + key + "' is no list");
  return v;
}

Holders read_holders(const json& rows) {
  Holders holders;
  for (const json& row : rows) {
    if (row.is_string()) {
      holders.push_back({row.get<std::string>(), Role::serving});
      continue;
    }
    std::string role = row.contains("role") ? text(row, "role") : "serving";
    if (role != "serving" && role != "copying" && role != "leaving")
      throw ParseError("role '" + role + "', wanted is serving, copying or leaving");
    holders.push_back({text(row, "server"), role == "serving"   ? Role::serving
                                            : role == "copying" ? Role::copying
                                                                : Role::leaving});
  }
  return holders;
}

json holders_json(const Holders& holders) {
  json rows = json::array();
  for (const Holder& h : holders) rows.push_back({{"server", h.server}, {"role", name_of(h.role)}});
  return rows;
}

Range read_range(const json& row) {
  Range r;
  r.id = integer(row, "id");
  r.span = {integer(row, "from"), integer(row, "to")};
  r.weight = row.contains("weight") ? number(row, "weight") : 1;
  r.holders = std::make_shared<const Holders>(read_holders(list(row, "holders")));
  return r;
}

Change read_change(const json& row) {
  std::string op = text(row, "op");
  Target target{integer(row, "range"), integer(row, "from")};
  if (op == "split")
    return Split{target,
                 integer(row, "at"),
                 integer(row, "left"),
                 integer(row, "right"),
                 number(row, "left_weight"),
                 number(row, "right_weight")};
  if (op == "merge") {
    Merge m{target, {integer(row, "with"), integer(row, "with_from")}, integer(row, "merged"), {}};
    if (row.contains("holders")) m.holders = read_holders(list(row, "holders"));
    return m;
  }
  if (op == "weigh") return SetWeight{target, number(row, "weight")};
  if (op == "add") return AddHolder{target, text(row, "server")};
  if (op == "promote") return Promote{target, text(row, "server")};
  if (op == "retire") return Retire{target, text(row, "server")};
  if (op == "remove") return Remove{target, text(row, "server")};
  throw ParseError("op '" + op + "', wanted is split, merge, add, promote, retire, remove or weigh");
}

json change_json(const Change& change) {
  struct {
    json operator()(const Split& c) const {
      return {{"at", c.at},
              {"left", c.left},
              {"right", c.right},
              {"left_weight", c.left_weight},
              {"right_weight", c.right_weight}};
    }
    json operator()(const Merge& c) const {
      json row{{"with", c.right.range}, {"with_from", c.right.from}, {"merged", c.merged}};
      if (!c.holders.empty()) row["holders"] = holders_json(c.holders);
      return row;
    }
    json operator()(const SetWeight& c) const { return {{"weight", c.weight}}; }
    json operator()(const AddHolder& c) const { return {{"server", c.server}}; }
    json operator()(const Promote& c) const { return {{"server", c.server}}; }
    json operator()(const Retire& c) const { return {{"server", c.server}}; }
    json operator()(const Remove& c) const { return {{"server", c.server}}; }
  } fields;
  json row = std::visit(fields, change);
  const Target& t = std::visit(
      [](const auto& c) -> const Target& {
        if constexpr (requires { c.left.from; })
          return c.left;
        else
          return c.target;
      },
      change);
  row["op"] = name_of(change);
  row["range"] = t.range;
  row["from"] = t.from;
  return row;
}

json range_json(const Range& r) {
  return {{"id", r.id},
          {"from", r.span.from},
          {"to", r.span.to},
          {"weight", r.weight},
          {"holders", holders_json(*r.holders)}};
}

}  // namespace

std::optional<Update> read_update(const std::string& json_text, std::string& fault) {
  Update u;
  std::string where;
  try {
    json from = json::parse(json_text);
    u.revision = {integer(from, "incarnation"), integer(from, "revision")};
    u.complete = from.contains("ranges");
    u.more = from.contains("more") && from["more"].is_boolean() && from["more"].get<bool>();
    const json& rows = list(from, u.complete ? "ranges" : "changes");
    for (std::size_t i = 0; i < rows.size(); ++i) {
      where = (u.complete ? "ranges[" : "changes[") + std::to_string(i) + "]: ";
      if (u.complete)
        u.ranges.push_back(read_range(rows[i]));
      else
        u.changes.push_back(read_change(rows[i]));
    }
    return u;
  } catch (const std::exception& error) {  // ParseError, or the JSON library's with line and column
    fault = where + error.what();
    return std::nullopt;
  }
}

std::string write_update(const Update& u) {
  json rows = json::array();
  for (const Range& r : u.ranges) rows.push_back(range_json(r));
  for (const Change& c : u.changes) rows.push_back(change_json(c));
  json all{{"incarnation", u.revision.incarnation}, {"revision", u.revision.number}};
  all[u.complete ? "ranges" : "changes"] = std::move(rows);
  if (u.more) all["more"] = true;
  return all.dump();
}

Denial read_denial(const std::string& json_text) {
  Denial denial;
  try {
    json from = json::parse(json_text);
    denial.revision = {integer(from, "incarnation"), integer(from, "revision")};
    if (from.contains("successors"))
      for (const json& row : list(from, "successors")) {
        Range r = read_range(row);
        denial.successors.push_back({r.span, r.id, denial.revision, r.holders, 0, std::nullopt});
      }
  } catch (const std::exception&) {
    denial.successors.clear();
  }
  return denial;
}

std::string write_denial(const Denial& denial) {
  json all{{"incarnation", denial.revision.incarnation}, {"revision", denial.revision.number}};
  for (const PlannedPart& s : denial.successors)
    all["successors"].push_back({{"id", s.range},
                                 {"from", s.span.from},
                                 {"to", s.span.to},
                                 {"holders", serving_servers(*s.holders)}});
  return all.dump();
}

}  // namespace winchhall::http
