#include "aggregator/dynamic_config/rows.hpp"

namespace winchhall::generations {

const char* file_of(Kind kind) {
  constexpr const char* kNames[] = {"nodes.xml", "weights.xml", "ranges.xml", "tenants.xml"};
  return kNames[static_cast<int>(kind)];
}

}  // namespace winchhall::generations
