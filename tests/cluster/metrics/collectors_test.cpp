// Metric families, their text format, and the metrics server on loopback.
#include "cluster/metrics/collectors.hpp"

#include <catch2/catch.hpp>
#include <string>

#include "cluster/metrics/metrics_server.hpp"
#include "tests/cluster/support/loopback_client.hpp"

using namespace winchhall::cluster;

namespace {

constexpr Millis kTimeout{5000};

bool has_line(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

ControlStatus leading_status() {
  ControlStatus status;
  status.has_quorum_contact = true;
  status.configuration_version = 12;
  ServiceStatus service;
  service.service = "core";
  service.leads = true;
  service.leases_acquired = 2;
  service.stats.waiting_tasks = 4;
  service.stats.counters.jobs_accepted = 6;
  service.stats.counters.tasks_started = 8;
  service.stats.counters.ends[wire::END_FAILED] = 3;
  service.stats.counters.runs_adopted = 9;
  service.stats.counters.surplus_runs = 1;
  service.stats.counters.leaf_leases_expired = 5;
  service.stats.counters.unexpected_runs = 11;
  service.stats.counters.lost_runs[static_cast<std::size_t>(RunLossReason::missing)] = 2;
  service.stats.unsynchronized_leaves = 7;
  service.write_times.add(Millis(4));
  service.write_times.add(Millis(4000));
  status.services.push_back(service);
  return status;
}

}  // namespace

TEST_CASE("a control node's status is exported as metrics") {
  MetricFamilies families;
  collect_control(leading_status(), families);
  const std::string text = metrics_text(families);
  CHECK(has_line(text, "# TYPE winchhall_jobs_accepted_total counter"));
  CHECK(has_line(text, "winchhall_in_touch 1"));
  CHECK(has_line(text, "winchhall_configuration_version 12"));
  CHECK(has_line(text, "winchhall_jobs_accepted_total{service=\"core\"} 6"));
  CHECK(has_line(text, "winchhall_tasks_started_total{service=\"core\"} 8"));
  CHECK(has_line(text, "winchhall_tasks_waiting{service=\"core\"} 4"));
  CHECK(has_line(text, "winchhall_leases_acquired_total{service=\"core\"} 2"));
  CHECK(has_line(text, "winchhall_runs_adopted_total{service=\"core\"} 9"));
  CHECK(has_line(text, "winchhall_surplus_runs_total{service=\"core\"} 1"));
  CHECK(has_line(text, "winchhall_leaf_leases_expired_total{service=\"core\"} 5"));
  CHECK(has_line(text, "winchhall_leaves_awaited{service=\"core\"} 7"));
  CHECK(has_line(text, "winchhall_task_ends_total{service=\"core\",kind=\"failed\"} 3"));
  CHECK(has_line(text, "winchhall_unexpected_runs_total{service=\"core\"} 11"));
  CHECK(has_line(text, "winchhall_runs_lost_total{service=\"core\",reason=\"missing\"} 2"));
}

TEST_CASE("durations are counted in cumulative buckets") {
  MetricFamilies families;
  collect_control(leading_status(), families);
  const std::string text = metrics_text(families);
  const std::string bucket = "winchhall_quorum_write_seconds_bucket{service=\"core\",le=";
  CHECK(has_line(text, bucket + "\"0.002\"} 0"));
  CHECK(has_line(text, bucket + "\"0.005\"} 1"));
  CHECK(has_line(text, bucket + "\"1\"} 1"));
  CHECK(has_line(text, bucket + "\"+Inf\"} 2"));
  CHECK(has_line(text, "winchhall_quorum_write_seconds_count{service=\"core\"} 2"));
}

TEST_CASE("metrics are disabled without a port") {
  boost::asio::io_context loop;
  CHECK(make_metrics_server(loop, 0, [](MetricFamilies&) {}) == nullptr);
}

TEST_CASE("a port in use disables metrics without an error") {
  boost::asio::io_context loop;
  const auto taken =
      make_http_server(loop, "127.0.0.1:0", [](const HttpRequest&, const HttpReplyCallback&) {});
  CHECK(make_metrics_server(loop, taken->port(), [](MetricFamilies&) {}) == nullptr);
}

TEST_CASE("metrics are served on loopback, with responses counted by status") {
  boost::asio::io_context loop;
  // A port that was free a moment ago.
  unsigned short port =
      make_http_server(loop, "127.0.0.1:0", [](const HttpRequest&, const HttpReplyCallback&) {})->port();
  std::unique_ptr<HttpServer> server;
  server = make_metrics_server(loop, port,
                               [&server](MetricFamilies& families) { collect_http(*server, families); });
  REQUIRE(server);
  winchhall::cluster::testing::LoopbackClient client(loop, port);
  const auto scrape = [&](const std::string& path, const std::string& awaited) {
    client.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto end = SteadyClock::now() + kTimeout;
    while (!client.has(awaited) && SteadyClock::now() < end) loop.run_one_for(Millis(50));
    return client.has(awaited);
  };
  CHECK(scrape("/other", "404 Not Found"));
  CHECK(scrape("/metrics", "winchhall_http_answers_total{status=\"404\"} 1\n"));
  CHECK(client.has("text/plain; version=0.0.4"));
  CHECK(client.has("process_cpu_seconds_total"));
}
