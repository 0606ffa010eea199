// Sub-command `control`.
#include <boost/asio/post.hpp>
#include <cstdlib>

#include "cluster/cli/peer_sampling.hpp"
#include "cluster/cli/process.hpp"
#include "cluster/cli/roles.hpp"
#include "cluster/control/control_node.hpp"
#include "cluster/metrics/collectors.hpp"
#include "cluster/metrics/metrics_server.hpp"
#include "cluster/store/leveldb_store.hpp"

namespace winchhall::cluster {

leaf::result<int> run_control(NodeSettings settings, const RoleOptions& options) {
  Process process(std::move(settings));
  boost::asio::io_context& loop = process.loop();
  const auto post_to_loop = [&loop](std::function<void()> action) {
    boost::asio::post(loop, std::move(action));
  };
  BOOST_LEAF_AUTO(store, open_leveldb_store(process.settings().data_dir, post_to_loop));
  NodeSettings effective_settings = process.settings();
  // A store that replaces a corrupt one lacks the promises that this node made as an acceptor, so the node
  // must join the group as a new member.
  if (store->replaces_damaged()) effective_settings.bootstrap = false;
  ControlNode node(process.runtime(), *store, effective_settings);
  PeerSampler sampler(process.runtime(), own_descriptor(process.settings(), PeerRole::control),
                      [&node](const std::vector<Address>& nodes) { node.set_sampled_control(nodes); });
  sampler.set_seeds(process.settings().seed_internal_addresses());
  const RequestHandler handler = [&node, &sampler](const wire::Envelope& request,
                                                   const ReplyCallback& reply) {
    return sampler.handle(request, reply) || node.handle(request, reply);
  };
  BOOST_LEAF_CHECK(process.listen(process.settings().internal_address(), handler));
  const auto http = make_http_server(loop, process.settings().control,
                                     [&node](const HttpRequest& request, const HttpReplyCallback& reply) {
                                       node.handle_http(request, reply);
                                     });
  http->set_limits(kOperatorLimits);
  const auto metrics =
      make_metrics_server(loop, options.metrics_port, [&node, &http](MetricFamilies& families) {
        collect_control(node.inspection().status(), families);
        collect_http(*http, families);
      });
  run_with_sampler(process, sampler, node);
  return EXIT_SUCCESS;
}

}  // namespace winchhall::cluster
