#include "record.hpp"

#include <cstdio>

namespace review {

long Record::ms(Clock::time_point at) const {
  return static_cast<long>(std::chrono::duration_cast<Millis>(at - start_).count());
}

void Record::write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const long now = ms(Clock::now());
  file_ << now << ' ' << line << '\n' << std::flush;
  std::printf("%ld %s\n", now, line.c_str());
  std::fflush(stdout);
}

}  // namespace review
