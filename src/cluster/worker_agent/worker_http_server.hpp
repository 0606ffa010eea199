// The HTTP interface of the worker-agent for its leaf.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "cluster/http/server.hpp"
#include "cluster/worker_agent/worker_agent.hpp"

namespace winchhall::cluster {

// Handles `POST /v1/Instances.Heartbeat/ID` and `POST /v1/Instances.Deregister/ID`; responds 404 to other
// paths and 405 to other methods. `agent` outlives the handler.
HttpHandler make_worker_http_handler(WorkerAgent& agent);

// Listens for the leaf's calls for as long as the object lives, on the thread that runs `loop`.
class WorkerHttpServer {
 public:
  // `address`: the settings' `control` address. `loop` and `agent` outlive the server. Throws as
  // `make_http_server` does.
  WorkerHttpServer(boost::asio::io_context& loop, const Address& address, WorkerAgent& agent);

 private:
  std::unique_ptr<HttpServer> server_;
};

}  // namespace winchhall::cluster
