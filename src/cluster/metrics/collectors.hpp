// Collectors of the metrics of a process. They read the current values at each scrape, on the event loop, and
// append metric families to `families`. Metric names and labels are an interface: dashboards and alerts use
// them.
#pragma once

#include "cluster/control/node_inspection.hpp"
#include "cluster/http/server.hpp"
#include "cluster/metrics/metric_families.hpp"

namespace winchhall::cluster {

// Processor time (seconds) and peak resident memory (bytes) of this process. Appends nothing if the operating
// system doesn't report them.
void collect_process(MetricFamilies& families);
// Responses by status, open connections and open requests of one HTTP server.
void collect_http(const HttpServer& server, MetricFamilies& families);
// An agent's contact with the control group, and the newest configuration version that it knows.
void collect_agent(bool has_quorum_contact, std::uint64_t configuration_version, MetricFamilies& families);
// A control node: contact with the control group, configuration version, members, and the counters, gauges
// and write times of every service.
void collect_control(const ControlStatus& status, MetricFamilies& families);

}  // namespace winchhall::cluster
