// The serving program: wiring of core, fronts, carriers and sources, from start to exit.
#pragma once

#include "aggregator/app/config.hpp"

namespace winchhall::app {

// Returns when the program was asked to end and has. Throws std::runtime_error where it can't begin.
// Its files are those that the environment names.
void serve();

}  // namespace winchhall::app
