// Serves the configuration to the ingress on the same machine.
#pragma once

#include <list>
#include <memory>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_transfer_server.hpp"

namespace winchhall::cluster {

// Answers the long polls of an ingress for a newer configuration. An ingress that fetches is told the version
// only and then fetches the difference; any other ingress gets the full configuration in the answer. Owns the
// pending polls. Not thread-safe.
class ConfigurationWatchServer {
 public:
  // `runtime` and `view` must outlive the server.
  ConfigurationWatchServer(Runtime& runtime, const ClusterView& view);

  // Answers at once if the view's version is newer than the poll's, else when it becomes so, when the quorum
  // contact changes, or after the poll's wait.
  void watch(const wire::ConfigurationWatch& watch, const ReplyCallback& reply);
  // Replies with one part of a difference, see ConfigurationTransferServer::handle.
  void fetch(const wire::ConfigurationFetch& fetch, const ReplyCallback& reply) {
    transfer_server_.handle(fetch, reply);
  }
  // Must be called when the view has a newer configuration. Answers the polls that wait for it.
  void on_newer_configuration();
  // Sets whether this process is in contact with a control node that has a quorum. A change answers all
  // pending polls.
  void set_quorum_contact(bool has_contact);
  // Limits the wait of further polls, and answers all pending ones.
  void set_max_wait(Millis max_wait);

 private:
  struct Poll {
    std::uint64_t version = 0;  // configuration version that the ingress has
    bool fetches = false;       // the ingress fetches differences: the answer contains no configuration
    ReplyCallback reply;
    std::unique_ptr<Timer> timer;
  };
  using Polls = std::list<Poll>;

  void answer(Polls::iterator poll);
  void answer_all();

  Runtime& runtime_;
  const ClusterView& view_;
  ConfigurationTransferServer transfer_server_;
  Polls polls_;
  bool has_quorum_contact_ = false;
  Millis max_wait_{10000};
};

}  // namespace winchhall::cluster
