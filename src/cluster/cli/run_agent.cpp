// Sub-command `agent`.
#include <cstdlib>

#include "cluster/agent/edge_agent.hpp"
#include "cluster/cli/peer_sampling.hpp"
#include "cluster/cli/process.hpp"
#include "cluster/cli/roles.hpp"
#include "cluster/metrics/collectors.hpp"
#include "cluster/metrics/metrics_server.hpp"

namespace winchhall::cluster {

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
        collect_agent(agent.has_quorum_contact(), agent.view().version(), families);
      });
  run_with_sampler(process, sampler, agent);
  return EXIT_SUCCESS;
}

}  // namespace winchhall::cluster
