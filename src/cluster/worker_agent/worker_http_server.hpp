// The HTTP server through which a leaf calls its worker-agent.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "cluster/http/server.hpp"
#include "cluster/worker_agent/worker_agent.hpp"

namespace winchhall::cluster {

// Returns a handler for `POST /v1/Instances.Heartbeat/ID` and `POST /v1/Instances.Deregister/ID`. It responds
// 404 to other paths and 405 to other methods. `agent` must outlive the handler.
HttpHandler make_worker_http_handler(WorkerAgent& agent);

// Owns an HTTP server for the leaf's calls, which listens as long as the object exists and runs on the thread
// that runs `loop`.
class WorkerHttpServer {
 public:
  // `address` is the `control` address of the settings. `loop` and `agent` must outlive the server. Throws
  // the same exceptions as `make_http_server`.
  WorkerHttpServer(boost::asio::io_context& loop, const Address& address, WorkerAgent& agent);

 private:
  std::unique_ptr<HttpServer> server_;
};

}  // namespace winchhall::cluster
