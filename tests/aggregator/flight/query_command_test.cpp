// Decoding and checking of a client's query command.
#include "aggregator/flight/query_command.hpp"

#include <doctest/doctest.h>

#include "command.pb.h"

using namespace winchhall;
using namespace winchhall::flight;

namespace {

constexpr int kShards = 16;

Settings settings_with(const std::string& class_name, const std::string& tenant) {
  Settings settings;
  settings.classes.push_back({.name = class_name});
  settings.tenants.push_back({tenant, 10});
  return settings;
}

const Settings kSettings = settings_with("lookup", "acme");

QueryCommand command_for_shards(const std::vector<int>& shards) {
  QueryCommand command;
  command.set_query_class("lookup");
  for (int shard : shards) {
    auto* part = command.add_parts();
    part->set_shard(shard);
    part->set_weight(1.0 / static_cast<double>(shards.size()));
  }
  return command;
}

auto read(const QueryCommand& command, bool allows_spans = false) {
  return read_query_command(command.SerializeAsString(), {kSettings, kShards, allows_spans});
}

Status status_of(const std::variant<coordination::QuerySpec, CallError>& read) {
  const auto* error = std::get_if<CallError>(&read);
  return error ? error->status : Status::ok;
}

}  // namespace

TEST_CASE("all fields of a command are taken over, cost estimates in ms") {
  QueryCommand command = command_for_shards({3, 5});
  command.set_tenant("acme");
  command.set_key(7);
  command.set_text("text");
  command.set_repeat(true);
  command.mutable_parts(0)->set_hint_us(1500);
  const auto result = read(command);
  REQUIRE(status_of(result) == Status::ok);
  const auto& query = std::get<coordination::QuerySpec>(result);
  CHECK(query.query_class == 0);
  CHECK(query.tenant == 0);
  CHECK(query.key == 7);
  CHECK(query.text == "text");
  CHECK(query.is_retry);
  REQUIRE(query.parts.size() == 2);
  CHECK(query.parts[0].shard == 3);
  CHECK(query.parts[0].weight == 0.5);
  CHECK(query.parts[0].hint == 1.5);
  CHECK(!query.parts[1].hint);
}

TEST_CASE("an unknown tenant is none, an unknown class is an error") {
  QueryCommand command = command_for_shards({1});
  command.set_tenant("nobody");
  const auto result = read(command);
  REQUIRE(status_of(result) == Status::ok);
  CHECK(std::get<coordination::QuerySpec>(result).tenant == -1);
  command.set_query_class("nothing");
  CHECK(status_of(read(command)) == Status::not_found);
  command.set_query_class("");
  CHECK(status_of(read(command)) == Status::not_found);
}

TEST_CASE("invalid commands are rejected with a status") {
  CHECK(status_of(read_query_command("\xff\xff", {kSettings, kShards, false})) == Status::invalid_argument);
  CHECK(status_of(read(command_for_shards({}))) == Status::invalid_argument);
  CHECK(status_of(read(command_for_shards({1, 1}))) == Status::invalid_argument);
  CHECK(status_of(read(command_for_shards({kShards}))) == Status::invalid_argument);
  QueryCommand long_text = command_for_shards({1});
  long_text.set_text(std::string(64 * 1024 + 1, 'x'));
  CHECK(status_of(read(long_text)) == Status::invalid_argument);
}

TEST_CASE("spans are accepted only where a range directory is followed") {
  QueryCommand command;
  command.set_query_class("lookup");
  auto* span = command.add_spans();
  span->set_from(10);
  span->set_to(20);
  command.set_hint_us(2000);
  CHECK(status_of(read(command)) == Status::invalid_argument);
  const auto result = read(command, true);
  REQUIRE(status_of(result) == Status::ok);
  const auto& query = std::get<coordination::QuerySpec>(result);
  REQUIRE(query.spans.size() == 1);
  CHECK(query.spans[0] == ranges::Span{10, 20});
  CHECK(query.hint == 2.0);
}
