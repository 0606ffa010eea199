#include "cluster/control/configuration_register.hpp"

namespace winchhall::cluster {

wire::ConfigurationRecord parse_configuration_record(const std::string& value) {
  wire::ConfigurationRecord record;
  if (!record.ParseFromString(value)) record.Clear();
  return record;
}

}  // namespace winchhall::cluster
