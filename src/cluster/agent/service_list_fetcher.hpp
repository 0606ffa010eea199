// Fetches from the control group which services may know a job.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/agent/control_directory.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Kind of the result of a fetch.
enum class ServiceListKind {
  listed,
  unsupported,  // the control node is of an earlier version, which can't list them
  unavailable,  // no control node has read the list from a majority by the deadline
};

// Result of a fetch. `list` is set only for `listed`.
struct ServiceListResult {
  ServiceListKind kind = ServiceListKind::unavailable;
  wire::ServiceList list;
};

// Asks one control node after another until one has read the list from a majority of the control group after
// the fetch began. One call serves all fetches that began before it. Not thread-safe; calls back on the
// runtime's thread.
class ServiceListFetcher {
 public:
  using Done = std::function<void(const ServiceListResult&)>;
  // Called with every answer, which also has the leaders and members that the control node knows.
  using UpdateListener = std::function<void(const Address& peer, const wire::ConfigurationUpdate& update)>;

  // The references must outlive the fetcher.
  ServiceListFetcher(Runtime& runtime, const ClusterView& view, ControlDirectory& directory,
                     UpdateListener on_update);

  // Calls `done` exactly once, by `deadline`, not from within this function.
  void fetch(TimePoint deadline, Done done);

 private:
  struct Fetch {
    Done done;
    std::unique_ptr<Timer> deadline;
  };

  void expire(std::uint64_t number);
  void begin_call();
  void on_answer(const Address& peer, const CallResult& result);
  // Ends the fetches that the call serves.
  void finish(const ServiceListResult& result);
  // Repeats the call later, at another control node.
  void retry(const Address& failed);

  Runtime& runtime_;
  const ClusterView& view_;
  ControlDirectory& directory_;
  const UpdateListener on_update_;
  std::map<std::uint64_t, Fetch> fetches_;  // by number, in the order of their beginning
  std::uint64_t last_fetch_ = 0;
  std::uint64_t last_served_ = 0;  // the call in progress serves the fetches up to this one
  bool calling_ = false;
  Address failed_;  // the control node that has failed last; empty: none since the last success
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace winchhall::cluster
