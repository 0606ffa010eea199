// HTTP face of the worker-agent: the two calls of a leaf.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "cluster/http/server.hpp"
#include "cluster/worker_agent/worker_agent.hpp"

namespace winchhall::cluster {

// Handles `POST /v1/Instances.Heartbeat/ID` and `POST /v1/Instances.Deregister/ID`; 404 for other paths, 405
// for other methods. `agent` outlives the handler.
HttpHandler make_worker_http_handler(WorkerAgent& agent);

// The listener for the leaf.
class WorkerHttpServer {
 public:
  // `address`: the `control` address of the settings. Throws as `make_http_server` does.
  WorkerHttpServer(boost::asio::io_context& loop, const Address& address, WorkerAgent& agent);

 private:
  std::unique_ptr<HttpServer> server_;
};

}  // namespace winchhall::cluster
