// Snapshots of the configuration: complete texts, each in a replicated register whose key contains the digest
// of its content.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// The replicas of registers on this node, read without a quorum.
struct LocalRegisterReplicas {
  // A register's newest value that this node knows to be chosen; none: it knows of none.
  std::function<std::optional<std::string>(const std::string& key)> chosen = [](const std::string&) {
    return std::nullopt;
  };
  // Drops this node's replicas of the registers for whose keys `unneeded` returns true. No record may name
  // them any more.
  std::function<void(const std::function<bool(const std::string& key)>& unneeded)> drop =
      [](const std::function<bool(const std::string&)>&) {};
};

// Writes, reads and drops snapshots. Since a key names its content, a register never changes once it was
// written, and a replica at hand may be used without asking a quorum.
//
// Owns nothing but the access to the registers. All calls and callbacks happen on the event loop.
class ConfigurationSnapshots {
 public:
  // `registers` outlives the snapshots.
  ConfigurationSnapshots(RegisterClient& registers, LocalRegisterReplicas local)
      : registers_(registers), local_(std::move(local)) {}

  // The id of a snapshot with this content. `version`: that of the configuration, by which snapshots are
  // dropped.
  static wire::ConfigurationSnapshotId id_of(std::uint64_t version, const std::string& json);

  // Writes a snapshot. `done` gets true once it is durable on a majority, false if that isn't known after
  // `timeout`.
  void write(const wire::ConfigurationSnapshotId& id, const std::string& json, Millis timeout,
             std::function<void(bool)> done);
  // Reads a snapshot. `done` gets its text, perhaps from within this call; none: no majority answered within
  // `timeout`, or the snapshot was dropped.
  void read(const wire::ConfigurationSnapshotId& id, Millis timeout,
            std::function<void(std::optional<std::string>)> done);
  // Drops this node's replicas of all snapshots up to the version of `record`, except the one that it names.
  // `record` must be chosen: versions only rise, and each later record names the same snapshot or a newer
  // one.
  void drop_unneeded(const wire::ConfigurationRecord& record);

 private:
  RegisterClient& registers_;
  LocalRegisterReplicas local_;
};

}  // namespace winchhall::cluster
