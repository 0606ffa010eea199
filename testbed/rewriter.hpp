// Writes sets of files as tools do and as they shouldn't: whole by a swapped link, file by file, half,
// spoilt, impossible. It knows which sets were sound. Seeded; one rewrite a call.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "testbed/random.hpp"
#include "testbed/world.hpp"

namespace winchhall::testbed {

class Rewriter {
 public:
  // `addresses`: of each node. The folder that aggregators watch is `root`/current, a link.
  Rewriter(std::filesystem::path root, std::uint64_t seed, std::vector<std::string> addresses);

  std::string folder() const { return root_ / "current"; }

  // The layout as it is now, with these nodes left out; swapped in whole.
  void sound(const World& world, const std::set<std::size_t>& dropped);
  // Something that nobody may take, in the place of what is there or beside it. What stood there is put back
  // by the next sound().
  void spoilt(const World& world);

  struct Counts {
    std::size_t sound = 0, spoilt = 0;
    std::map<std::string, std::size_t> by_kind{};
  };
  const Counts& counts() const { return counts_; }
  bool last_was_spoilt() const { return last_was_spoilt_; }

 private:
  std::string nodes(const std::set<std::size_t>& dropped, const std::string& twist) const;
  std::string ranges(const World& world, const std::string& twist) const;
  std::string weights(const std::set<std::size_t>& dropped, const std::string& twist);
  void swap_in(const std::map<std::string, std::string>& files);

  std::filesystem::path root_;
  Random random_;
  std::vector<std::string> addresses_;
  std::uint64_t number_ = 0;
  std::set<std::size_t> dropped_;
  Counts counts_;
  bool last_was_spoilt_ = false;
};

}  // namespace winchhall::testbed
