// HTTP server for metrics in the Prometheus text format, on loopback: GET /metrics.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cluster/http/server.hpp"
#include "cluster/metrics/metric_families.hpp"

namespace winchhall::cluster {

// Appends the families of a process; called for each scrape, on the event loop.
using MetricCollector = std::function<void(MetricFamilies& families)>;

// The families in the Prometheus text format 0.0.4.
std::string metrics_text(const MetricFamilies& families);

// Listens on 127.0.0.1:`port` until the returned server is destroyed; every response also has the process
// metrics. Null: `port` is 0 (metrics are off), or listening failed, which is logged ("metrics_unavailable")
// and otherwise ignored. `loop` outlives the server, and so does everything that `collector` refers to.
std::unique_ptr<HttpServer> make_metrics_server(boost::asio::io_context& loop, std::uint16_t port,
                                                MetricCollector collector);

}  // namespace winchhall::cluster
