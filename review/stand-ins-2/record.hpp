// The record of one play of a case: what was sent, answered and run.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// Thread-safe. Each line begins with the milliseconds since the construction.
class Record {
 public:
  explicit Record(const std::string& path);
  void add(const std::string& line);
  // Milliseconds from the construction to `at`.
  long ms(Clock::time_point at) const;

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review
