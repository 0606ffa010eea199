// Peer samplers that shuffle with each other in virtual time.
#include "cluster/membership/peer_sampler.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/cluster/support/fake_runtime.hpp"

using namespace winchhall::cluster;
using winchhall::cluster::testing::FakeRuntime;

namespace {

Address address_of(std::size_t index) { return "10.0.0." + std::to_string(index + 1) + ":7380"; }

// Processes with a sampler each; the first `control` of them are control nodes and three of these the seeds.
class SamplerOverlay {
 public:
  SamplerOverlay(std::size_t processes, std::size_t control) {
    for (std::size_t i = 0; i < processes; ++i) {
      add(PeerDescriptor{address_of(i), i < control ? PeerRole::control : PeerRole::agent, "zone-a", 0});
    }
  }

  void add(const PeerDescriptor& self) {
    const std::size_t index = samplers.size();
    samplers.push_back(std::make_unique<PeerSampler>(
        runtime, self,
        [this, index](const std::vector<Address>& nodes) { reported_control_nodes[index] = nodes; }));
    samplers.back()->set_seeds({address_of(0), address_of(1), address_of(2)});
    if (!self.address.empty()) listen(index);
    samplers.back()->start();
  }
  void listen(std::size_t index) {
    runtime.peers[address_of(index)] = [this, index](const wire::Envelope& request,
                                                     const ReplyCallback& reply) {
      bytes += request.ByteSizeLong();
      if (samplers[index]) {
        samplers[index]->handle(request, [this, reply](const wire::Envelope& answer) {
          bytes += answer.ByteSizeLong();
          reply(answer);
        });
      }
    };
  }
  void kill(std::size_t index) {
    runtime.peers.erase(address_of(index));
    samplers[index].reset();
  }
  // Views of living processes that contain a process.
  std::size_t in_degree(std::size_t index) const {
    std::size_t count = 0;
    for (const auto& sampler : samplers) {
      if (sampler && sampler->view().contains(address_of(index))) ++count;
    }
    return count;
  }

  FakeRuntime runtime;
  std::vector<std::unique_ptr<PeerSampler>> samplers;
  std::map<std::size_t, std::vector<Address>> reported_control_nodes;
  std::size_t bytes = 0;
};

wire::Envelope shuffle_of(const PeerDescriptor& from, const std::vector<PeerDescriptor>& peers) {
  wire::Envelope envelope;
  wire::PeerShuffle& shuffle = *envelope.mutable_peer_shuffle();
  *shuffle.mutable_from() = to_wire(from);
  for (const PeerDescriptor& peer : peers) *shuffle.add_peers() = to_wire(peer);
  return envelope;
}

}  // namespace

