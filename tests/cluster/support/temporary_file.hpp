// Temporary files for tests.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace winchhall::cluster::testing {

// Creates a file with the given content in the temporary directory and removes it in the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("cluster_test_" + std::to_string(::getpid()) + "_" + std::to_string(counter_++))) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string path() const { return path_.string(); }

 private:
  static inline int counter_ = 0;
  std::filesystem::path path_;
};

}  // namespace winchhall::cluster::testing
