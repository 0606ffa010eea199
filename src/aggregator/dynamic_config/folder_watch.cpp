#include "aggregator/dynamic_config/folder_watch.hpp"

#include <fcntl.h>
#include <sys/inotify.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace winchhall::dynamic_config {
namespace {

using dynamic_config::Kind;

// Of the watched directory itself.
constexpr std::uint32_t kDirectoryEvents = IN_CLOSE_WRITE | IN_MODIFY | IN_MOVED_TO | IN_MOVED_FROM |
                                           IN_CREATE | IN_DELETE | IN_ATTRIB | IN_DELETE_SELF | IN_MOVE_SELF |
                                           IN_ONLYDIR;
// Of a directory on the path: only the creation and removal of names matter.
constexpr std::uint32_t kParentEvents = IN_MOVED_TO | IN_MOVED_FROM | IN_CREATE | IN_DELETE | IN_ONLYDIR;
constexpr int kMaxSymlinks = 16;  // symbolic links that are followed on the path, which may contain a loop

// Identifies a state of a file. A rewrite of the same size within one tick of the clock changes ctime or
// inode; where it doesn't, the event of the write leads to another scan.
struct Stamp {
  bool exists = false;
  ino_t inode = 0;
  off_t size = 0;
  timespec modified{}, changed{};
  bool operator==(const Stamp& o) const {
    auto same = [](const timespec& a, const timespec& b) {
      return a.tv_sec == b.tv_sec && a.tv_nsec == b.tv_nsec;
    };
    return exists == o.exists && inode == o.inode && size == o.size && same(modified, o.modified) &&
           same(changed, o.changed);
  }
};

Stamp stamp(int folder, const char* name) {
  struct stat info {};
  if (fstatat(folder, name, &info, AT_SYMLINK_NOFOLLOW) != 0) return {};
  return {true, info.st_ino, info.st_size, info.st_mtim, info.st_ctim};
}

}  // namespace

FolderWatch::FolderWatch(event_loop::Loop& loop, std::string folder, std::function<void()> changed)
    : loop_(loop),
      folder_(std::move(folder)),
      changed_(std::move(changed)),
      fd_(inotify_init1(IN_NONBLOCK | IN_CLOEXEC)) {
  if (!fd_) return;
  loop_.add(fd_.get(), POLLIN, [this](short) { on_readable(); });
  rearm();
}

FolderWatch::~FolderWatch() {
  if (fd_) loop_.remove(fd_.get());
}

void FolderWatch::watch(const std::string& path, std::uint32_t events, std::map<int, std::string>& watched) {
  int id = inotify_add_watch(fd_.get(), path.c_str(), events | IN_MASK_ADD);
  if (id >= 0) watched.emplace(id, path);
}

void FolderWatch::rearm() {
  if (!fd_) return;
  namespace fs = std::filesystem;
  std::map<int, std::string> watched;
  std::error_code ignored;
  watch(folder_, kDirectoryEvents, watched);
  // Each directory that contains a link of the path, and the nearest existing parent: the creation of a
  // missing directory is reported there.
  fs::path path = fs::path(folder_).lexically_normal();
  if (!path.has_filename()) path = path.parent_path();
  for (int links = 0; links < kMaxSymlinks; ++links) {
    fs::path parent = path.parent_path();
    for (;;) {
      if (parent.empty()) parent = ".";
      if (fs::is_directory(parent, ignored)) break;
      if (parent == parent.parent_path()) break;
      parent = parent.parent_path();
    }
    watch(parent.string(), kParentEvents, watched);
    if (!fs::is_symlink(path, ignored)) break;
    fs::path target = fs::read_symlink(path, ignored);
    path = target.is_absolute() ? target : path.parent_path() / target;
  }
  for (const auto& [id, old] : watched_)
    if (!watched.count(id)) inotify_rm_watch(fd_.get(), id);
  watched_ = std::move(watched);
}

void FolderWatch::on_readable() {
  alignas(inotify_event) char buffer[16384];
  bool any = false;
  // Reads all pending events, so that a burst of writes causes one notification.
  while (::read(fd_.get(), buffer, sizeof buffer) > 0) any = true;
  if (any) changed_();
}

FolderContents read_config_folder(const std::string& folder, std::size_t max_file_bytes) {
  FolderContents contents;
  event_loop::UniqueFd dir(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!dir) return contents;
  contents.exists = true;
  std::map<Kind, Stamp> before;
  for (Kind kind : dynamic_config::kKinds) before[kind] = stamp(dir.get(), file_name(kind));
  for (Kind kind : dynamic_config::kKinds) {
    if (!before[kind].exists) continue;
    auto fault = [&](const std::string& what) { contents.faults.push_back({kind, 0, what}); };
    // O_NOFOLLOW: no link out of the directory. O_NONBLOCK: opening a pipe doesn't wait for its writer.
    event_loop::UniqueFd file(
        ::openat(dir.get(), file_name(kind), O_RDONLY | O_NOFOLLOW | O_NONBLOCK | O_CLOEXEC));
    struct stat info {};
    if (!file || fstat(file.get(), &info) != 0) {
      if (errno == ENOENT)
        contents.changed_while_read = true;
      else
        fault(errno == ELOOP ? "is a symbolic link, which is not followed out of the folder"
                             : std::string("cannot be read: ") + std::strerror(errno));
      continue;
    }
    if (!S_ISREG(info.st_mode)) {
      fault("is no file");
      continue;
    }
    std::string& text = contents.bytes[kind];
    char buffer[65536];
    ssize_t n = 0;
    while ((n = ::read(file.get(), buffer, sizeof buffer)) > 0) {
      text.append(buffer, static_cast<std::size_t>(n));
      if (text.size() > max_file_bytes) break;
    }
    if (n < 0) fault(std::string("cannot be read: ") + std::strerror(errno));
    if (text.size() > max_file_bytes) {
      fault("is larger than " + std::to_string(max_file_bytes) + " bytes");
      text.clear();
    }
  }
  for (Kind kind : dynamic_config::kKinds)
    if (!(stamp(dir.get(), file_name(kind)) == before[kind])) contents.changed_while_read = true;
  // The directory may have been replaced while its files were read.
  struct stat opened {
  }, named{};
  if (fstat(dir.get(), &opened) != 0 || ::stat(folder.c_str(), &named) != 0 ||
      opened.st_ino != named.st_ino || opened.st_dev != named.st_dev)
    contents.changed_while_read = true;
  return contents;
}

}  // namespace winchhall::dynamic_config
