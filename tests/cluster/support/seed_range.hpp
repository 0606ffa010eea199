// The seeds of a randomized test.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace winchhall::cluster::test {

// The environment's WINCHHALL_FIRST_SEED and WINCHHALL_SEEDS (their number) replace the test's own, for long
// runs by hand and for the repetition of one seed.
struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t count = 1;

  static SeedRange from_environment(SeedRange of_test) {
    return {number("WINCHHALL_FIRST_SEED", of_test.first), number("WINCHHALL_SEEDS", of_test.count)};
  }
  template <class Run>
  void for_each(Run run) const {
    for (std::uint64_t seed = first; seed < first + count; ++seed) run(seed);
  }

 private:
  static std::uint64_t number(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : otherwise;
  }
};

}  // namespace winchhall::cluster::test
