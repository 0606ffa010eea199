// Writes sets of configuration files for the aggregators to watch: valid sets, published by replacing a
// symbolic link, and invalid ones (truncated, corrupt or contradictory), published that way or overwritten
// file by file.
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

// Each call writes one set; all choices come from the seed. Versions older than the last three are removed.
// The caller creates and removes `root`.
class ConfigFileWriter {
 public:
  // `addresses`: one for each node. The folder that aggregators watch is the symbolic link `root`/current.
  ConfigFileWriter(std::filesystem::path root, std::uint64_t seed, std::vector<std::string> addresses);

  std::string folder() const { return root_ / "current"; }

  // Publishes the current layout of the deployment without the `dropped` nodes, all files at once.
  void write_valid(const SimulatedDeployment& deployment, const std::set<std::size_t>& dropped);
  // Writes a set that every aggregator must refuse, over the current files or as a new version. The next
  // write_valid() restores a valid set.
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
