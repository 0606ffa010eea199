#include "record.hpp"

#include <iostream>

namespace review {

Record::Record(const std::string& path) : file_(path, std::ios::trunc) {}

long Record::ms(Clock::time_point at) const {
  return static_cast<long>(std::chrono::duration_cast<Millis>(at - start_).count());
}

void Record::add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const std::string text = std::to_string(ms(Clock::now())) + " ms  " + line;
  file_ << text << std::endl;
  std::cout << text << std::endl;
}

}  // namespace review
