// Sub-commands `ingress` and `agent`.
#include <cstdlib>

#include "cluster/agent/edge_agent.hpp"
#include "cluster/cli/peer_sampling.hpp"
#include "cluster/cli/process.hpp"
#include "cluster/cli/roles.hpp"
#include "cluster/ingress/ingress.hpp"
#include "cluster/metrics/collectors.hpp"
#include "cluster/metrics/metrics_server.hpp"

namespace winchhall::cluster {

leaf::result<int> run_ingress(NodeSettings settings, const RoleOptions& options) {
  Process process(std::move(settings));
  Ingress ingress(process.runtime(), process.settings(), process.loop());
  const auto metrics =
      make_metrics_server(process.loop(), options.metrics_port, [&ingress](MetricFamilies& families) {
        if (ingress.front()) collect_http(*ingress.front(), families);
      });
  process.on_stop([&ingress](std::function<void()> done) { ingress.shut_down(std::move(done)); });
  ingress.start();
  process.run();
  return EXIT_SUCCESS;
}

leaf::result<int> run_agent(NodeSettings settings, const RoleOptions& options) {
  Process process(std::move(settings));
  EdgeAgent agent(process.runtime(), process.settings());
  const RequestHandler handler = [&agent](const wire::Envelope& request, const ReplyCallback& reply) {
    return agent.handle(request, reply);
  };
  BOOST_LEAF_CHECK(process.listen(process.settings().agent_listener_address(), handler));
  PeerSampler sampler(process.runtime(), own_descriptor(process.settings(), PeerRole::agent),
                      [&agent](const std::vector<Address>& nodes) { agent.set_sampled_control(nodes); });
  sampler.set_seeds(process.settings().seed_internal_addresses());
  listen_for_shuffles(process, sampler);
  const auto metrics =
      make_metrics_server(process.loop(), options.metrics_port, [&agent](MetricFamilies& families) {
        collect_agent(agent.in_touch(), agent.view().version(), families);
      });
  process.on_settings([&agent, &sampler](const NodeSettings& changed) {
    agent.set_seeds(changed.seed_internal_addresses());
    sampler.set_seeds(changed.seed_internal_addresses());
  });
  process.on_stop([&agent, &sampler](std::function<void()> done) {
    sampler.stop();
    agent.shut_down(std::move(done));
  });
  agent.start();
  sampler.start();
  process.run();
  return EXIT_SUCCESS;
}

}  // namespace winchhall::cluster