TEST_CASE("every process learns of all control nodes, also of those that are not seeds") {
  SamplerOverlay overlay(21, 5);
  overlay.runtime.run_for(Millis(60'000));
  for (std::size_t i = 0; i < 21; ++i) {
    INFO(i);
    const std::size_t others = i < 5 ? 4 : 5;
    CHECK(overlay.samplers[i]->control_nodes().size() == others);
    CHECK(overlay.reported_control_nodes[i] == overlay.samplers[i]->control_nodes());
  }
}

TEST_CASE("control nodes that replace all seeds are found by processes that knew none of them") {
  SamplerOverlay overlay(16, 3);
  overlay.runtime.run_for(Millis(60'000));
  for (std::size_t i = 0; i < 3; ++i) overlay.kill(i);
  // The seeds of the new machines are agents only, as in a settings file of their own.
  for (std::size_t i = 16; i < 19; ++i) {
    overlay.add(PeerDescriptor{address_of(i), PeerRole::control, "zone-a", 0});
    overlay.samplers[i]->set_seeds({address_of(7)});
  }
  overlay.runtime.run_for(Millis(300'000));
  for (std::size_t i = 3; i < 16; ++i) {
    INFO(i);
    const std::vector<Address> expected{address_of(16), address_of(17), address_of(18)};
    CHECK(overlay.samplers[i]->control_nodes() == expected);
  }
}

TEST_CASE("dead processes leave all views in bounded time, live ones stay") {
  SamplerOverlay overlay(30, 5);
  overlay.runtime.run_for(Millis(60'000));
  for (std::size_t i = 20; i < 29; ++i) overlay.kill(i);
  overlay.runtime.run_for(Millis(120'000));
  for (std::size_t i = 20; i < 29; ++i) CHECK(overlay.in_degree(i) == 0);
  for (std::size_t i = 0; i < 20; ++i) {
    INFO(i);
    CHECK(overlay.in_degree(i) > 0);
    CHECK(overlay.samplers[i]->view().peers().size() >= 4);
  }
}

TEST_CASE("a process partitioned until its view is empty finds peers again without any seed") {
  SamplerOverlay overlay(12, 3);
  overlay.runtime.run_for(Millis(60'000));
  const auto all_peers = overlay.runtime.peers;
  overlay.runtime.peers.clear();  // no process can reach another one
  overlay.runtime.run_for(Millis(600'000));
  for (std::size_t i = 0; i < 12; ++i) REQUIRE(overlay.samplers[i]->view().empty());
  overlay.runtime.peers = all_peers;
  for (std::size_t i = 0; i < 3; ++i) overlay.kill(i);
  overlay.runtime.run_for(Millis(180'000));
  for (std::size_t i = 3; i < 12; ++i) CHECK(overlay.samplers[i]->view().peers().size() >= 4);
}

TEST_CASE("a caller-only process is in no view and still learns of control nodes") {
  SamplerOverlay overlay(10, 4);
  overlay.add(PeerDescriptor{"", PeerRole::worker_agent, "zone-a", 0});
  overlay.runtime.run_for(Millis(120'000));
  CHECK(overlay.samplers[10]->control_nodes().size() == 4);
  for (std::size_t i = 0; i < 10; ++i) {
    for (const PeerDescriptor& peer : overlay.samplers[i]->view().peers()) CHECK_FALSE(peer.address.empty());
  }
}

TEST_CASE("changed seeds are contacted") {
  SamplerOverlay overlay(4, 3);
  PeerSampler late(overlay.runtime, PeerDescriptor{address_of(9), PeerRole::agent, "", 0}, nullptr);
  late.set_seeds({address_of(20)});
  late.start();
  overlay.runtime.run_for(Millis(60'000));
  CHECK(late.view().empty());
  late.set_seeds({address_of(1)});
  overlay.runtime.run_for(Millis(60'000));
  CHECK_FALSE(late.view().empty());
}

TEST_CASE("a stopped sampler calls nobody and still answers") {
  SamplerOverlay overlay(4, 3);
  overlay.runtime.run_for(Millis(30'000));
  for (const auto& sampler : overlay.samplers) sampler->stop();
  overlay.runtime.run_for(Millis(2'000));
  const std::uint64_t before = overlay.runtime.calls_made;
  overlay.runtime.run_for(Millis(60'000));
  CHECK(overlay.runtime.calls_made == before);
  bool answered = false;
  CHECK(overlay.samplers[0]->handle(
      shuffle_of(PeerDescriptor{address_of(8), PeerRole::agent, "", 0}, {}),
      [&](const wire::Envelope& answer) { answered = answer.has_peer_shuffle(); }));
  CHECK(answered);
}

TEST_CASE("invalid descriptors are ignored") {
  FakeRuntime runtime;
  PeerSampler sampler(runtime, PeerDescriptor{address_of(0), PeerRole::control, "", 0}, nullptr);
  const auto descriptor = [](Address address) {
    return PeerDescriptor{std::move(address), PeerRole::control, "a", 0};
  };
  std::vector<PeerDescriptor> bad{descriptor("10.0.0.7"),    descriptor("host:80"),
                                  descriptor("10.0.0.7:0"),  descriptor("10.0.0.7:70000"),
                                  descriptor("10.0.0.7:8x"), descriptor(std::string(5000, '1') + ":1")};
  bad.push_back(descriptor("10.0.0.7:80"));
  bad.back().age = kMaxDescriptorAge + 1;
  bad.push_back(descriptor("10.0.0.7:80"));
  bad.back().zone = std::string(5000, 'z');
  CHECK(sampler.handle(shuffle_of(descriptor("nobody"), bad), [](const wire::Envelope&) {}));
  CHECK(sampler.view().empty());
  CHECK(sampler.control_nodes().empty());
  CHECK_FALSE(sampler.handle(wire::Envelope(), [](const wire::Envelope&) {}));
}

TEST_CASE("an oversized message neither exceeds the view's capacity nor is read completely") {
  FakeRuntime runtime;
  PeerSampler sampler(runtime, PeerDescriptor{address_of(0), PeerRole::control, "", 0}, nullptr);
  std::vector<PeerDescriptor> many;
  for (std::size_t i = 1; i < 200; ++i) many.push_back({address_of(i), PeerRole::agent, "", 0});
  CHECK(descriptors_of(shuffle_of(many[0], many).peer_shuffle()).size() <= kMaxDescriptorsRead + 1);
  sampler.handle(shuffle_of(many[0], many), [](const wire::Envelope&) {});
  CHECK(sampler.view().peers().size() == 8);
}

TEST_CASE("a settled process sends and receives less than 200 bytes a second of messages") {
  SamplerOverlay overlay(21, 5);
  overlay.runtime.run_for(Millis(60'000));
  overlay.bytes = 0;
  overlay.runtime.run_for(Millis(600'000));
  const std::size_t per_process = overlay.bytes / 600 / 21;
  INFO(per_process);
  CHECK(per_process < 100);  // each byte is sent once and received once
}
