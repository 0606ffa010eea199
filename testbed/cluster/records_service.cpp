#include "testbed/cluster/records_service.hpp"

#include <cstdio>

namespace winchhall::testbed::cluster {

namespace {

constexpr const char* kHost = "demo.example";
constexpr std::chrono::milliseconds kServiceCallTimeout{4000};

// The patch of version `base_version` that makes the next version. `changes`: its fields beside the version.
ConfigurationChange patch_after(std::uint64_t base_version, const std::string& changes) {
  ConfigurationChange change;
  change.base_version = base_version;
  change.version = base_version + 1;
  change.path = "/v1/Config.Patch";
  change.body = R"({"version":)" + std::to_string(change.version) + "," + changes + "}";
  return change;
}

}  // namespace

ConfigurationChange first_configuration(unsigned max_retries) {
  const std::string body =
      R"({"version":1,"routes":[{"name":"extract","hostname":"demo.example","path_prefix":"/extract/",)"
      R"("route_type":"unsafe","timeout_ms":3000,"target_latency_ms":800,"priority":0,"backend":"records",)"
      R"("max_retries":)" +
      std::to_string(max_retries) +
      R"(,"stretch":1.5}],"services":[{"name":"records","health_check_path":"/health",)"
      R"("max_connections":64,"protocol":"h1","tls":false,"preconditions":false}],"limits":{}})";
  return {0, 1, "", "/v1/Config.Put", body};
}

ConfigurationChange add_route(std::uint64_t base_version) {
  const std::string route = "step-" + std::to_string(base_version + 1);
  ConfigurationChange change =
      patch_after(base_version, R"("upsert":{"routes":[{"name":")" + route +
                                    R"(","hostname":"demo.example","path_prefix":"/)" + route +
                                    R"(/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":800,)"
                                    R"("priority":2,"backend":"records","max_retries":3,"stretch":2.5}]})");
  change.route = route;
  return change;
}

ConfigurationChange route_queue_to(std::uint64_t base_version, const std::string& service,
                                   unsigned max_retries) {
  return patch_after(
      base_version,
      R"("upsert":{"services":[{"name":"records"},{"name":"archive"}],"routes":[{"name":"extract",)"
      R"("hostname":"demo.example","path_prefix":"/extract/","route_type":"unsafe",)"
      R"("timeout_ms":3000,"target_latency_ms":800,"priority":0,"backend":")" +
          service + R"(","max_retries":)" + std::to_string(max_retries) + R"(,"stretch":1.5}]})");
}

ConfigurationChange remove_queue(std::uint64_t base_version) {
  return patch_after(base_version, R"("delete":{"routes":["extract"]})");
}

ConfigurationChange delete_archive(std::uint64_t base_version) {
  return patch_after(base_version, R"("delete":{"services":["archive"]})");
}

HttpCall configuration_call(const ConfigurationChange& change, const std::string& control_address) {
  HttpCall call;
  call.address = control_address;
  call.method = "POST";
  call.target = change.path;
  call.body = change.body;
  call.headers.push_back({"X-Winchhall-Base-Version", std::to_string(change.base_version)});
  call.timeout = kServiceCallTimeout;
  return call;
}

bool acknowledges(const HttpCallResponse& response, const ConfigurationChange& change) {
  const std::string expected_text = R"("version":)" + std::to_string(change.version) + "}";
  return response.status == kHttpOk && response.body.find(expected_text) != std::string::npos;
}

HttpCall job_call(const std::string& front_address, const std::string& method, const std::string& job,
                  const std::string& body) {
  HttpCall call;
  call.address = front_address;
  call.method = method;
  call.target = "/extract/" + job;
  call.host = kHost;
  call.body = body;
  call.timeout = kServiceCallTimeout;
  return call;
}

std::string job_id(std::uint64_t number) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(number));
  return digits;
}

}  // namespace winchhall::testbed::cluster
