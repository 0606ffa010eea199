// Metrics of the parts of a process, gathered when they are asked for.
#pragma once

#include "cluster/control/node_inspection.hpp"
#include "cluster/http/server.hpp"
#include "cluster/metrics/metric_families.hpp"

namespace winchhall::cluster {

// Processor time and memory of this process.
void collect_process(MetricFamilies& families);
// Answers and connections of one HTTP server.
void collect_http(const HttpServer& server, MetricFamilies& families);
// An agent's link to the control group.
void collect_agent(bool has_quorum_contact, std::uint64_t configuration_version, MetricFamilies& families);
// The control group, and the services that this node leads.
void collect_control(const ControlStatus& status, MetricFamilies& families);

}  // namespace winchhall::cluster
