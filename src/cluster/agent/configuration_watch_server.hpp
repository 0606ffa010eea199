// Answers the long polls of the ingress on the same machine, and hands the newest configuration on to it.
#pragma once

#include <list>
#include <memory>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_transfer_server.hpp"

namespace winchhall::cluster {

class ConfigurationWatchServer {
 public:
  ConfigurationWatchServer(Runtime& runtime, const ClusterView& view);

  void watch(const wire::ConfigurationWatch& watch, const ReplyCallback& reply);
  void fetch(const wire::ConfigurationFetch& fetch, const ReplyCallback& reply) {
    differences_.handle(fetch, reply);
  }
  // The view has a newer configuration: answers all polls that wait for one.
  void on_newer_configuration();
  // What is told of the link to the control group; a change answers all polls.
  void set_in_touch(bool in_touch);
  // Polls are held no longer than this.
  void set_max_wait(Millis longest_wait);

 private:
  struct Poll {
    std::uint64_t version = 0;
    bool fetches = false;
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
  bool in_touch_ = false;
  Millis max_wait_{10000};
};

}  // namespace winchhall::cluster
