#include "testbed/fleet.hpp"

#include <signal.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace winchhall::testbed {

using nlohmann::json;

namespace {
constexpr Millis kReadyTimeout = 30000;  // for an aggregator to start; only ends a run that hangs
constexpr Millis kDrainGrace = 2000;     // the configured drain_grace
constexpr int kAttempts = 3;
}  // namespace

const std::vector<ClassRule>& Fleet::classes() {
  static const std::vector<ClassRule> list{{"sender-history", 1, 3, 0, 0.3, 3000, 7500},
                                           {"transfer-lookup", 1, 1, 0, 0.3, 2500, 7500},
                                           {"daily-corridor", 0.7, 2, 0.9, 0.3, 3000, 6000}};
  return list;
}

Fleet::Fleet(const FleetOptions& options)
    : options_(options),
      reference_(options.seed, options.accounts),
      deployment_(options.seed, options.deployment, loop_.now()),
      directory_(loop_, deployment_),
      frames_roster_(loop_, false),
      flight_roster_(loop_, true),
      checker_(reference_, deployment_, classes(), kAttempts, options.slack) {
  for (std::size_t i = 0; i < options.nodes; ++i) {
    nodes_.push_back(std::make_unique<Node>(loop_, i, options.node, deployment_, reference_, options.seed,
                                            [this](const Node::Arrival& a) {
                                              checker_.record_arrival(a);
                                              check_drained_node(a);
                                            }));
    set_roster_phase(i, "ready");
  }
  for (std::size_t i = 0; i < options.aggregators; ++i) {
    Aggregator a;
    a.flight_nodes = over_flight(i);
    aggregators_.push_back(std::move(a));
    aggregators_[i].process = std::make_unique<Process>(loop_, options.program, config(i, 0), ops(i, 0));
    aggregators_[i].http =
        std::make_unique<HttpClients>(loop_, [this, i] { return aggregators_[i].http_port; });
    aggregators_[i].flight =
        std::make_unique<FlightClients>(loop_, [this, i] { return aggregators_[i].flight_port; });
  }
}

Fleet::~Fleet() {
  for (Aggregator& a : aggregators_) a.process->kill();
}

// Every third aggregator calls the nodes over Flight. With files none does: they hold one address for each
// node, that of the frame protocol.
bool Fleet::over_flight(std::size_t i) const { return i % 3 == 2 && options_.files_root.empty(); }

std::string Fleet::config(std::size_t i, int port) const {
  const Roster& roster = over_flight(i) ? flight_roster_ : frames_roster_;
  json services = json::array(), need = json::array(), floor = json::array(), partial = json::array();
  for (const ClassRule& c : classes()) {
    services.push_back({{"name", c.name},
                        {"objective", c.latency_target},
                        {"hard_limit", c.hard_limit},
                        {"gain", c.value},
                        {"late_share", c.late_value},
                        {"semantics", "free"}});
    need.push_back(1);
    floor.push_back(c.floor);
    partial.push_back(c.partial_value);
  }
  const NodeOptions& n = options_.node;
  return json{{"name", "lab-" + std::to_string(i)},
              {"listen", "127.0.0.1:" + std::to_string(port)},
              {"discovery", roster.address()},
              {"seed", std::to_string(1000 + i)},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
              {"known", options_.files_root.empty()
                            ? json::parse(roster.full_list())
                            : json{{"revision", 1}, {"complete", true}, {"members", json::array()}}},
              {"settings",
               {{"balancers", options_.aggregators},
                {"membership_mode", "on_request"},
                {"tick", 5},
                {"services", services},
                {"tenants", json::array({{{"name", "giros-unidos"}, {"quota_per_s", 100}},
                                         {{"name", "envios-andes"}, {"quota_per_s", 100}}})},
                {"extra",
                 {{"positions", 1},
                  {"reach", 1},
                  {"slabs", 0},
                  {"batch", 1},
                  {"need_by_class", need},
                  {"floor_by_class", floor},
                  {"partial_earns", partial}}},
                {"permissions",
                 {{"cancel", true},
                  {"max_attempts", kAttempts},
                  {"max_open", 4000},
                  {"streams_per_conn", 32},
                  {"conn_idle", 30000},
                  {"connect_timeout", 250},
                  {"retry_after", true},
                  {"max_retry_after", 2000}}},
                {"rules",
                 {{"must_ask_in", 10000},
                  {"drain_grace", kDrainGrace},
                  {"cold", n.warm_up_time},
                  {"cold_from", n.warm_up_initial_share},
                  {"fall", n.fall_time},
                  {"fall_multiple", n.fall_multiple}}},
                {"report", {{"how", "inline"}, {"fields", json::array({"busy_reqs"})}}}}}}
      .dump();
}

std::string Fleet::ops(std::size_t i, int port) const {
  return "<?xml version=\"1.0\"?>\n<winchhall xmlns=\"urn:winchhall:operator:1\">\n  <flight "
         "listen=\"127.0.0.1:" +
         std::to_string(port) + "\" nodes=\"" + (over_flight(i) ? "flight" : "frames") + "\"/>\n" +
         (options_.files_root.empty()
              ? "  <ranges directory=\"" + directory_.address() + "\"/>\n"
              : "  <files folder=\"" + options_.files_root + "/current\" store=\"" + options_.files_root +
                    "/store-" + std::to_string(i) + ".db\" drop-share-percent=\"60\"/>\n") +
         "</winchhall>\n";
}

