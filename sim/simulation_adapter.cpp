// winchhall-simulation-adapter: runs Coordinators for the simulator. It only translates between the
// simulator's protocol and the events and actions of the decision module. Batches of events come on standard
// input, one JSON array per line; the actions go to standard output.

#include <exception>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "winchhall/coordinator.hpp"

using nlohmann::json;
using namespace winchhall;

namespace {

// Ends the program with an error that names the input line.
[[noreturn]] void malformed(const std::string& what) { throw std::runtime_error(what); }

// The i-th value of a line.
const json& at(const json& row, std::size_t i) {
  if (i >= row.size()) malformed("'" + row.at(0).get<std::string>() + "' has too few values");
  return row[i];
}

// The value of a key, or `fallback` if it is missing or null.
template <class T>
T take(const json& object, const char* key, T fallback) {
  auto it = object.find(key);
  if (it == object.end() || it->is_null()) return fallback;
  return it->get<T>();
}

// The object of a key, or an empty one.
const json& section(const json& object, const char* key) {
  static const json none = json::object();
  auto it = object.find(key);
  return it == object.end() || !it->is_object() ? none : *it;
}

// The i-th value of the array of a key, or `fallback`.
template <class T>
T pick(const json& object, const char* key, std::size_t i, T fallback) {
  auto it = object.find(key);
  if (it == object.end() || !it->is_array() || i >= it->size() || (*it)[i].is_null()) return fallback;
  return (*it)[i].get<T>();
}

// Index of a name, or -1.
int index_of(const std::vector<std::string>& names, const json& name) {
  if (!name.is_string()) return -1;
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == name.get_ref<const std::string&>()) return static_cast<int>(i);
  return -1;
}

ReportField report_field(const std::string& name) {
  if (name == "pending") return ReportField::queued;
  if (name == "busy_reqs") return ReportField::in_flight;
  if (name == "svc_ms") return ReportField::service_ms;
  return ReportField::other;
}

Settings read_settings(const json& setup) {
  Settings s;
  const json& extra = section(setup, "extra");
  const json& allow = section(setup, "permissions");
  const json& rules = section(setup, "rules");
  const json& report = section(setup, "report");
  std::size_t i = 0;
  for (const json& row : setup.value("services", json::array())) {
    ClassSettings c;
    c.name = take<std::string>(row, "name", "");
    std::string repeat = take<std::string>(row, "semantics", "free");
    c.idempotency = repeat == "free"      ? Idempotency::safe
                    : repeat == "guarded" ? Idempotency::keyed
                                          : Idempotency::unsafe;
    c.latency_target = take(row, "objective", c.latency_target);
    c.deadline = take(row, "hard_limit", c.latency_target);
    c.late_value = take(row, "late_share", 0.0);
    c.value = take(row, "gain", 1.0);
    c.idempotency_window = take(row, "window", 0.0);
    c.complete_share = pick(extra, "need_by_class", i, 1.0);
    c.min_share = pick(extra, "floor_by_class", i, c.complete_share);
    c.partial_value = pick(extra, "partial_earns", i, 0.0);
    c.second_step_parts = pick(extra, "second_step", i, 0);
    s.classes.push_back(c);
    ++i;
  }
  for (const json& row : setup.value("tenants", json::array()))
    s.tenants.push_back({take<std::string>(row, "name", ""), take(row, "quota_per_s", 0.0)});
  s.over_quota_value = take(setup, "over_share_worth", 1.0);
  s.instances = take(setup, "balancers", 1);
  s.cells = take(extra, "positions", 1);
  s.cells_per_shard = take(extra, "reach", 1);
  s.tick = take(setup, "tick", 1.0);
  s.list_on_request = take<std::string>(setup, "membership_mode", "pushed") == "on_request";
  s.max_poll_interval = take(rules, "must_ask_in", 0.0);
  s.may_cancel = take(allow, "cancel", false);
  s.may_probe = take(allow, "probes", false);
  s.may_hedge = take(allow, "second_copies", false);
  s.honors_retry_after = take(allow, "retry_after", false);
  s.max_retry_after = take(allow, "max_retry_after", 0.0);
  s.max_attempts = take(allow, "max_attempts", 1);
  s.max_open = take(allow, "max_open", 0);
  s.answer_grace = take(rules, "grace_to_answer", 0.0);
  s.drain_grace = take(rules, "drain_grace", 0.0);
  s.warm_up_initial_share = take(rules, "cold_from", 1.0);
  s.warm_up_time = take(rules, "cold", 0.0);
  s.overload_multiple = take(rules, "fall_multiple", 0.0);
  s.overload_time = take(rules, "fall", 0.0);
  s.budget_window = take(rules, "resend_span", 0.0);
  s.budget = s.budget_window > 0;
  s.budget_free = take(rules, "extra_floor", 0.0);
  s.budget_share = take(rules, "extra_share", 0.0);
  s.reports = take<std::string>(report, "how", "off") != "off";
  for (const json& field : report.value("fields", json::array()))
    s.report_fields.push_back(report_field(field.get<std::string>()));
  return s;
}

