#include "aggregator/app/operator_file.hpp"

#include "aggregator/app/module.hpp"

namespace winchhall::app {
namespace {

template <class Function>
Function find(const char* name, std::string& why) {
  return reinterpret_cast<Function>(symbol_beside("winchhall_operator.so", name, why));
}

}  // namespace

std::vector<Fault> read_operator_file(const std::string& path, OperatorSettings& settings) {
  static std::string why;
  static auto reader = find<OperatorReader>("winchhall_read_operator_file", why);
  if (!reader) return {{path, 0, "operator files cannot be read: " + why}};
  std::vector<Fault> faults;
  reader(path, settings, faults);
  return faults;
}

void read_set(const generations::Bytes& bytes, generations::Rows& rows,
              std::vector<generations::Fault>& faults) {
  static std::string why;
  static auto reader = find<SetReader>("winchhall_read_set", why);
  if (!reader) return faults.push_back({generations::Kind::nodes, 0, "files cannot be read: " + why});
  reader(bytes, rows, faults);
}

}  // namespace winchhall::app
