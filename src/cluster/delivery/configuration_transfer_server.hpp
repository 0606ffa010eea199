// Hands the configuration on in parts: to each caller what has changed since the version that it holds.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_item_table.hpp"

namespace winchhall::cluster {

class ConfigurationTransferServer {
 public:
  // Largest part, whatever the caller asks for.
  static constexpr std::uint32_t kMaxPartBytes = 256u << 10;

  // `table` outlives the server.
  explicit ConfigurationTransferServer(const ConfigurationItemTable& table) : table_(table) {}

  // Answers a ConfigurationFetch. A transfer that is known here is gone on with, also if its version is not
  // the newest any more; else one to the newest version begins.
  void handle(const wire::ConfigurationFetch& fetch, const ReplyCallback& reply);

 private:
  // Transfers kept, so that a slow caller can finish what it has begun and callers with one base share the
  // work.
  static constexpr std::size_t kMaxTransfers = 8;

  struct Transfer {
    ConfigurationId base;  // version 0: the whole configuration
    ConfigurationId target;
    std::uint64_t digest = 0;  // of the bytes
    std::string bytes;
  };

  const Transfer* find(std::uint64_t digest) const;
  const Transfer& begin(const ConfigurationId& held);
  static wire::ConfigurationPart part_of(const Transfer& transfer, std::uint32_t offset,
                                         std::uint32_t most_bytes);

  const ConfigurationItemTable& table_;
  std::list<Transfer> transfers_;  // newest first
};

}  // namespace winchhall::cluster