std::vector<ServerEntry> read_page(const json& rows) {
  std::vector<ServerEntry> entries;
  for (const json& row : rows) {
    ServerEntry e;
    e.cell = at(row, 0).get<int>();
    e.size = at(row, 1).is_number() ? row[1].get<double>() : 1.0;
    e.server = at(row, 2).get<std::string>();
    std::string mode = at(row, 4).get<std::string>();
    e.state = mode == "draining" ? ServerState::draining
              : mode == "gone"   ? ServerState::removed
                                 : ServerState::ready;
    if (row.size() > 5 && row[5].is_number() && row[5].get<double>() != 0) e.started = row[5].get<double>();
    entries.push_back(std::move(e));
  }
  return entries;
}

Outcome read_outcome(const json& rc) {
  static const std::map<std::string, Outcome> known = {
      {"done", Outcome::ok},          {"err", Outcome::error},
      {"busy", Outcome::full},        {"etimedout", Outcome::timeout},
      {"econnreset", Outcome::reset}, {"econnrefused", Outcome::connect_failed},
      {"skipped", Outcome::unsent},   {"ecanceled", Outcome::cancelled}};
  auto it = known.find(rc.get<std::string>());
  return it == known.end() ? Outcome::error : it->second;  // unknown: the part may have been executed
}

std::vector<double> read_report(const json& row, std::size_t i) {
  std::vector<double> report;
  if (i < row.size() && row[i].is_array())
    for (const json& v : row[i])
      report.push_back(v.is_number() ? v.get<double>() : -1.0);  // -1: not a number
  return report;
}

std::string from_hex(const std::string& hex) {
  if (hex.size() % 2) malformed("a message has an odd number of hex digits");
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    std::size_t used = 0;
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), &used, 16)));
    if (used != 2) malformed("a message contains characters that are not hex digits");
  }
  return bytes;
}

std::string to_hex(const std::string& bytes) {
  static const char digits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned char c : bytes) {
    hex.push_back(digits[c >> 4]);
    hex.push_back(digits[c & 15]);
  }
  return hex;
}

json to_wire(const std::string& instance_id, const Action& action) {
  struct {
    const std::string& b;
    json operator()(const SendPart& a) { return json::array({"Send", b, a.part, a.timeout, a.server}); }
    json operator()(const CancelAttempt& a) { return json::array({"AbortAttempt", b, a.part, a.attempt}); }
    json operator()(const AnswerQuery& a) { return json::array({"Assemble", b, a.query, a.complete}); }
    json operator()(const RefuseQuery& a) { return json::array({"Bounce", b, a.query, a.retry_after}); }
    json operator()(const FailQuery& a) { return json::array({"GiveUp", b, a.query}); }
    json operator()(const SendProbe& a) { return json::array({"Test", b, a.server}); }
    json operator()(const WatchList& a) { return json::array({"Listen", b, a.on}); }
    json operator()(const FetchList&) { return json::array({"Resolve", b}); }
    json operator()(const CloseIdle& a) { return json::array({"FreeLinks", b, a.server}); }
    json operator()(const SendToPeers& a) { return json::array({"Publish", b, a.to, to_hex(a.bytes)}); }
    json operator()(const SetTimer& a) { return json::array({"WakeMe", b, a.at, a.tag}); }
    json operator()(const LogLine& a) { return json::array({"Trace", b, a.text}); }
  } writer{instance_id};
  return std::visit(writer, action);
}

