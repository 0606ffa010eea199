// Acceptor: which requests it rejects, that it answers only once its state is durable, and which state
// survives a restart.
#include "cluster/consensus/acceptor.hpp"

#include <catch2/catch.hpp>

#include "cluster/consensus/ballot.hpp"
#include "cluster/consensus/lease_timing.hpp"
#include "tests/cluster/support/sim_runtime.hpp"

namespace winchhall::cluster {
namespace {

constexpr std::uint64_t kEpoch = 3;  // of the member record

wire::Ballot ballot(std::uint64_t counter, std::uint64_t proposer = 1) {
  wire::Ballot ballot;
  ballot.set_counter(counter);
  ballot.set_proposer(proposer);
  return ballot;
}

// An acceptor on a simulated node with a simulated disk.
class AcceptorFixture {
 public:
  AcceptorFixture()
      : simulation_(1), node_(simulation_.add_node("10.0.0.1:7000", [](sim::SimNode&) {
          return sim::SimNode::Program{nullptr,
                                       [](const wire::Envelope&, const ReplyCallback&) { return false; }};
        })) {
    node_.start();
    membership_status_ = {7, kEpoch, true};
    open();
  }

  // Crashes the process and starts it again with its durable state.
  void restart() {
    node_.crash();
    node_.start();
    open();
    node_.store().load([this](std::string_view key, std::string_view value) { acceptor_->load(key, value); });
    acceptor_->shards().assume_leases();
  }
  std::optional<wire::Envelope> call(const wire::Envelope& request) {
    auto answer = std::make_shared<std::optional<wire::Envelope>>();
    REQUIRE(acceptor_->handle(request, [answer](wire::Envelope envelope) { *answer = std::move(envelope); }));
    simulation_.run_until([&] { return answer->has_value(); }, Millis(100));
    return *answer;
  }
  wire::RegisterPromise prepare(const wire::Ballot& number, std::uint64_t epoch = kEpoch) {
    wire::Envelope request;
    request.mutable_register_prepare()->set_key("key");
    *request.mutable_register_prepare()->mutable_ballot() = number;
    request.mutable_register_prepare()->set_member_epoch(epoch);
    return call(request).value().register_promise();
  }
  wire::RegisterAccepted accept(const wire::Ballot& number, const std::string& value,
                                std::uint64_t epoch = kEpoch) {
    wire::Envelope request;
    request.mutable_register_accept()->set_key("key");
    *request.mutable_register_accept()->mutable_ballot() = number;
    request.mutable_register_accept()->set_value(value);
    request.mutable_register_accept()->set_member_epoch(epoch);
    return call(request).value().register_accepted();
  }
  wire::LeaseReply lease(std::uint64_t epoch, std::uint64_t holder, std::uint64_t member_epoch = kEpoch,
                         bool release = false, std::uint64_t session = 1) {
    wire::Envelope request;
    request.mutable_lease_request()->set_shard("shard");
    request.mutable_lease_request()->set_epoch(epoch);
    request.mutable_lease_request()->set_holder(holder);
    request.mutable_lease_request()->set_session(session);
    request.mutable_lease_request()->set_member_epoch(member_epoch);
    request.mutable_lease_request()->set_release(release);
    return call(request).value().lease_reply();
  }
  wire::ShardWritten write(std::uint64_t epoch, std::uint64_t member_epoch = kEpoch) {
    wire::Envelope request;
    request.mutable_shard_write()->set_shard("shard");
    request.mutable_shard_write()->set_epoch(epoch);
    request.mutable_shard_write()->set_member_epoch(member_epoch);
    return call(request).value().shard_written();
  }

  sim::Simulation& simulation() { return simulation_; }
  sim::SimNode& node() { return node_; }
  MembershipStatus& membership_status() { return membership_status_; }
  Acceptor& acceptor() { return *acceptor_; }

