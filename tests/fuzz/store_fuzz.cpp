// Any bytes as the store's database file: it must be opened or set aside without a crash, a configuration
// read from it must match its digest, and another one can be stored afterwards.
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "aggregator/dynamic_config/digest.hpp"
#include "aggregator/dynamic_config/store.hpp"

extern "C" void winchhall_open_store(const std::string&, bool, winchhall::dynamic_config::OpenedStore&);

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace winchhall;
  namespace fs = std::filesystem;
  if (size > 256 * 1024) return 0;
  static const fs::path folder = fs::temp_directory_path() / ("winchhall-fuzz-" + std::to_string(getpid()));
  fs::remove_all(folder);
  fs::create_directories(folder);
  std::string path = folder / "store.db";
  std::ofstream(path, std::ios::binary).write(reinterpret_cast<const char*>(data), static_cast<long>(size));
  dynamic_config::OpenedStore opened;
  winchhall_open_store(path, false, opened);
  if (opened.store) {
    if (auto stored = opened.store->newest_taken())
      if (dynamic_config::digest_of(stored->bytes) != stored->digest) std::abort();
    opened.store->history(10);
    opened.store->pending_commands();
    dynamic_config::StoredSet set;
    set.bytes[dynamic_config::Kind::nodes] = "x";
    set.digest = dynamic_config::digest_of(set.bytes);
    set.verdict = "taken";
    opened.store->put(set);
  }
  opened.store.reset();
  fs::remove_all(folder);
  return 0;
}