// One aggregator instance: its Coordinator, and the query whose parts are still being read from the batch.
struct Instance {
  std::optional<Coordinator> coordinator;
  std::vector<std::string> classes, tenants;
  std::map<std::int64_t, std::string> query_by_group;  // query number at this instance -> query id
  struct PendingQuery {
    std::int64_t group = 0;
    std::optional<QueryArrived> query;  // absent: the second step of a known query
    std::vector<PartSpec> parts;
  };
  std::optional<PendingQuery> pending;
};

// Reads events, passes them to the instances and collects their actions for the reply.
class Adapter {
 public:
  // Processes one line; returns true when a reply is due.
  bool read(const json& row) {
    if (!row.is_array() || row.empty() || !row[0].is_string())
      malformed("expected an array whose first value is the event's name");
    const std::string& name = row[0].get_ref<const std::string&>();
    if (name == "Clock") {
      now_ = at(row, 1).get<double>();
      batch_ = at(row, 2);
    } else if (name == "End") {
      for (auto& [instance_id, instance] : instances_) deliver_pending(instance_id, instance);
      return true;
    } else if (name == "Page") {
      pages_[at(row, 1).get<int>()] = read_page(at(row, 2));
    } else if (name == "Up") {
      start_instance(row);
    } else if (name == "Detach") {
      instances_.erase(at(row, 1).get<std::string>());
    } else if (auto it = row.size() > 1 && row[1].is_string() ? instances_.find(row[1]) : instances_.end();
               it != instances_.end()) {
      deliver(name, row, it->first, it->second);
    }
    return false;
  }

  void reply() {
    for (const json& line : out_) std::cout << line.dump() << '\n';
    std::cout << json::array({"Ok", batch_}).dump() << std::endl;
    out_.clear();
  }

 private:
  void start_instance(const json& row) {
    std::string instance_id = at(row, 1).get<std::string>();
    const json& setup = at(row, 3);
    Settings settings = read_settings(setup);
    Instance started;
    for (const auto& c : settings.classes) started.classes.push_back(c.name);
    for (const auto& t : settings.tenants) started.tenants.push_back(t.name);
    started.coordinator.emplace(std::move(settings), at(row, 2).get<std::uint64_t>(), now_);
    instances_.erase(instance_id);
    Instance& instance = instances_[instance_id] = std::move(started);
    append_actions(instance_id, instance.coordinator->start());
  }

  void deliver(const std::string& name, const json& row, const std::string& instance_id, Instance& instance) {
    if (name == "WorkItem") return add_work_item(row, instance_id, instance);
    std::optional<Event> event = translate(name, row);
    if (!event) return;  // an event of a later version of the protocol
    deliver_pending(instance_id, instance);
    append_actions(instance_id, instance.coordinator->handle(now_, *event));
  }

