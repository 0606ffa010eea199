// Serves metrics in the Prometheus text format on loopback: GET /metrics.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cluster/http/server.hpp"
#include "cluster/metrics/metric_families.hpp"

namespace winchhall::cluster {

// Adds the families of a process; called for each request, on the event loop.
using MetricCollector = std::function<void(MetricFamilies& families)>;

// The families as text.
std::string metrics_text(const MetricFamilies& families);

// Listens on 127.0.0.1. Null: `port` is 0 (metrics are off), or it can't be listened on, which is logged
// ("metrics_unavailable") and ends nothing.
std::unique_ptr<HttpServer> make_metrics_server(boost::asio::io_context& loop, std::uint16_t port,
                                                MetricCollector collector);

}  // namespace winchhall::cluster
