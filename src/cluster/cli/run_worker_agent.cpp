// Sub-command `worker-agent`.
#include <cstdlib>

#include "cluster/cli/process.hpp"
#include "cluster/cli/roles.hpp"
#include "cluster/worker_agent/worker_agent.hpp"
#include "cluster/worker_agent/worker_http.hpp"

namespace winchhall::cluster {

leaf::result<int> run_worker_agent(NodeSettings settings) {
  Process process(std::move(settings));
  WorkerAgent worker(process.runtime(), process.settings());
  WorkerHttp http(process.loop(), process.settings().control, worker);
  process.on_stop([&worker](std::function<void()> done) { worker.shut_down(std::move(done)); });
  worker.start();
  process.run();
  return EXIT_SUCCESS;
}

}  // namespace winchhall::cluster
