#include "cluster/consensus/unique_id.hpp"

#include <string>

#include "cluster/consensus/stable_hash.hpp"

namespace winchhall::cluster {

std::uint64_t draw_unique_id(Runtime& runtime, const Address& address) {
  // The address and the clocks keep ids apart where the random generators were seeded alike.
  const std::string circumstances = address + "/" + std::to_string(runtime.wall_clock_ms()) + "/" +
                                    std::to_string(runtime.now().time_since_epoch().count());
  const std::uint64_t id = runtime.random() ^ stable_hash(circumstances);
  return id == 0 ? 1 : id;
}

}  // namespace winchhall::cluster
