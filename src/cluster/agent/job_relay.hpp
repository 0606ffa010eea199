// Relays the ingress' job requests to the services' leaders, and looks for a job in other services where its
// queue may have moved.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/agent/leader_call.hpp"

namespace winchhall::cluster {

class JobRelay {
 public:
  explicit JobRelay(const LeaderCallContext& context);

  void handle(const wire::JobRequest& request, const ReplyCallback& reply);
  void on_leaders_changed();
  // Requests that are not answered yet.
  std::size_t open() const { return open_.size(); }

 private:
  using Done = LeaderCall::Done;

  // The same request, perhaps sent several times: one relay serves all.
  struct Waiting {
    TimePoint deadline;
    ReplyCallback reply;
  };
  struct OpenRequest {
    wire::JobRequest request;
    TimePoint started;
    TimePoint deadline;  // of the relay
    std::vector<Waiting> waiting;
  };

  void start(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  void finish(const std::string& key, const wire::JobReply& answer);
  void submit(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  void search_services(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  // Services in force other than the request's that the queue was sent to lately.
  std::vector<std::string> previous_services(const wire::JobRequest& request) const;
  std::vector<std::string> all_other_services(const wire::JobRequest& request) const;
  // Sends the request to several services at once: the first JOB_OK counts; JOB_NOT_FOUND if all say so; else
  // JOB_IN_DOUBT.
  void call_leaders(const std::vector<std::string>& services, const wire::JobRequest& request,
                    TimePoint deadline, const Done& done);
  void call_leader(wire::JobRequest request, TimePoint deadline, Done done);

  LeaderCallContext context_;
  std::list<std::shared_ptr<LeaderCall>> calls_;  // that have not ended
  std::map<std::string, OpenRequest> open_;
};

}  // namespace winchhall::cluster
