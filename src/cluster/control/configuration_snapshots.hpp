// Snapshots of the configuration. A snapshot is the complete text of one version, stored in a replicated
// register whose key contains the digest of the text.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// Access to this node's own replicas of the registers, without a quorum.
struct LocalRegisterReplicas {
  // Returns the newest value of a register that this node knows to be chosen; empty if it knows none.
  std::function<std::optional<std::string>(const std::string& key)> chosen = [](const std::string&) {
    return std::nullopt;
  };
  // Drops this node's replicas of the registers for whose keys `unneeded` returns true. No current or later
  // record may name them.
  std::function<void(const std::function<bool(const std::string& key)>& unneeded)> drop =
      [](const std::function<bool(const std::string&)>&) {};
};

// Writes, reads and drops snapshots. Since the key contains the digest of the content, a register never
// changes after it was written, so that the local replica may be used without a quorum.
//
// Keeps no state besides the access to the registers. All calls and callbacks happen on the event loop.
class ConfigurationSnapshots {
 public:
  // `registers` must outlive this object.
  ConfigurationSnapshots(RegisterClient& registers, LocalRegisterReplicas local)
      : registers_(registers), local_(std::move(local)) {}

  // Returns the id of a snapshot with this content. `version` is the version of the configuration, which
  // decides when the snapshot is dropped.
  static wire::ConfigurationSnapshotId id_of(std::uint64_t version, const std::string& json);

  // Writes a snapshot. `done` is called with true once it is durable on a majority, or with false if that is
  // not known after `timeout`.
  void write(const wire::ConfigurationSnapshotId& id, const std::string& json, Millis timeout,
             std::function<void(bool)> done);
  // Reads a snapshot. `done` is called with its text, possibly before this call returns, or with nothing if
  // no majority answered within `timeout` or the snapshot was dropped.
  void read(const wire::ConfigurationSnapshotId& id, Millis timeout,
            std::function<void(std::optional<std::string>)> done);
  // Drops this node's replicas of all snapshots up to the version of `record`, except the one that `record`
  // names. `record` must be chosen. The others are not needed any more, since versions only increase and each
  // later record names the same snapshot or a newer one.
  void drop_unneeded(const wire::ConfigurationRecord& record);

 private:
  RegisterClient& registers_;
  LocalRegisterReplicas local_;
};

}  // namespace winchhall::cluster
