// Amounts of what a leaf has and a task needs.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace winchhall::cluster::scheduling {

// Thousandths of a core, megabytes and devices.
struct Resources {
  std::uint64_t cpu = 0;
  std::uint64_t mem_mb = 0;
  std::uint64_t gpu = 0;

  bool fits_in(const Resources& room) const {
    return cpu <= room.cpu && mem_mb <= room.mem_mb && gpu <= room.gpu;
  }
  // What is left after `taken`; never below nought.
  Resources without(const Resources& taken) const {
    return {cpu - std::min(cpu, taken.cpu), mem_mb - std::min(mem_mb, taken.mem_mb),
            gpu - std::min(gpu, taken.gpu)};
  }
  Resources& operator+=(const Resources& other) {
    cpu += other.cpu;
    mem_mb += other.mem_mb;
    gpu += other.gpu;
    return *this;
  }
  // How many tasks that each need `demand` fit in.
  std::uint64_t times(const Resources& demand) const {
    std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
    if (demand.cpu > 0) most = std::min(most, cpu / demand.cpu);
    if (demand.mem_mb > 0) most = std::min(most, mem_mb / demand.mem_mb);
    if (demand.gpu > 0) most = std::min(most, gpu / demand.gpu);
    return most;
  }
  bool operator==(const Resources&) const = default;
};

}  // namespace winchhall::cluster::scheduling
