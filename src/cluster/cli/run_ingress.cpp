// Sub-command `ingress`.
#include <cstdlib>

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

}  // namespace winchhall::cluster
