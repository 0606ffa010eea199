// Sub-command `worker-agent`.
#include <cstdlib>

#include "cluster/cli/peer_sampling.hpp"
#include "cluster/cli/process.hpp"
#include "cluster/cli/roles.hpp"
#include "cluster/metrics/metrics_server.hpp"
#include "cluster/worker_agent/worker_agent.hpp"
#include "cluster/worker_agent/worker_http_server.hpp"

namespace winchhall::cluster {

leaf::result<int> run_worker_agent(NodeSettings settings, const RoleOptions& options) {
  Process process(std::move(settings));
  WorkerAgent worker(process.runtime(), process.settings());
  WorkerHttpServer http(process.loop(), process.settings().control, worker);
  PeerSampler sampler(process.runtime(), own_descriptor(process.settings(), PeerRole::worker_agent),
                      [&worker](const std::vector<Address>& nodes) { worker.set_sampled_control(nodes); });
  sampler.set_seeds(process.settings().seed_internal_addresses());
  listen_for_shuffles(process, sampler);
  const auto metrics = make_metrics_server(process.loop(), options.metrics_port,
                                           [](MetricFamilies&) {});  // the process' own figures only
  process.on_settings([&worker, &sampler](const NodeSettings& changed) {
    worker.set_seeds(changed.seed_internal_addresses());
    sampler.set_seeds(changed.seed_internal_addresses());
  });
  process.on_stop([&worker, &sampler](std::function<void()> done) {
    sampler.stop();
    worker.shut_down(std::move(done));
  });
  worker.start();
  sampler.start();
  process.run();
  return EXIT_SUCCESS;
}

}  // namespace winchhall::cluster
