// Serves the configuration to the ingress on the same machine.
#pragma once

#include <list>
#include <memory>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_transfer_server.hpp"

namespace winchhall::cluster {

// Answers long polls for a newer configuration, and hands it on as differences, or as a whole to an ingress
// that does not fetch. Not thread-safe.
class ConfigurationWatchServer {
 public:
  // Both references outlive the server.
  ConfigurationWatchServer(Runtime& runtime, const ClusterView& view);

  // Answers at once if the view's version is newer than the poll's, else when it becomes so, when the quorum
  // contact changes, or after the poll's wait.
  void watch(const wire::ConfigurationWatch& watch, const ReplyCallback& reply);
  void fetch(const wire::ConfigurationFetch& fetch, const ReplyCallback& reply) {
    differences_.handle(fetch, reply);
  }
  // The view has a newer configuration: answers the polls that wait for it.
  void on_newer_configuration();
  // Whether this process has contact to a control node with a quorum; a change answers all polls.
  void set_quorum_contact(bool has_contact);
  // Bounds the wait of polls from now on, and answers all that are held.
  void set_max_wait(Millis max_wait);

 private:
  struct Poll {
    std::uint64_t version = 0;  // that the ingress has
    bool fetches = false;       // it fetches differences: answers do not contain the configuration
    ReplyCallback reply;
    std::unique_ptr<Timer> timer;
  };
  using Polls = std::list<Poll>;

  void answer(Polls::iterator poll);
  void answer_all();

  Runtime& runtime_;
  const ClusterView& view_;
  ConfigurationTransferServer differences_;
  Polls polls_;
  bool has_quorum_contact_ = false;
  Millis max_wait_{10000};
};

}  // namespace winchhall::cluster
