#include "aggregator/app/operator_file.hpp"

#include "aggregator/app/module_loader.hpp"

namespace winchhall::app {
namespace {

template <class Function>
Function load_function(const char* name, std::string& why) {
  return reinterpret_cast<Function>(load_module_symbol("winchhall_operator.so", name, why));
}

}  // namespace

std::vector<Fault> read_operator_file(const std::string& path, OperatorSettings& settings) {
  static std::string why;
  static auto reader = load_function<OperatorFileReader>("winchhall_read_operator_file", why);
  if (!reader) return {{path, 0, "operator files cannot be read: " + why}};
  std::vector<Fault> faults;
  reader(path, settings, faults);
  return faults;
}

void read_config_files(const dynamic_config::Bytes& bytes, dynamic_config::Rows& rows,
                       std::vector<dynamic_config::Fault>& faults) {
  static std::string why;
  static auto reader = load_function<ConfigFilesReader>("winchhall_read_set", why);
  if (!reader) return faults.push_back({dynamic_config::Kind::nodes, 0, "files cannot be read: " + why});
  reader(bytes, rows, faults);
}

}  // namespace winchhall::app
