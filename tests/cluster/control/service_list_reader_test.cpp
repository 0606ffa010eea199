// The list of services that may hold jobs, as a control node reads it from a majority.
#include "cluster/control/service_list_reader.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/support/configuration_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::configuration_test;

namespace {

using Delivery = SharedRegisters::Delivery;

std::string record_of_version(std::uint64_t version) {
  wire::ConfigurationRecord record;
  record.set_version(version);
  return record.SerializeAsString();
}

// A reader whose shards are listed as the test says.
struct ServiceListReaderFixture {
  SharedRegisters registers;
  std::optional<ShardList> shards = ShardList();
  std::vector<std::uint64_t> versions_found;
  ServiceListReader reader{registers, [this](const ShardListReader::Done& done) { done(shards); },
                           [this](const RegisterValue& value) {
                             versions_found.push_back(parse_configuration_record(value.value).version());
                           }};

  // A version is chosen; members of a majority have accepted it.
  void choose(std::uint64_t version) {
    registers.update(
        kConfigurationRegister,
        [version](const std::string&) { return std::optional(record_of_version(version)); }, Millis(1),
        [](const std::optional<RegisterValue>&) {});
    registers.run_all();
    shards->accepted_configuration = registers.value().ballot;
  }
  wire::ServiceList read(Delivery delivery = Delivery::delivered) {
    std::optional<wire::ServiceList> result;
    reader.read([&](const wire::ServiceList& list) { result = list; });
    while (registers.pending() > 0) registers.run_oldest(delivery);
    REQUIRE(result);
    return *result;
  }
};

}  // namespace

TEST_CASE_METHOD(ServiceListReaderFixture, "services are named by the shards that hold records") {
  shards->shards = {"other", "service/archive", "service/core"};
  const wire::ServiceList list = read();
  CHECK(list.complete());
  CHECK(std::vector<std::string>(list.services().begin(), list.services().end()) ==
        std::vector<std::string>{"archive", "core"});
  CHECK(list.configuration_version() == 0);
}

// Guards against answers "there is none" that are judged by an outdated configuration.
TEST_CASE_METHOD(ServiceListReaderFixture, "a list names the newest chosen version of the configuration") {
  choose(5);
  CHECK(read().configuration_version() == 5);
  choose(7);
  choose(9);
  CHECK(read().configuration_version() == 9);
  CHECK(versions_found == std::vector<std::uint64_t>{5, 9});
}

TEST_CASE_METHOD(ServiceListReaderFixture, "a configuration that has not changed is not read again") {
  choose(5);
  read();
  CHECK(read().configuration_version() == 5);
  CHECK(versions_found.size() == 1);
}

TEST_CASE_METHOD(ServiceListReaderFixture, "a list is incomplete if no majority answers") {
  SECTION("for the shards") {
    shards.reset();
    CHECK_FALSE(read().complete());
  }
  SECTION("for the configuration") {
    choose(5);
    CHECK_FALSE(read(Delivery::response_lost).complete());
    CHECK(read().complete());
  }
}

TEST_CASE_METHOD(ServiceListReaderFixture, "without a lister of shards there are no lists") {
  CHECK(reader.is_available());
  CHECK_FALSE(ServiceListReader(registers, nullptr, [](const RegisterValue&) {}).is_available());
}
