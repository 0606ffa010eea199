#include "cluster/metrics/collectors.hpp"

namespace winchhall::cluster {

void collect_http(const HttpServer& server, MetricFamilies& families) {
  FamilyBuilder answers = counter_family("winchhall_http_answers_total", "HTTP answers by status.");
  for (const auto& [status, count] : server.responses_by_status()) {
    answers.add(static_cast<double>(count), {{"status", std::to_string(status)}});
  }
  families.push_back(answers.build());
  FamilyBuilder connections = gauge_family("winchhall_http_connections", "Open HTTP connections.");
  connections.add(static_cast<double>(server.open_connections()));
  families.push_back(connections.build());
  FamilyBuilder requests = gauge_family("winchhall_http_requests_open", "HTTP requests not yet answered.");
  requests.add(static_cast<double>(server.open_requests()));
  families.push_back(requests.build());
}

}  // namespace winchhall::cluster
