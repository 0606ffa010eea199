#include "cluster/store/disk.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace winchhall::cluster {

namespace {

leveldb::Status io_error(const std::string& path, int error_number) {
  return leveldb::Status::IOError(path, std::strerror(error_number));
}

// Reads with pread(2). LevelDB's own implementation maps files into memory, and the mapped pages would count
// as resident memory of the process.
class PreadFile : public leveldb::RandomAccessFile {
 public:
  PreadFile(std::string path, int descriptor) : path_(std::move(path)), descriptor_(descriptor) {}
  ~PreadFile() override { ::close(descriptor_); }

  leveldb::Status Read(std::uint64_t offset, std::size_t size, leveldb::Slice* result,
                       char* scratch) const override {
    std::size_t filled = 0;
    while (filled < size) {
      const ssize_t count =
          ::pread(descriptor_, scratch + filled, size - filled, static_cast<off_t>(offset + filled));
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return io_error(path_, errno);
      if (count == 0) break;
      filled += static_cast<std::size_t>(count);
    }
    *result = leveldb::Slice(scratch, filled);
    return leveldb::Status::OK();
  }

 private:
  const std::string path_;
  const int descriptor_;
};

class LocalEnv : public leveldb::EnvWrapper {
 public:
  LocalEnv() : leveldb::EnvWrapper(leveldb::Env::Default()) {}

  leveldb::Status NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** file) override {
    *file = nullptr;
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) return io_error(path, errno);
    *file = new PreadFile(path, descriptor);
    return leveldb::Status::OK();
  }
};

class LocalDisk : public Disk {
 public:
  leveldb::Env& files() override { return env_; }

  bool create_directories(const std::string& path) override {
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error) return false;
    const std::filesystem::path parent =
        std::filesystem::absolute(path, error).lexically_normal().parent_path();
    sync_directory(parent.string());  // Best effort: this process may lack permission for the parent.
    return true;
  }

  bool sync_directory(const std::string& path) override {
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return false;
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return synced;
  }

 private:
  LocalEnv env_;
};

}  // namespace

Disk& local_disk() {
  static Disk* const disk = new LocalDisk;
  return *disk;
}

}  // namespace winchhall::cluster
