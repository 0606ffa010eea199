// The roles of the program: its long-running sub-commands.
#pragma once

#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

// Settings of a role that the command line may override.
struct RoleOptions {
  std::uint16_t metrics_port = 0;  // on loopback; 0: metrics are off
};

// Each runs the process until SIGTERM or SIGINT and returns its exit code. Errors: NngFailure, StoreFailure,
// UnsupportedStoreFormat. Throws boost::system::system_error if an HTTP address can't be listened on.
leaf::result<int> run_control(NodeSettings settings, const RoleOptions& options);
leaf::result<int> run_ingress(NodeSettings settings, const RoleOptions& options);
leaf::result<int> run_agent(NodeSettings settings, const RoleOptions& options);
leaf::result<int> run_worker_agent(NodeSettings settings, const RoleOptions& options);

}  // namespace winchhall::cluster
