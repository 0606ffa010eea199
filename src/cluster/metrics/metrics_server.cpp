#include "cluster/metrics/metrics_server.hpp"

#include <prometheus/text_serializer.h>

#include <boost/system/system_error.hpp>

#include "cluster/common/log.hpp"
#include "cluster/metrics/collectors.hpp"

namespace winchhall::cluster {

namespace {

constexpr std::size_t kMaxMetricsConnections = 8;
constexpr const char* kContentType = "text/plain; version=0.0.4; charset=utf-8";

HttpResponse metrics_response(const MetricCollector& collector) {
  MetricFamilies families;
  collect_process(families);
  collector(families);
  HttpResponse response = json_response(200, metrics_text(families));
  response.set(boost::beast::http::field::content_type, kContentType);
  return response;
}

}  // namespace

std::string metrics_text(const MetricFamilies& families) {
  return prometheus::TextSerializer().Serialize(families);
}

std::unique_ptr<HttpServer> make_metrics_server(boost::asio::io_context& loop, std::uint16_t port,
                                                MetricCollector collector) {
  if (port == 0) return nullptr;
  const Address address = "127.0.0.1:" + std::to_string(port);
  const auto handler = [collector = std::move(collector)](const HttpRequest& request,
                                                          const HttpReplyCallback& reply) {
    const bool known = request.target() == "/metrics";
    reply(known ? metrics_response(collector) : json_response(404, "{}"));
  };
  try {
    return make_http_server(loop, address, handler, kMaxMetricsConnections);
  } catch (const boost::system::system_error& error) {
    log_event(LogLevel::warning, "metrics_unavailable",
              {{"address", address}, {"detail", std::string(error.what())}});
    return nullptr;
  }
}

}  // namespace winchhall::cluster
