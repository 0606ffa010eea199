// Serving of the configuration to other processes.
#pragma once

#include <cstdint>
#include <list>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_item_table.hpp"

namespace winchhall::cluster {

// Serves the configuration in parts: to each caller the difference from the caller's version to the current
// one. Owns the most recent transfers. Not thread-safe.
class ConfigurationTransferServer {
 public:
  // Limit on the size of a part, whatever the caller requests.
  static constexpr std::uint32_t kMaxPartBytes = 256u << 10;

  // `table` must outlive the server.
  explicit ConfigurationTransferServer(const ConfigurationItemTable& table) : table_(table) {}

  // Replies to a request at once with the next part of the caller's transfer, even if the version of that
  // transfer has become outdated. If the transfer is not known, the reply begins a transfer of the current
  // version. If the caller has the current version already, the reply contains only its number.
  void handle(const wire::ConfigurationFetch& fetch, const ReplyCallback& reply);

 private:
  // Number of transfers kept, so that slow callers can finish theirs and callers with the same base share
  // one.
  static constexpr std::size_t kMaxTransfers = 8;

  // An encoded difference that is served in parts.
  struct Transfer {
    ConfigurationId base;  // version 0: the full configuration
    ConfigurationId target;
    std::uint64_t digest = 0;  // of the bytes
    std::string bytes;
  };

  // Null if there is no transfer with this digest.
  const Transfer* find_transfer(std::uint64_t digest) const;
  // The transfer from the caller's version to the current one, created if it does not exist.
  const Transfer& find_or_create_transfer(const ConfigurationId& callers_id);
  // The part that begins at `offset` and has at most `max_bytes` bytes.
  static wire::ConfigurationPart make_part(const Transfer& transfer, std::uint32_t offset,
                                           std::uint32_t max_bytes);

  const ConfigurationItemTable& table_;
  std::list<Transfer> transfers_;  // newest first
};

}  // namespace winchhall::cluster
