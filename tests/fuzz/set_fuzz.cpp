// Whatever the bytes of a set's file are: read without a crash, and what is taken is sound as a whole.
// The first byte chooses the file; the others beside it are small sound ones.
#include <cstdint>
#include <cstdlib>

#include "aggregator/app/operator_file.hpp"
#include "aggregator/dynamic_config/generation.hpp"

extern "C" void winchhall_read_set(const winchhall::generations::Bytes&, winchhall::generations::Rows&,
                                   std::vector<winchhall::generations::Fault>&);

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace winchhall::generations;
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
  auto made = check(rows, digest_of(bytes), {}, faults);
  if ((made == nullptr) == faults.empty()) std::abort();
  if (!made) return 0;
  if (made->members.empty() || (made->map && made->map->find(0).span.from != 0)) std::abort();
  return 0;
}
