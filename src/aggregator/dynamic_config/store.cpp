#include "aggregator/dynamic_config/store.hpp"

#include "aggregator/app/module_loader.hpp"

namespace winchhall::dynamic_config {

OpenedStore open(const std::string& path, bool read_only) {
  OpenedStore opened;
  static std::string why;
  static auto opener =
      reinterpret_cast<Opener>(app::load_module_symbol("winchhall_store.so", "winchhall_open_store", why));
  if (!opener)
    opened.why = "no store can be opened: " + why;
  else
    opener(path, read_only, opened);
  return opened;
}

}  // namespace winchhall::dynamic_config