void Fleet::start() {
  for (Aggregator& a : aggregators_) a.process->start();
  Millis end = loop_.now() + kReadyTimeout;
  for (Aggregator& a : aggregators_) {
    while (!a.process->logged("phase ready")) {
      loop_.run_once(20);
      int status = 0;
      if (loop_.now() > end || a.process->ended(status))
        throw std::runtime_error("aggregator not ready within 30 s, or ended while starting; its log:\n" +
                                 a.process->log());
    }
    a.http_port = a.process->number_after("listens on port ");
    a.flight_port = a.process->number_after("Flight on port ");
  }
}

void Fleet::run_once(Millis longest) {
  loop_.run_once(longest);
  for (std::size_t i = 0; i < aggregators_.size(); ++i) {
    int status = 0;
    if (aggregators_[i].process->ended(status))
      checker_.record_violation(
          "no crash", "aggregator " + std::to_string(i) + " ended with status " + std::to_string(status));
  }
}

Query Fleet::random_query(Random& random, std::uint64_t number) const {
  Query a;
  a.id = "q" + std::to_string(number);
  double which = random.unit();
  const ClassRule& c = classes()[which < 0.13 ? 0 : which < 0.75 ? 1 : 2];
  a.query_class = c.name;
  a.tenant = random.chance(0.5) ? "giros-unidos" : "envios-andes";
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random.bits()));
  a.text = text;
  a.key = random.below(3000);
  a.timeout = c.hard_limit * random.between(0.6, 1);
  // One to three disjoint spans, narrow for lookups and wide for the other classes, at random borders.
  for (std::size_t n = 1 + random.below(3); n > 0; --n) {
    double share = c.name == "transfer-lookup" ? random.between(0.0005, 0.06) : random.between(0.03, 0.12);
    auto size = static_cast<ranges::Key>(share * static_cast<double>(ranges::kKeyEnd));
    ranges::Key from = random.below(ranges::kKeyEnd - size);
    ranges::Span span{from, from + size};
    bool clear =
        std::none_of(a.spans.begin(), a.spans.end(), [&](const auto& s) { return s.overlaps(span); });
    if (clear) a.spans.push_back(span);
  }
  return a;
}

void Fleet::ask(std::size_t i, bool over_flight, const Query& query,
                std::function<void(const Reply&)> observer) {
  Aggregator& a = aggregators_[i];
  Millis at = loop_.now();
  checker_.record_query(query, at);
  ++open_queries_;
  ReplyCallback on_reply = [this, i, at, id = query.id, observer = std::move(observer)](Reply reply) {
    --open_queries_;
    if (observer) observer(reply);
    checker_.record_reply(id, reply, loop_.now(), aggregators_[i].killed_at >= at);
  };
  if (over_flight)
    a.flight->ask(query, std::move(on_reply));
  else
    a.http->ask(query, std::move(on_reply));
}

void Fleet::kill(std::size_t i) {
  aggregators_[i].killed_at = loop_.now();
  aggregators_[i].process->kill();
}

void Fleet::restart(std::size_t i) {
  Aggregator& a = aggregators_[i];
  a.process->write_config(config(i, a.http_port));
  a.process->write_operator_file(ops(i, a.flight_port));
  a.process->start();
}

void Fleet::set_roster_phase(std::size_t node, const std::string& phase) {
  RosterEntry e{
      nodes_[node]->name(),    nodes_[node]->frames_address(), nodes_[node]->flight_address(), 0, phase,
      nodes_[node]->up_since()};
  frames_roster_.set(e);
  flight_roster_.set(e);
}

void Fleet::drain(std::size_t node) {
  drained_at_[node] = loop_.now();
  set_roster_phase(node, "draining");
}
void Fleet::undrain(std::size_t node) {
  drained_at_.erase(node);
  set_roster_phase(node, "ready");
}
void Fleet::crash_node(std::size_t node) {
  nodes_[node]->crash();
  set_roster_phase(node, "gone");
}
void Fleet::restart_node(std::size_t node) {
  nodes_[node]->restart();
  set_roster_phase(node, "ready");
}

void Fleet::check_drained_node(const Node::Arrival& a) {
  auto it = drained_at_.find(a.node);
  if (it != drained_at_.end() && loop_.now() - it->second > kDrainGrace + options_.slack)
    checker_.record_violation("drains", a.part + " to " + SimulatedDeployment::node_name(a.node) + " " +
                                            std::to_string(loop_.now() - it->second) +
                                            " ms after the drain was published");
}

std::size_t Fleet::unexpected_replies() const {
  std::size_t n = 0;
  for (const Aggregator& a : aggregators_) n += a.http->unexpected_replies() + a.flight->unexpected_replies();
  return n;
}

void Fleet::check_final_state() {
  checker_.finish();
  if (unexpected_replies() > 0)
    checker_.record_violation("one answer",
                              std::to_string(unexpected_replies()) + " replies without an open query");
  for (const auto& node : nodes_)
    if (node->counts().failed_by_overload)
      checker_.record_violation("cold nodes", node->name() + " failed by overload while cold");
  for (const Aggregator& a : aggregators_)
    for (const char* words : {"query overdue", "answer covers less than the coordinator reported"})
      if (a.process->count(words) > 0)
        checker_.record_violation("module's word", std::string("the log holds: ") + words);
}

}  // namespace winchhall::testbed
