#include "cluster/store/database_files.hpp"

namespace winchhall::cluster {

leveldb::Status list_directory(leveldb::Env& files, const std::string& path,
                               std::vector<std::string>& names) {
  const leveldb::Status status = files.GetChildren(path, &names);
  std::erase_if(names, [](const std::string& name) { return name == "." || name == ".."; });
  return status;
}

bool is_manifest_file(const std::string& name) { return name.starts_with("MANIFEST-"); }

bool has_log_format(const std::string& name) { return is_manifest_file(name) || name.ends_with(".log"); }

bool is_data_file(const std::string& name) {
  return name.ends_with(".log") || name.ends_with(".ldb") || name.ends_with(".sst");
}

bool is_database_file(const std::string& name) {
  return name == "CURRENT" || is_manifest_file(name) || is_data_file(name);
}

}  // namespace winchhall::cluster