  std::optional<Event> translate(const std::string& name, const json& row) {
    auto text = [&](std::size_t i) { return at(row, i).get<std::string>(); };
    if (name == "Membership") {
      ServerList list;
      std::string how = text(2);
      list.kind = how == "delta"    ? ServerList::Kind::changes
                  : how == "full"   ? ServerList::Kind::complete
                  : how == "cached" ? ServerList::Kind::cached
                                    : ServerList::Kind::failed;
      if (list.kind != ServerList::Kind::failed) {
        auto page = pages_.find(at(row, 4).get<int>());
        if (page == pages_.end()) malformed("'Membership' names an unknown page");
        list.servers = page->second;
      }
      return list;
    }
    if (name == "ReportBack")
      return AttemptEnded{text(2),
                          at(row, 7).get<int>(),
                          text(5),
                          read_outcome(at(row, 6)),
                          at(row, 3).get<double>(),
                          at(row, 4).get<bool>(),
                          read_report(row, 8)};
    if (name == "DeadlineHit") return TimerFired{at(row, 2).get<std::int64_t>()};
    if (name == "Withdrawn") return QueryWithdrawn{text(2)};
    if (name == "Health")
      return ProbeEnded{text(3), read_outcome(at(row, 4)), at(row, 2).get<double>(), read_report(row, 5)};
    if (name == "Opened") return AttemptStarted{text(2), at(row, 3).get<int>()};
    if (name == "Datagram") return PeerMessage{at(row, 2).get<int>(), from_hex(text(3))};
    return std::nullopt;
  }

  // A query comes as one line for itself and one for each part: collects them into one event.
  void add_work_item(const json& row, const std::string& instance_id, Instance& instance) {
    std::string id = at(row, 2).get<std::string>();
    int options = at(row, 3).is_number() ? row[3].get<int>() : 0;
    std::int64_t group = at(row, 8).get<std::int64_t>();
    int shard = at(row, 10).is_number() ? row[10].get<int>() : -1;
    if (shard < 0) {
      deliver_pending(instance_id, instance);
      QueryArrived q;
      q.query = id;
      q.query_class = index_of(instance.classes, at(row, 6));
      q.tenant = row.size() > 11 ? index_of(instance.tenants, row[11]) : -1;
      q.give_up_at = at(row, 7).get<double>();
      q.is_retry = (options & 2) != 0;
      if (at(row, 9).is_number()) q.key = row[9].get<std::uint64_t>();
      instance.query_by_group[group] = id;
      while (instance.query_by_group.size() > 100000)
        instance.query_by_group.erase(instance.query_by_group.begin());
      instance.pending = Instance::PendingQuery{group, std::move(q), {}};
      return;
    }
    if (instance.pending && instance.pending->group != group) deliver_pending(instance_id, instance);
    if (!instance.pending) instance.pending = Instance::PendingQuery{group, std::nullopt, {}};
    PartSpec p;
    p.part = id;
    p.shard = shard;
    p.weight = at(row, 4).get<double>();
    if ((options & 1) && at(row, 5).is_number()) p.hint = row[5].get<double>();
    instance.pending->parts.push_back(std::move(p));
  }

  // Delivers the collected query or second step, if there is one.
  void deliver_pending(const std::string& instance_id, Instance& instance) {
    if (!instance.pending) return;
    Instance::PendingQuery g = std::move(*instance.pending);
    instance.pending.reset();
    if (g.query) {
      g.query->parts = std::move(g.parts);
      append_actions(instance_id, instance.coordinator->handle(now_, std::move(*g.query)));
    } else if (auto it = instance.query_by_group.find(g.group); it != instance.query_by_group.end()) {
      append_actions(instance_id,
                     instance.coordinator->handle(now_, PartsAdded{it->second, std::move(g.parts)}));
    }
  }

  void append_actions(const std::string& instance_id, const std::vector<Action>& actions) {
    for (const Action& a : actions) out_.push_back(to_wire(instance_id, a));
  }

  double now_ = 0;
  json batch_ = 0;
  std::map<int, std::vector<ServerEntry>> pages_;
  std::map<std::string, Instance> instances_;
  std::vector<json> out_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Adapter adapter;
  std::string line;
  for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    try {
      if (adapter.read(json::parse(line))) adapter.reply();
    } catch (const std::exception& error) {
      std::cerr << "winchhall-simulation-adapter: line " << number << ": " << error.what() << '\n';
      return 1;
    }
  }
  return 0;
}
