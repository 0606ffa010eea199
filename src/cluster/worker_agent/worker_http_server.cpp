#include "cluster/worker_agent/worker_http_server.hpp"

#include <optional>
#include <string_view>

namespace winchhall::cluster {
namespace {

constexpr std::string_view kHeartbeatPath = "/v1/Instances.Heartbeat/";
constexpr std::string_view kDeregisterPath = "/v1/Instances.Deregister/";
constexpr std::uint32_t kMaxHeartbeatBytes = 4U << 20U;
constexpr std::uint32_t kIdleTimeoutMs = 60'000;

// Returns the id that follows `prefix` in `path`, or nothing if the path has another prefix.
std::optional<std::string> id_after_prefix(std::string_view path, std::string_view prefix) {
  if (path.substr(0, prefix.size()) != prefix) return std::nullopt;
  return std::string(path.substr(prefix.size()));
}

std::string_view path_of(const HttpRequest& request) {
  const std::string_view target(request.target().data(), request.target().size());
  return target.substr(0, target.find('?'));
}

LeafReplyCallback make_leaf_reply_callback(HttpReplyCallback reply) {
  return [reply = std::move(reply)](LeafResponse response) {
    reply(json_response(response.status, std::move(response.body)));
  };
}

void handle(WorkerAgent& agent, const HttpRequest& request, HttpReplyCallback reply) {
  const std::string_view path = path_of(request);
  const std::optional<std::string> heartbeat = id_after_prefix(path, kHeartbeatPath);
  const std::optional<std::string> deregister = id_after_prefix(path, kDeregisterPath);
  if (!heartbeat && !deregister) return reply(json_response(404, "{}"));
  if (request.method() != boost::beast::http::verb::post) return reply(json_response(405, "{}"));
  if (heartbeat)
    return agent.on_heartbeat(*heartbeat, request.body(), make_leaf_reply_callback(std::move(reply)));
  agent.on_deregister(*deregister, make_leaf_reply_callback(std::move(reply)));
}

}  // namespace

HttpHandler make_worker_http_handler(WorkerAgent& agent) {
  return [&agent](const HttpRequest& request, HttpReplyCallback reply) {
    handle(agent, request, std::move(reply));
  };
}

WorkerHttpServer::WorkerHttpServer(boost::asio::io_context& loop, const Address& address, WorkerAgent& agent)
    : server_(make_http_server(loop, address, make_worker_http_handler(agent))) {
  RequestLimits limits;
  limits.max_body_bytes = kMaxHeartbeatBytes;
  limits.idle_timeout_ms = kIdleTimeoutMs;
  server_->set_limits(limits);
}

}  // namespace winchhall::cluster
