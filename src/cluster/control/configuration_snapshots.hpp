// Snapshots of the configuration: whole texts, each in a register of its own that is named by what it holds.
// Any copy of one is as good as another, so that a copy at hand needs no quorum.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// What a node keeps of registers beside the quorum.
struct LocalRegisterReplicas {
  // A register's value as far as it is known to be chosen here; none: never heard of one.
  std::function<std::optional<std::string>(const std::string& key)> chosen = [](const std::string&) {
    return std::nullopt;
  };
  // Drops the registers for whose keys `unneeded` holds. They must never be needed again.
  std::function<void(const std::function<bool(const std::string& key)>& unneeded)> drop =
      [](const std::function<bool(const std::string&)>&) {};
};

class ConfigurationSnapshots {
 public:
  // `registers` outlives the snapshots.
  ConfigurationSnapshots(RegisterClient& registers, LocalRegisterReplicas local)
      : registers_(registers), local_(std::move(local)) {}

  static wire::ConfigurationSnapshotId id_of(std::uint64_t version, const std::string& json);

  // Writes a snapshot; `done` is told whether a majority has it.
  void write(const wire::ConfigurationSnapshotId& id, const std::string& json, Millis timeout,
             std::function<void(bool)> done);
  // Reads a snapshot; none: no majority answered, or it was dropped as it is needed no more.
  void read(const wire::ConfigurationSnapshotId& id, Millis timeout,
            std::function<void(std::optional<std::string>)> done);
  // Drops what is kept here of snapshots that no record can name any more, now that `record` is chosen:
  // versions only rise, and each record builds on the one before, on its snapshot or on a newer one.
  void drop_unneeded(const wire::ConfigurationRecord& record);

 private:
  RegisterClient& registers_;
  LocalRegisterReplicas local_;
};

}  // namespace winchhall::cluster
