#include "cluster/consensus/unique_id.hpp"

#include <string>

#include "cluster/consensus/stable_hash.hpp"

namespace winchhall::cluster {

std::uint64_t generate_unique_id(Runtime& runtime, const Address& address) {
  // The address and the clocks make the ids differ even if the random generators have the same seed.
  const std::string seed_text = address + "/" + std::to_string(runtime.wall_clock_ms()) + "/" +
                                std::to_string(runtime.now().time_since_epoch().count());
  const std::uint64_t id = runtime.random() ^ stable_hash(seed_text);
  return id == 0 ? 1 : id;
}

}  // namespace winchhall::cluster
