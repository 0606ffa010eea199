// Start-up time, memory at rest and CPU time per query of two builds of the program. They are measured
// alternately so that other load on the machine affects both equally.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "testbed/clients.hpp"
#include "testbed/experiments.hpp"
#include "testbed/histogram.hpp"
#include "testbed/process.hpp"
#include "testbed/prompt_leaf.hpp"

namespace winchhall::testbed {
namespace {

using nlohmann::json;
constexpr int kConcurrentQueries = 8;   // keeps the aggregator busy without overload
constexpr Millis kRunTimeout = 120000;  // only ends a run that hangs

std::string config(const std::vector<std::unique_ptr<PromptLeaf>>& leafs) {
  json members = json::array();
  for (std::size_t i = 0; i < leafs.size(); ++i)
    members.push_back({{"id", "leaf-" + std::to_string(i)},
                       {"host_port", "127.0.0.1:" + std::to_string(leafs[i]->port())},
                       {"cell", i},
                       {"phase", "ready"},
                       {"size", 1.0},
                       {"up_since_ms", 0}});
  return json{{"name", "cost"},
              {"listen", "127.0.0.1:0"},
              {"discovery", ""},  // the list of leafs is fixed
              {"seed", "7"},
              {"limits", {{"sockets", 1024}}},
              {"known", {{"revision", 1}, {"complete", true}, {"members", members}}},
              {"settings",
               {{"balancers", 3},
                {"membership_mode", "pushed"},
                {"tick", 5},
                {"services", json::array({{{"name", "lookup"},
                                           {"objective", 2500},
                                           {"hard_limit", 7500},
                                           {"late_share", 0.3},
                                           {"gain", 1},
                                           {"semantics", "free"}}})},
                {"extra",
                 {{"positions", leafs.size()},
                  {"reach", 3},
                  {"slabs", 2 * leafs.size()},
                  {"need_by_class", json::array({1})},
                  {"floor_by_class", json::array({1})}}},
                {"permissions",
                 {{"cancel", true},
                  {"max_attempts", 3},
                  {"max_open", 400},
                  {"streams_per_conn", 32},
                  {"conn_idle", 30000},
                  {"connect_timeout", 250}}},
                {"rules", {{"must_ask_in", 10000}, {"drain_grace", 2000}}},
                {"report", {{"how", "inline"}, {"fields", json::array({"busy_reqs"})}}}}}}
      .dump();
}

struct Usage {
  double cpu_ms = 0, resident_kb = 0;
};

Usage usage(pid_t pid) {
  Usage u;
  std::ifstream sched("/proc/" + std::to_string(pid) + "/schedstat");  // first field: ns of CPU time
  double ns = 0;
  sched >> ns;
  u.cpu_ms = ns / 1e6;
  std::ifstream pages("/proc/" + std::to_string(pid) + "/statm");
  double size = 0, resident = 0;
  pages >> size >> resident;
  u.resident_kb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
  return u;
}

struct Cost {
  std::vector<double> start_ms, resident_kb, cpu_us;
  double median(std::vector<double> list) const {
    std::sort(list.begin(), list.end());
    return list.empty() ? 0 : list[list.size() / 2];
  }
};

void measure(const std::string& program, std::size_t queries, Cost& cost) {
  event_loop::Loop loop;
  std::vector<std::unique_ptr<PromptLeaf>> leafs;
  for (int i = 0; i < 12; ++i) leafs.push_back(std::make_unique<PromptLeaf>(loop));
  Process process(loop, program, config(leafs), "");
  Millis begin = loop.now(), end = begin + kRunTimeout;
  process.start();
  while (!process.logged("phase ready") && loop.now() < end) loop.run_once(1);
  cost.start_ms.push_back(loop.now() - begin);
  int port = process.number_after("listens on port ");
  Usage at_rest = usage(process.pid());
  cost.resident_kb.push_back(at_rest.resident_kb);
  HttpClients clients(loop, [port] { return port; });
  std::size_t asked = 0, answered = 0, failed = 0;
  std::function<void()> next = [&] {
    if (asked >= queries) return;
    json parts = json::array();
    for (std::size_t k = 0; k < 8; ++k)
      parts.push_back({{"id", (asked + k) % 24}, {"w", 0.125}, {"hint", 9000 + 100 * k}});
    std::string body = json{{"parts", parts}, {"expr", "c41e77d0"}}.dump();
    std::string request =
        "POST /lookup?k=7f3a HTTP/1.1\r\nHost: x\r\nX-Request-ID: c" + std::to_string(++asked) +
        "\r\nX-Timeout: 7000m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    clients.ask(request, [&](Reply reply) {
      ++(reply.kind == Reply::Kind::answered && reply.whole ? answered : failed);
      next();
    });
  };
  for (int i = 0; i < kConcurrentQueries; ++i) next();
  while (answered + failed < queries && loop.now() < end) loop.run_once(20);
  if (answered != queries)
    throw std::runtime_error(program + ": " + std::to_string(failed) + " of " + std::to_string(queries) +
                             " queries failed");
  cost.cpu_us.push_back((usage(process.pid()).cpu_ms - at_rest.cpu_ms) * 1000 / static_cast<double>(queries));
  process.signal(SIGTERM);  // an orderly shutdown, so that a profiled program writes its profile
  int status = 0;
  while (!process.ended(status) && loop.now() < end) loop.run_once(20);
}

}  // namespace

int platform_cost(const PlatformCostOptions& o) {
  Cost before, current;
  for (std::size_t i = 0; i < o.rounds; ++i) {
    measure(o.before, o.queries, before);
    measure(o.common.program, o.queries, current);
  }
  auto row = [](const char* name, const Cost& c) {
    std::printf("%-8s start %6.1f ms  resident at rest %6.0f kB  CPU %6.1f us per query\n", name,
                c.median(c.start_ms), c.median(c.resident_kb), c.median(c.cpu_us));
  };
  row("before", before);
  row("now", current);
  double ratio = current.median(current.cpu_us) / before.median(before.cpu_us);
  std::printf("CPU per query: %.3f of before (medians of %zu rounds of %zu queries of 8 parts)\n", ratio,
              o.rounds, o.queries);
  if (!o.common.json.empty())
    std::ofstream(o.common.json) << json{{"experiment", "platform-cost"},
                                         {"rounds", o.rounds},
                                         {"queries", o.queries},
                                         {"before",
                                          {{"start_ms", before.start_ms},
                                           {"resident_kb", before.resident_kb},
                                           {"cpu_us", before.cpu_us}}},
                                         {"now",
                                          {{"start_ms", current.start_ms},
                                           {"resident_kb", current.resident_kb},
                                           {"cpu_us", current.cpu_us}}},
                                         {"cpu_ratio", ratio}}
                                        .dump(2)
                                 << "\n";
  return ratio <= o.max_cpu_ratio ? 0 : 1;
}

}  // namespace winchhall::testbed
