// Entry point of the serving program.
#pragma once

#include "aggregator/app/config.hpp"

namespace winchhall::app {

// Serves until the process is asked to shut down and has done so. The environment names the configuration
// files. Throws std::runtime_error if it can't start.
void serve();

}  // namespace winchhall::app
