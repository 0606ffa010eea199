// The long-running sub-commands: each runs one process until it is stopped and returns its exit code.
#pragma once

#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

leaf::result<int> run_control(NodeSettings settings);
leaf::result<int> run_ingress(NodeSettings settings);
leaf::result<int> run_agent(NodeSettings settings);
leaf::result<int> run_worker_agent(NodeSettings settings);

}  // namespace winchhall::cluster
