#include "review/record.hpp"

#include <cstdio>

namespace winchhall::review {

void Record::line(const std::string& text) { line(Clock::now(), text); }

void Record::line(Clock::time_point at, const std::string& text) {
  const std::chrono::duration<double> since = at - began_;
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", since.count());
  const std::lock_guard lock(mutex_);
  file_ << time << text << std::endl;
}

}  // namespace winchhall::review
