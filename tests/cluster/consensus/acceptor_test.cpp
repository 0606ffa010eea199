// One acceptor: what it refuses, what it answers only once durable, what it knows after a restart.
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

// One acceptor on a simulated disk.
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

  // The process ends and starts again with what is durable.
  void restart() {
    node_.crash();
    node_.start();
    open();
    node_.store().load([this](std::string_view key, std::string_view value) { acceptor_->load(key, value); });
    acceptor_->shards().assume_leases();
  }
  std::optional<wire::Envelope> ask(const wire::Envelope& request) {
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
    return ask(request).value().register_promise();
  }
  wire::RegisterAccepted accept(const wire::Ballot& number, const std::string& value,
                                std::uint64_t epoch = kEpoch) {
    wire::Envelope request;
    request.mutable_register_accept()->set_key("key");
    *request.mutable_register_accept()->mutable_ballot() = number;
    request.mutable_register_accept()->set_value(value);
    request.mutable_register_accept()->set_member_epoch(epoch);
    return ask(request).value().register_accepted();
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
    return ask(request).value().lease_reply();
  }
  wire::ShardWritten write(std::uint64_t epoch, std::uint64_t member_epoch = kEpoch) {
    wire::Envelope request;
    request.mutable_shard_write()->set_shard("shard");
    request.mutable_shard_write()->set_epoch(epoch);
    request.mutable_shard_write()->set_member_epoch(member_epoch);
    return ask(request).value().shard_written();
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

TEST_CASE("an acceptor refuses requests of any other member epoch and tells its own") {
  AcceptorFixture bench;
  for (const std::uint64_t epoch : {kEpoch - 1, kEpoch + 1}) {
    CHECK_FALSE(bench.prepare(ballot(5), epoch).promised());
    CHECK_FALSE(bench.accept(ballot(5), "x", epoch).accepted());
    CHECK_FALSE(bench.lease(5, 1, epoch).granted());
    CHECK_FALSE(bench.write(5, epoch).ok());
    CHECK(bench.prepare(ballot(5), epoch).member_epoch() == kEpoch);
    CHECK_FALSE(bench.lease(5, 1, epoch).voting());
  }
  CHECK(bench.prepare(ballot(1)).promised());
  CHECK(bench.lease(1, 1).granted());
}

TEST_CASE("an acceptor that does not vote says so with every answer") {
  AcceptorFixture bench;
  bench.membership_status().voting = false;
  CHECK_FALSE(bench.prepare(ballot(1)).voting());
  CHECK_FALSE(bench.accept(ballot(1), "x").voting());
  CHECK_FALSE(bench.lease(1, 1).voting());
  CHECK_FALSE(bench.write(1).voting());
}

TEST_CASE("a register's promise and value outlast a crash, and lower ballots are refused after it") {
  AcceptorFixture bench;
  REQUIRE(bench.accept(ballot(4), "x").accepted());
  REQUIRE(bench.prepare(ballot(9)).promised());
  bench.restart();
  CHECK_FALSE(bench.accept(ballot(8), "y").accepted());
  CHECK_FALSE(bench.prepare(ballot(8)).promised());
  const wire::RegisterPromise promise = bench.prepare(ballot(10));
  CHECK(promise.promised());
  CHECK(promise.value() == "x");
  CHECK(same_ballot(promise.accepted(), ballot(4)));
}

TEST_CASE("nothing is answered before it is durable") {
  AcceptorFixture bench;
  bench.node().hang_disk_for(Millis(5000));
  wire::Envelope prepare;
  prepare.mutable_register_prepare()->set_member_epoch(kEpoch);
  *prepare.mutable_register_prepare()->mutable_ballot() = ballot(1);
  CHECK_FALSE(bench.ask(prepare));
  wire::Envelope lease;
  lease.mutable_lease_request()->set_member_epoch(kEpoch);
  lease.mutable_lease_request()->set_epoch(1);
  lease.mutable_lease_request()->set_holder(1);
  CHECK_FALSE(bench.ask(lease));
}

TEST_CASE("a renewal does not wait for the disk") {
  AcceptorFixture bench;
  REQUIRE(bench.lease(1, 1).granted());
  bench.node().hang_disk_for(Millis(5000));
  CHECK(bench.lease(1, 1).granted());
}

TEST_CASE("a lease in force keeps others out, also after a restart of the acceptor that granted it") {
  AcceptorFixture bench;
  REQUIRE(bench.lease(1, 1).granted());
  CHECK_FALSE(bench.lease(2, 2).granted());
  bench.simulation().run_for(Millis(1000));
  REQUIRE(bench.lease(1, 1).granted());
  bench.restart();
  CHECK_FALSE(bench.lease(2, 2).granted());
  bench.simulation().run_for(kLeaseDuration - Millis(200));
  CHECK_FALSE(bench.lease(2, 2).granted());
  bench.simulation().run_for(Millis(300));
  CHECK(bench.lease(2, 2).granted());
  CHECK_FALSE(bench.lease(1, 1).granted());
}

TEST_CASE("the holder itself may take a higher epoch at once, and a released lease is free at once") {
  AcceptorFixture bench;
  REQUIRE(bench.lease(1, 1).granted());
  bench.restart();
  CHECK(bench.lease(2, 1).granted());
  bench.lease(2, 1, kEpoch, true);
  CHECK(bench.lease(3, 2).granted());
}

TEST_CASE("one epoch is granted to one holder only") {
  AcceptorFixture bench;
  REQUIRE(bench.lease(1, 1).granted());
  bench.lease(1, 1, kEpoch, true);
  CHECK_FALSE(bench.lease(1, 2).granted());
}

TEST_CASE("a holder that asks for an epoch again in another life does not get it") {
  AcceptorFixture bench;
  REQUIRE(bench.lease(7, 1, kEpoch, false, 100).granted());
  CHECK_FALSE(bench.lease(7, 1, kEpoch, false, 200).granted());
  CHECK(bench.lease(7, 1, kEpoch, false, 100).granted());
}

TEST_CASE("a late release of another life or epoch does not end a lease") {
  AcceptorFixture bench;
  REQUIRE(bench.lease(7, 1, kEpoch, false, 200).granted());
  bench.lease(7, 1, kEpoch, true, 100);
  bench.lease(9, 1, kEpoch, true, 100);
  CHECK_FALSE(bench.lease(8, 2).granted());
  bench.lease(7, 1, kEpoch, true, 200);
  CHECK(bench.lease(8, 2).granted());
}

TEST_CASE("a newcomer whose sources promised one epoch to two holders supports neither") {
  AcceptorFixture bench;
  std::vector<TransferredState> copies(2);
  for (std::size_t index = 0; index < 2; ++index) {
    copies[index].shards["shard"].state.set_epoch(7);
    copies[index].shards["shard"].state.set_holder(1);
    copies[index].shards["shard"].state.set_session(100 + index);
  }
  bench.acceptor().merge(copies);
  CHECK_FALSE(bench.lease(7, 1, kEpoch, false, 100).granted());
  CHECK_FALSE(bench.lease(7, 1, kEpoch, false, 101).granted());
  CHECK(bench.lease(9, 1, kEpoch, false, 102).granted());
}

TEST_CASE("writes of an earlier epoch are refused, those of a later one raise the promise") {
  AcceptorFixture bench;
  REQUIRE(bench.lease(5, 1).granted());
  CHECK_FALSE(bench.write(4).ok());
  CHECK(bench.write(6).ok());
  CHECK_FALSE(bench.lease(5, 1).granted());
}

TEST_CASE("a newcomer's merge takes promises and newest values of all copies") {
  AcceptorFixture bench;
  REQUIRE(bench.accept(ballot(2), "own").accepted());
  std::vector<TransferredState> copies(2);
  *copies[0].registers["key"].mutable_promised() = ballot(20);
  *copies[0].registers["key"].mutable_accepted() = ballot(3);
  copies[0].registers["key"].set_value("newer");
  *copies[1].registers["key"].mutable_promised() = ballot(9);
  copies[0].shards["shard"].state.set_epoch(8);
  copies[0].shards["shard"].state.set_holder(4);
  copies[1].shards["shard"].state.set_epoch(6);
  bench.acceptor().merge(copies);
  CHECK_FALSE(bench.prepare(ballot(19)).promised());
  const wire::RegisterPromise promise = bench.prepare(ballot(21));
  CHECK(promise.value() == "newer");
  CHECK_FALSE(bench.lease(7, 9).granted());
  CHECK(bench.lease(9, 9).granted());
}

}  // namespace
}  // namespace winchhall::cluster
