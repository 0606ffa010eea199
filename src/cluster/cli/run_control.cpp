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
  // A store that had to be replaced has lost its promises: the node comes back as a new member.
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
  process.on_settings([&node, &sampler](const NodeSettings& changed) {
    node.set_seeds(changed.seed_internal_addresses());
    sampler.set_seeds(changed.seed_internal_addresses());
  });
  process.on_stop([&node, &sampler](std::function<void()> done) {
    sampler.stop();
    node.shut_down(std::move(done));
  });
  node.start();
  sampler.start();
  process.run();
  return EXIT_SUCCESS;
}

}  // namespace winchhall::cluster
