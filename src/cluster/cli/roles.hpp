// The long-running sub-commands: each runs one process until it is stopped and returns its exit code.
#pragma once

#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

// What the command line adds to the settings.
struct RoleOptions {
  std::uint16_t metrics_port = 0;  // on loopback; 0: no metrics
};

leaf::result<int> run_control(NodeSettings settings, const RoleOptions& options);
leaf::result<int> run_ingress(NodeSettings settings, const RoleOptions& options);
leaf::result<int> run_agent(NodeSettings settings, const RoleOptions& options);
leaf::result<int> run_worker_agent(NodeSettings settings, const RoleOptions& options);

}  // namespace winchhall::cluster
