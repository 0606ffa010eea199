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
#include "testbed/simulated_deployment.hpp"

namespace winchhall::testbed {

class ConfigFileWriter {
 public:
  // `addresses`: of each node. The folder that aggregators watch is `root`/current, a link.
  ConfigFileWriter(std::filesystem::path root, std::uint64_t seed, std::vector<std::string> addresses);

  std::string folder() const { return root_ / "current"; }

  // The layout as it is now, with these nodes left out; swapped in whole.
  void write_valid(const SimulatedDeployment& deployment, const std::set<std::size_t>& dropped);
  // Something that nobody may take, in the place of what is there or beside it. What stood there is put back
  // by the next sound().
  void write_invalid(const SimulatedDeployment& deployment);

  struct Counts {
    std::size_t valid = 0, invalid = 0;
    std::map<std::string, std::size_t> by_defect{};
  };
  const Counts& counts() const { return counts_; }
  bool last_was_invalid() const { return last_was_invalid_; }

 private:
  std::string nodes(const std::set<std::size_t>& dropped, const std::string& defect) const;
  std::string ranges(const SimulatedDeployment& deployment, const std::string& defect) const;
  std::string weights(const std::set<std::size_t>& dropped, const std::string& defect);
  void publish(const std::map<std::string, std::string>& files);

  std::filesystem::path root_;
  Random random_;
  std::vector<std::string> addresses_;
  std::uint64_t version_ = 0;
  std::set<std::size_t> dropped_;
  Counts counts_;
  bool last_was_invalid_ = false;
};

}  // namespace winchhall::testbed