 private:
  void open() {
    commit_queue_ = std::make_unique<CommitQueue>(node_, node_.store());
    acceptor_ = std::make_unique<Acceptor>(node_, *commit_queue_, membership_status_,
                                           [](const std::string&, const RegisterValue&) {});
  }

  sim::Simulation simulation_;
  sim::SimNode& node_;
  MembershipStatus membership_status_;
  std::unique_ptr<CommitQueue> commit_queue_;
  std::unique_ptr<Acceptor> acceptor_;
};

TEST_CASE("an acceptor rejects requests of any other member epoch and answers with its own") {
  AcceptorFixture fixture;
  for (const std::uint64_t epoch : {kEpoch - 1, kEpoch + 1}) {
    CHECK_FALSE(fixture.prepare(ballot(5), epoch).promised());
    CHECK_FALSE(fixture.accept(ballot(5), "x", epoch).accepted());
    CHECK_FALSE(fixture.lease(5, 1, epoch).granted());
    CHECK_FALSE(fixture.write(5, epoch).ok());
    CHECK(fixture.prepare(ballot(5), epoch).member_epoch() == kEpoch);
    CHECK_FALSE(fixture.lease(5, 1, epoch).voting());
  }
  CHECK(fixture.prepare(ballot(1)).promised());
  CHECK(fixture.lease(1, 1).granted());
}

TEST_CASE("an acceptor that does not vote says so in every answer") {
  AcceptorFixture fixture;
  fixture.membership_status().voting = false;
  CHECK_FALSE(fixture.prepare(ballot(1)).voting());
  CHECK_FALSE(fixture.accept(ballot(1), "x").voting());
  CHECK_FALSE(fixture.lease(1, 1).voting());
  CHECK_FALSE(fixture.write(1).voting());
}

TEST_CASE("a register's promise and value survive a crash, and lower ballots are rejected after it") {
  AcceptorFixture fixture;
  REQUIRE(fixture.accept(ballot(4), "x").accepted());
  REQUIRE(fixture.prepare(ballot(9)).promised());
  fixture.restart();
  CHECK_FALSE(fixture.accept(ballot(8), "y").accepted());
  CHECK_FALSE(fixture.prepare(ballot(8)).promised());
  const wire::RegisterPromise promise = fixture.prepare(ballot(10));
  CHECK(promise.promised());
  CHECK(promise.value() == "x");
  CHECK(same_ballot(promise.accepted(), ballot(4)));
}

TEST_CASE("nothing is answered before it is durable") {
  AcceptorFixture fixture;
  fixture.node().hang_disk_for(Millis(5000));
  wire::Envelope prepare;
  prepare.mutable_register_prepare()->set_member_epoch(kEpoch);
  *prepare.mutable_register_prepare()->mutable_ballot() = ballot(1);
  CHECK_FALSE(fixture.call(prepare));
  wire::Envelope lease;
  lease.mutable_lease_request()->set_member_epoch(kEpoch);
  lease.mutable_lease_request()->set_epoch(1);
  lease.mutable_lease_request()->set_holder(1);
  CHECK_FALSE(fixture.call(lease));
}

TEST_CASE("a renewal does not wait for the disk") {
  AcceptorFixture fixture;
  REQUIRE(fixture.lease(1, 1).granted());
  fixture.node().hang_disk_for(Millis(5000));
  CHECK(fixture.lease(1, 1).granted());
}

TEST_CASE("a lease in force excludes other holders, also after a restart of the acceptor that granted it") {
  AcceptorFixture fixture;
  REQUIRE(fixture.lease(1, 1).granted());
  CHECK_FALSE(fixture.lease(2, 2).granted());
  fixture.simulation().run_for(Millis(1000));
  REQUIRE(fixture.lease(1, 1).granted());
  fixture.restart();
  CHECK_FALSE(fixture.lease(2, 2).granted());
  fixture.simulation().run_for(kLeaseDuration - Millis(200));
  CHECK_FALSE(fixture.lease(2, 2).granted());
  fixture.simulation().run_for(Millis(300));
  CHECK(fixture.lease(2, 2).granted());
  CHECK_FALSE(fixture.lease(1, 1).granted());
}

TEST_CASE("the holder itself may take a higher epoch at once, and a released lease is free at once") {
  AcceptorFixture fixture;
  REQUIRE(fixture.lease(1, 1).granted());
  fixture.restart();
  CHECK(fixture.lease(2, 1).granted());
  fixture.lease(2, 1, kEpoch, true);
  CHECK(fixture.lease(3, 2).granted());
}

TEST_CASE("one epoch is granted to one holder only") {
  AcceptorFixture fixture;
  REQUIRE(fixture.lease(1, 1).granted());
  fixture.lease(1, 1, kEpoch, true);
  CHECK_FALSE(fixture.lease(1, 2).granted());
}

TEST_CASE("a holder that requests an epoch again in another incarnation does not get it") {
  AcceptorFixture fixture;
  REQUIRE(fixture.lease(7, 1, kEpoch, false, 100).granted());
  CHECK_FALSE(fixture.lease(7, 1, kEpoch, false, 200).granted());
  CHECK(fixture.lease(7, 1, kEpoch, false, 100).granted());
}

TEST_CASE("a late release by another incarnation or epoch does not end a lease") {
  AcceptorFixture fixture;
  REQUIRE(fixture.lease(7, 1, kEpoch, false, 200).granted());
  fixture.lease(7, 1, kEpoch, true, 100);
  fixture.lease(9, 1, kEpoch, true, 100);
  CHECK_FALSE(fixture.lease(8, 2).granted());
  fixture.lease(7, 1, kEpoch, true, 200);
  CHECK(fixture.lease(8, 2).granted());
}

TEST_CASE("a newcomer whose sources promised one epoch to two holders grants it to neither") {
  AcceptorFixture fixture;
  std::vector<TransferredState> copies(2);
  for (std::size_t index = 0; index < 2; ++index) {
    copies[index].shards["shard"].state.set_epoch(7);
    copies[index].shards["shard"].state.set_holder(1);
    copies[index].shards["shard"].state.set_session(100 + index);
  }
  fixture.acceptor().merge(copies);
  CHECK_FALSE(fixture.lease(7, 1, kEpoch, false, 100).granted());
  CHECK_FALSE(fixture.lease(7, 1, kEpoch, false, 101).granted());
  CHECK(fixture.lease(9, 1, kEpoch, false, 102).granted());
}

TEST_CASE("writes of an earlier epoch are rejected, those of a later one raise the promise") {
  AcceptorFixture fixture;
  REQUIRE(fixture.lease(5, 1).granted());
  CHECK_FALSE(fixture.write(4).ok());
  CHECK(fixture.write(6).ok());
  CHECK_FALSE(fixture.lease(5, 1).granted());
}

TEST_CASE("a newcomer's merge takes promises and newest values of all copies") {
  AcceptorFixture fixture;
  REQUIRE(fixture.accept(ballot(2), "own").accepted());
  std::vector<TransferredState> copies(2);
  *copies[0].registers["key"].mutable_promised() = ballot(20);
  *copies[0].registers["key"].mutable_accepted() = ballot(3);
  copies[0].registers["key"].set_value("newer");
  *copies[1].registers["key"].mutable_promised() = ballot(9);
  copies[0].shards["shard"].state.set_epoch(8);
  copies[0].shards["shard"].state.set_holder(4);
  copies[1].shards["shard"].state.set_epoch(6);
  fixture.acceptor().merge(copies);
  CHECK_FALSE(fixture.prepare(ballot(19)).promised());
  const wire::RegisterPromise promise = fixture.prepare(ballot(21));
  CHECK(promise.value() == "newer");
  CHECK_FALSE(fixture.lease(7, 9).granted());
  CHECK(fixture.lease(9, 9).granted());
}

}  // namespace
}  // namespace winchhall::cluster
