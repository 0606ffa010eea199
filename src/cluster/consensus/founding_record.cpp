#include "cluster/consensus/founding_record.hpp"

#include <algorithm>
#include <vector>

#include "cluster/consensus/stable_hash.hpp"

namespace winchhall::cluster {

bool is_founder(const NodeSettings& settings) {
  const auto& seeds = settings.seeds;
  return settings.bootstrap && std::find(seeds.begin(), seeds.end(), settings.control) != seeds.end();
}

std::uint64_t founder_id(const Address& control_address) { return stable_hash("founder " + control_address); }

wire::MemberRecord founding_record(const NodeSettings& settings) {
  std::vector<Address> seeds = settings.seeds;
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  wire::MemberRecord record;
  record.set_epoch(1);
  record.set_largest(static_cast<std::uint32_t>(seeds.size()));
  for (const Address& seed : seeds) {
    wire::Member* founder = record.add_members();
    founder->set_id(founder_id(seed));
    founder->set_address(settings.internal_address_of(seed));
    founder->set_http_address(seed);
  }
  return record;
}

}  // namespace winchhall::cluster
