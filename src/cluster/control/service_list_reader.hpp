// Reads which services may hold jobs.
#pragma once

#include <functional>

#include "cluster/consensus/register_client.hpp"
#include "cluster/consensus/shard_list_reader.hpp"

namespace winchhall::cluster {

// Answers the question which services may know a job. Whoever says that a job doesn't exist has to have
// asked all of them.
//
// Invariant: a complete list names every service with a job that was accepted before the read began and is
// still known, also one that was deleted from the configuration, has no leader, or was opened by other
// control nodes only. Its version is no older than that of any configuration that was chosen before the read
// began.
//
// All calls and callbacks happen on the event loop. The references must outlive the reader, and must not call
// back after its destruction.
class ServiceListReader {
 public:
  using ShardLister = std::function<void(ShardListReader::Done)>;
  // Called with each value of the register "configuration" that a read finds.
  using ConfigurationListener = std::function<void(const RegisterValue&)>;
  using Done = std::function<void(const wire::ServiceList&)>;

  // `list_shards` may be empty: then no list is ever read.
  ServiceListReader(RegisterClient& registers, ShardLister list_shards,
                    ConfigurationListener on_configuration);

  // True if lists can be read.
  bool is_available() const { return static_cast<bool>(list_shards_); }
  // Reads the list from a majority. `done` is called once, with an incomplete list if no majority answers in
  // time.
  void read(Done done);

 private:
  // The newest configuration that a read found to be chosen.
  struct ChosenConfiguration {
    wire::Ballot ballot;
    std::uint64_t version = 0;
  };

  // Passes the version of the newest configuration on, which has at least this ballot unless it was never
  // chosen; none if no majority answers in time.
  void read_version(const wire::Ballot& accepted,
                    const std::function<void(std::optional<std::uint64_t>)>& done);
  void on_configuration_read(const RegisterValue& value);

  RegisterClient& registers_;
  const ShardLister list_shards_;
  const ConfigurationListener on_configuration_;
  ChosenConfiguration newest_;
};

}  // namespace winchhall::cluster
