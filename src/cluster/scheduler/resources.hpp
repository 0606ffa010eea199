// Resource amounts: what a leaf offers and what a task demands.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace winchhall::cluster::scheduling {

// Amounts of the three resources that the scheduler accounts for.
struct Resources {
  std::uint64_t cpu = 0;     // thousandths of a core
  std::uint64_t mem_mb = 0;  // megabytes
  std::uint64_t gpu = 0;     // devices

  // True if these amounts, taken as a demand, are all covered by `available`.
  bool fits_in(const Resources& available) const {
    return cpu <= available.cpu && mem_mb <= available.mem_mb && gpu <= available.gpu;
  }
  // These amounts less `taken`; each difference is clamped at zero.
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
  // Number of tasks with this demand that fit at the same time; 2^32 - 1 for a demand of zero.
  std::uint64_t slots_for(const Resources& demand) const {
    std::uint64_t slots = std::numeric_limits<std::uint32_t>::max();
    if (demand.cpu > 0) slots = std::min(slots, cpu / demand.cpu);
    if (demand.mem_mb > 0) slots = std::min(slots, mem_mb / demand.mem_mb);
    if (demand.gpu > 0) slots = std::min(slots, gpu / demand.gpu);
    return slots;
  }
  bool operator==(const Resources&) const = default;
};

}  // namespace winchhall::cluster::scheduling
