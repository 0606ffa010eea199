// Serves the configuration to other processes in parts: to each caller the difference from its version.
#pragma once

#include <cstdint>
#include <list>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_item_table.hpp"

namespace winchhall::cluster {

// Not thread-safe.
class ConfigurationTransferServer {
 public:
  // Limit on the size of a part, whatever the caller requests.
  static constexpr std::uint32_t kMaxPartBytes = 256u << 10;

  // `table` must outlive the server.
  explicit ConfigurationTransferServer(const ConfigurationItemTable& table) : table_(table) {}

  // Replies to a request at once, with the next part of the caller's transfer, even if that transfer's
  // version has become outdated. If the transfer is not known, a transfer of the current version begins, or,
  // if the caller has that version, the reply names the version only.
  void handle(const wire::ConfigurationFetch& fetch, const ReplyCallback& reply);

 private:
  // Transfers kept, so that slow callers can finish theirs, and callers with the same base share one.
  static constexpr std::size_t kMaxTransfers = 8;

  struct Transfer {
    ConfigurationId base;  // version 0: the full configuration
    ConfigurationId target;
    std::uint64_t digest = 0;  // of the bytes
    std::string bytes;
  };

  // Null if there is no transfer with this digest.
  const Transfer* find_transfer(std::uint64_t digest) const;
  // The transfer from the caller's version to the current one, created if it doesn't exist.
  const Transfer& find_or_create_transfer(const ConfigurationId& callers_id);
  static wire::ConfigurationPart make_part(const Transfer& transfer, std::uint32_t offset,
                                           std::uint32_t max_bytes);

  const ConfigurationItemTable& table_;
  std::list<Transfer> transfers_;  // newest first
};

}  // namespace winchhall::cluster
