// Parsing of heartbeats and encoding of responses, both in JSON.
#include <catch2/catch.hpp>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

// Returns the name of the field for which a heartbeat is rejected, or nothing if it is accepted.
std::string rejected_field(const std::string& leaf_id, const std::string& body) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(parse_heartbeat(leaf_id, body));
        return std::string();
      },
      [](const InvalidInput& error) { return error.field; }, [] { return std::string("?"); });
}

Heartbeat parse_valid(const std::string& body) {
  return leaf::try_handle_all([&] { return parse_heartbeat("i-1", body); }, [] { return Heartbeat(); });
}

}  // namespace

TEST_CASE("a complete heartbeat is parsed") {
  const Heartbeat heartbeat = parse_valid(
      R"({"backend":"huvo11a","address":"10.128.0.9:8080","zone":"z",)"
      R"("version":"v1","slots":8,"state":"draining",)"
      R"("warmup_left_ms":0,"remaining_ms":1500,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":2},)"
      R"("labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"unknown":{"x":[1]},)"
      R"("running":[["5c.0.1.17",2,"00000bb87a21d94b",41]],"finished":[[58,"5c.0.1.9",1,"lapsed","aa"]]})");
  CHECK(heartbeat.leaf.service() == "huvo11a");
  CHECK(heartbeat.leaf.draining());
  CHECK(heartbeat.leaf.remaining_ms() == 1500);
  CHECK(heartbeat.leaf.gpu() == 2);
  CHECK(heartbeat.leaf.labels_size() == 2);
  CHECK(heartbeat.sequence == 4);
  CHECK(heartbeat.clock_ms == 482113);
  REQUIRE(heartbeat.running.size() == 1);
  CHECK(heartbeat.running[0].percent() == 41);
  REQUIRE(heartbeat.finished.size() == 1);
  CHECK(heartbeat.finished[0].how() == wire::END_LAPSED);
  CHECK(heartbeat.finished[0].saved() == "aa");
}

TEST_CASE("missing lists count as empty") {
  const Heartbeat heartbeat = parse_valid(R"({"backend":"b","sequence":1})");
  CHECK(heartbeat.leaf.leaf_id() == "i-1");
  CHECK(heartbeat.running.empty());
}

TEST_CASE("an invalid heartbeat is rejected with the name of the field") {
  CHECK(rejected_field("i-1", "") == "body");
  CHECK(rejected_field("i-1", "[]") == "body");
  CHECK(rejected_field("i-1", R"({"backend":"b")") == "body");
  CHECK(rejected_field("i-1", "{\"backend\":\"\xff\"}") == "body");
  CHECK(rejected_field("i-1", R"({"backend":7})") == "backend");
  CHECK(rejected_field("i-1", R"({"slots":-1})") == "slots");
  CHECK(rejected_field("i-1", R"({"sequence":"4"})") == "sequence");
  CHECK(rejected_field("i-1", R"({"clock_ms":"x"})") == "clock_ms");
  CHECK(rejected_field("i-1", R"({"capacity":[]})") == "capacity");
  CHECK(rejected_field("i-1", R"({"capacity":{"cpu":"a"}})") == "capacity.cpu");
  CHECK(rejected_field("i-1", R"({"running":{}})") == "running");
  CHECK(rejected_field("i-1", R"({"running":[["t"]]})") == "running");
  CHECK(rejected_field("i-1", R"({"finished":[[1,"t",1]]})") == "finished");
  CHECK(rejected_field("i-1", R"({"labels":[1]})") == "labels");
  CHECK(rejected_field("", "{}") == "id");
  CHECK(rejected_field("a/b", "{}") == "id");
  CHECK(rejected_field("i-1", "{}").empty());
}

TEST_CASE_METHOD(WorkerAgentFixture, "an invalid heartbeat gets status 400 and changes nothing") {
  complete_first_exchange();
  const auto answer = raw_heartbeat("i-1", "{\"sequence\":");
  REQUIRE(answer->answered);
  CHECK(answer->status == 400);
  CHECK(answer->body.at("error").as_object().at("field") == "body");
  CHECK(agent->session().leaf().leaf_id() == "i-1");
}

TEST_CASE("a response leaves out empty fields") {
  CHECK(heartbeat_response_json({}) == "{}");
  HeartbeatResponse answer;
  answer.lease = Millis(4000);
  answer.last_seen = 58;
  answer.fence_token = 7;
  answer.starts.push_back(start_order(1, "5c.0.1.18", 1));
  answer.stops.push_back(stop_order(2, "5c.0.1.17", 2));
  answer.retry_after = Millis(200);
  CHECK(heartbeat_response_json(answer) ==
        R"({"hold_ms":4000,"last_seen":58,"fence_token":7,"started_at":[["5c.0.1.18",1,"work",""]],)"
        R"("stopped_at":[["5c.0.1.17",2]],"retry_after_ms":200})");
}
