#include "aggregator/hot_restart/folder.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace winchhall::takeover {

namespace fs = std::filesystem;

Folder::Folder(const std::string& parent) {
  if (parent.empty()) return;
  std::error_code error;
  fs::create_directory(parent + "/winchhall", error);
  if (fs::is_directory(parent + "/winchhall", error)) path_ = parent + "/winchhall";
}

bool Folder::leave(const State& state) {
  if (!works()) return false;
  std::string file = file_of(state.who), fresh = file + ".new", bytes = encode(state);
  {
    std::ofstream out(fresh, std::ios::binary | std::ios::trunc);
    out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    // Guards against a full disk: what is not there whole must not take the old one's place.
    if (!out.flush()) return false;
  }
  std::error_code error;
  fs::rename(fresh, file, error);
  return !error;
}

void Folder::remove(const Who& who) {
  if (!works()) return;
  std::error_code error;
  fs::remove(file_of(who), error);
  fs::remove(file_of(who) + ".new", error);
}

Folder::Found Folder::look() const {
  Found found;
  if (!works()) return found;
  std::error_code error;
  for (auto it = fs::directory_iterator(path_, error); !error && it != fs::directory_iterator();
       it.increment(error)) {
    fs::path path = it->path();
    if (path.extension() != ".state") continue;  // one that is being written, or was set aside
    std::string why = "larger than any state";
    std::optional<State> state;
    std::error_code gone;
    if (!it->is_regular_file(gone)) continue;
    auto size = it->file_size(gone);
    if (gone) continue;  // it left while we looked
    if (size <= kStateMost) {
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

}  // namespace winchhall::takeover
