#include "aggregator/hot_restart/state_folder.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace winchhall::hot_restart {

namespace fs = std::filesystem;

StateFolder::StateFolder(const std::string& parent) {
  if (parent.empty()) return;
  std::error_code error;
  fs::create_directory(parent + "/winchhall", error);
  if (fs::is_directory(parent + "/winchhall", error)) path_ = parent + "/winchhall";
}

bool StateFolder::publish(const State& state) {
  if (!is_usable()) return false;
  std::string file = file_of(state.id), temporary = file + ".new", bytes = encode(state);
  {
    std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
    out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    // On a full disk an incomplete file must not replace the previous one.
    if (!out.flush()) return false;
  }
  std::error_code error;
  fs::rename(temporary, file, error);
  return !error;
}

void StateFolder::remove(const ProcessId& id) {
  if (!is_usable()) return;
  std::error_code error;
  fs::remove(file_of(id), error);
  fs::remove(file_of(id) + ".new", error);
}

StateFolder::FolderScan StateFolder::scan() const {
  FolderScan found;
  if (!is_usable()) return found;
  std::error_code error;
  for (auto it = fs::directory_iterator(path_, error); !error && it != fs::directory_iterator();
       it.increment(error)) {
    fs::path path = it->path();
    if (path.extension() != ".state") continue;  // being written, or set aside
    std::string why = "larger than the maximum size of a state file";
    std::optional<State> state;
    std::error_code gone;
    if (!it->is_regular_file(gone)) continue;
    auto size = it->file_size(gone);
    if (gone) continue;  // removed during the scan
    if (size <= kMaxStateBytes) {
      std::ifstream in(path, std::ios::binary);
      std::ostringstream all;
      all << in.rdbuf();
      if (!in) continue;
      state = decode(all.str(), why);
    }
    if (state) {
      found.states.push_back(std::move(*state));
      continue;
    }
    fs::rename(path, path.string() + ".set-aside", gone);
    if (!gone) found.set_aside.push_back(path.string() + ": " + why);
  }
  return found;
}

}  // namespace winchhall::hot_restart
