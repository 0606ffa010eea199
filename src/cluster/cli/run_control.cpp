// Sub-command `control`.
#include <boost/asio/post.hpp>
#include <cstdlib>

#include "cluster/cli/process.hpp"
#include "cluster/cli/roles.hpp"
#include "cluster/control/control_node.hpp"
#include "cluster/store/level_store.hpp"

namespace winchhall::cluster {

leaf::result<int> run_control(NodeSettings settings) {
  Process process(std::move(settings));
  boost::asio::io_context& loop = process.loop();
  const auto post_to_loop = [&loop](std::function<void()> action) {
    boost::asio::post(loop, std::move(action));
  };
  BOOST_LEAF_AUTO(store, open_level_store(process.settings().data_dir, post_to_loop));
  ControlNode node(process.runtime(), *store, process.settings());
  BOOST_LEAF_CHECK(process.listen(
      process.settings().internal_address(),
      [&node](const wire::Envelope& request, const Replier& reply) { return node.handle(request, reply); }));
  const auto http =
      make_http_server(loop, process.settings().control,
                       [&node](HttpRequest request, HttpReplier reply) { node.handle_http(request, reply); });
  process.on_stop([&node](std::function<void()> done) { node.shut_down(std::move(done)); });
  node.start();
  process.run();
  return EXIT_SUCCESS;
}

}  // namespace winchhall::cluster
