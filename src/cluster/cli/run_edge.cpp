// Sub-commands `ingress` and `agent`.
#include <cstdlib>

#include "cluster/agent/agent.hpp"
#include "cluster/cli/process.hpp"
#include "cluster/cli/roles.hpp"
#include "cluster/ingress/ingress.hpp"

namespace winchhall::cluster {

leaf::result<int> run_ingress(NodeSettings settings) {
  Process process(std::move(settings));
  Ingress ingress(process.runtime(), process.settings(), process.loop());
  process.on_stop([&ingress](std::function<void()> done) { ingress.shut_down(std::move(done)); });
  ingress.start();
  process.run();
  return EXIT_SUCCESS;
}

leaf::result<int> run_agent(NodeSettings settings) {
  Process process(std::move(settings));
  Agent agent(process.runtime(), process.settings());
  const RequestHandler handler = [&agent](const wire::Envelope& request, const Replier& reply) {
    return agent.handle(request, reply);
  };
  BOOST_LEAF_CHECK(process.listen(process.settings().feed_address(), handler));
  process.on_stop([&agent](std::function<void()> done) { agent.shut_down(std::move(done)); });
  agent.start();
  process.run();
  return EXIT_SUCCESS;
}

}  // namespace winchhall::cluster
