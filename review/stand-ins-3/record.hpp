// The record of one run of a case: what was sent, answered and run, with milliseconds since its start.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc), start_(Clock::now()) {}

  bool good() const { return file_.good(); }
  long ms(Clock::time_point at) const;
  void write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const Clock::time_point start_;
};

}  // namespace review
