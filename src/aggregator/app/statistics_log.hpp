// Periodic log lines with the counters of the serving program.
#pragma once

#include <cstddef>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/dynamic_config/file_config_source.hpp"
#include "aggregator/http/range_directory.hpp"

namespace winchhall::app {

// One line per query class, with its counters since the start.
void log_query_counters(const coordination::RequestRouter& router);
// Open queries, attempts and connections, and the peak resident size of the process in KiB (-1 if unknown).
void log_open_work(const coordination::RequestRouter& router, std::size_t client_connections,
                   std::size_t server_connections);
// Revision and size of the range map, effects of its changes on open queries, and the directory's counters.
void log_ranges(const coordination::RequestRouter& router, const http::RangeDirectory& directory);
// Current configuration generation and the counters of the file source.
void log_files(dynamic_config::FileConfigSource& files);

}  // namespace winchhall::app
