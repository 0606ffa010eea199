// Any bytes in one of the watched configuration files: reading must not crash, and an accepted configuration
// must be consistent. The first byte selects the file that gets the remaining bytes; nodes.xml is otherwise a
// small valid one.
#include <cstdint>
#include <cstdlib>

#include "aggregator/app/operator_file.hpp"
#include "aggregator/dynamic_config/config_generation.hpp"

extern "C" void winchhall_read_set(const winchhall::dynamic_config::Bytes&, winchhall::dynamic_config::Rows&,
                                   std::vector<winchhall::dynamic_config::Fault>&);

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace winchhall::dynamic_config;
  if (size == 0 || size > 64 * 1024) return 0;
  Bytes bytes;
  bytes[Kind::nodes] =
      "<nodes xmlns=\"urn:winchhall:files:1\"><node id=\"a\" address=\"127.0.0.1:1\"/></nodes>";
  bytes[kKinds[data[0] % 4]] = std::string(reinterpret_cast<const char*>(data) + 1, size - 1);
  Rows rows;
  std::vector<Fault> faults;
  winchhall_read_set(bytes, rows, faults);
  for (const Fault& f : faults)
    if (f.what.empty()) std::abort();
  if (!faults.empty()) return 0;
  auto generation = check(rows, digest_of(bytes), {}, faults);
  if ((generation == nullptr) == faults.empty()) std::abort();
  if (!generation) return 0;
  if (generation->members.empty() || (generation->map && generation->map->find(0).span.from != 0))
    std::abort();
  return 0;
}
