// Runtime for unit tests: virtual time, and peers that the test implements. Never sleeps.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster::testing {

class FakeRuntime : public Runtime {
 public:
  // Handles the requests to a peer; it may reply at once or later.
  using Peer = std::function<void(const wire::Envelope& request, const ReplyCallback& reply)>;

  // Latency of a request, and of a reply.
  Millis one_way{1};
  // By address. Calls to other addresses fail as unreachable.
  std::map<Address, Peer> peers;
  std::uint64_t calls_made = 0;

  TimePoint now() const override { return now_; }
  std::int64_t wall_clock_ms() const override {
    return now_.time_since_epoch() / Millis(1) + 1'700'000'000'000;
  }

  std::unique_ptr<Timer> after(Millis delay, std::function<void()> action) override {
    auto timer = std::make_unique<FakeTimer>();
    schedule(delay, [alive = std::weak_ptr<bool>(timer->alive), action = std::move(action)] {
      if (!alive.expired()) action();
    });
    return timer;
  }

  void call(const Address& peer, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done) override {
    ++calls_made;
    const auto call = std::make_shared<Call>(Call{std::move(done), false});
    schedule(timeout, [call] { call->finish({std::nullopt, CallError::timed_out}); });
    schedule(one_way, [this, peer, call, request = std::move(request)] { deliver(peer, request, call); });
  }

  std::uint64_t random() override {
    random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    return random_ >> 33;
  }

  void run_for(Millis duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

 private:
  struct FakeTimer : Timer {
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  };

  struct Call {
    std::function<void(CallResult)> done;
    bool finished;

    void finish(CallResult result) {
      if (finished) return;
      finished = true;
      done(std::move(result));
    }
  };

  void schedule(Millis delay, std::function<void()> action) {
    events_.emplace(std::make_pair(now_ + delay, ++sequence_), std::move(action));
  }

  void deliver(const Address& address, const wire::Envelope& request, const std::shared_ptr<Call>& call) {
    const auto found = peers.find(address);
    if (found == peers.end()) return call->finish({std::nullopt, CallError::unreachable});
    const Peer peer = found->second;
    peer(request, [this, call](wire::Envelope answer) {
      schedule(one_way, [call, answer = std::move(answer)] { call->finish({answer, CallError::timed_out}); });
    });
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t random_ = 1;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
};

// A complete configuration with one route for each entry, at the host "jobs.example".
inline std::string configuration_json(std::uint64_t version,
                                      const std::map<std::string, std::string>& service_by_prefix) {
  std::string routes;
  std::map<std::string, bool> services;
  for (const auto& [prefix, service] : service_by_prefix) {
    if (!routes.empty()) routes += ",";
    routes +=
        R"({"name":"queue)" + prefix + R"(","hostname":"jobs.example","path_prefix":")" + prefix +
        R"(","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":800,"priority":1,"backend":")" +
        service + R"(","max_retries":2,"stretch":2.0})";
    services[service] = true;
  }
  std::string service_list;
  for (const auto& entry : services) {
    if (!service_list.empty()) service_list += ",";
    service_list += R"({"name":")" + entry.first +
                    R"(","health_check_path":"/health","max_connections":64,"protocol":"h1","tls":false,)"
                    R"("preconditions":false})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" +
         service_list +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000}})";
}

}  // namespace winchhall::cluster::testing
