#include "aggregator/dynamic_config/store.hpp"

#include "aggregator/app/module.hpp"

namespace winchhall::store {

Opened open(const std::string& path, bool look_only) {
  Opened opened;
  static std::string why;
  static auto opener =
      reinterpret_cast<Opener>(app::symbol_beside("winchhall_store.so", "winchhall_open_store", why));
  if (!opener)
    opened.why = "no store can be opened: " + why;
  else
    opener(path, look_only, opened);
  return opened;
}

}  // namespace winchhall::store
