#include "aggregator/app/serve.hpp"

#include "aggregator/app/aggregator_process.hpp"

namespace winchhall::app {

void serve() {
  AggregatorProcess process;
  process.run();
}

}  // namespace winchhall::app
