// The record of a case: what was sent, answered and run.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace winchhall::review {

using Clock = std::chrono::steady_clock;

// Writes lines with the time since the start of the case. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc), began_(Clock::now()) {}

  void line(const std::string& text);
  // Adds a line for an event at a given time.
  void line(Clock::time_point at, const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const Clock::time_point began_;
};

}  // namespace winchhall::review
