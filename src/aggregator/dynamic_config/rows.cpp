#include "aggregator/dynamic_config/rows.hpp"

namespace winchhall::dynamic_config {

const char* file_name(Kind kind) {
  constexpr const char* kNames[] = {"nodes.xml", "weights.xml", "ranges.xml", "tenants.xml"};
  return kNames[static_cast<int>(kind)];
}

}  // namespace winchhall::dynamic_config
