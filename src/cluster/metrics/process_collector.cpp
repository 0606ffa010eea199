#include <sys/resource.h>

#include "cluster/metrics/collectors.hpp"

namespace winchhall::cluster {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kBytesPerKilobyte = 1024;

double seconds_of(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kMicrosPerSecond;
}

}  // namespace

void collect_process(MetricFamilies& families) {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0) return;
  FamilyBuilder cpu = counter_family("process_cpu_seconds_total", "Processor time used, user and system.");
  cpu.add(seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime));
  families.push_back(cpu.build());
  FamilyBuilder memory = gauge_family("process_max_resident_memory_bytes", "Largest resident memory so far.");
  memory.add(static_cast<double>(usage.ru_maxrss) * kBytesPerKilobyte);
  families.push_back(memory.build());
}

}  // namespace winchhall::cluster
