// Guards the wire format against incompatible changes: the numbers, types and labels of all fields are
// compared with the recorded ones, and messages encoded by revision 1ef7631 are decoded.
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "cluster/wire/cluster.pb.h"
#include "tests/compatibility/proto_fields.hpp"
#include "tests/compatibility/recorded_lines.hpp"

namespace wire = winchhall::cluster::wire;
using namespace winchhall::compatibility;

namespace {

const std::string kRecords = WINCHHALL_COMPATIBILITY_FOLDER;
const std::string kSources = WINCHHALL_SOURCE_FOLDER;

std::string to_hex(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4];
    text += kDigits[value & 15];
  }
  return text;
}

std::string from_hex(const std::string& text) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < text.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(text.substr(at, 2), nullptr, 16));
  }
  return bytes;
}

// The bytes of the recorded example `name`.
std::string recorded_bytes(const std::string& name) {
  std::ifstream file(kRecords + "/data/1ef7631/messages.hex");
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    std::string found;
    std::string hex;
    if (words >> found >> hex && found == name) return from_hex(hex);
  }
  return {};
}

// Decodes a recorded example. `same` is the same message, built through the accessors of its fields; it must
// encode to the recorded bytes.
template <typename Message>
Message decode_example(const std::string& name, const Message& same) {
  INFO(name);
  const std::string recorded = recorded_bytes(name);
  CHECK(to_hex(same.SerializeAsString()) == to_hex(recorded));
  Message decoded;
  REQUIRE(!recorded.empty());
  REQUIRE(decoded.ParseFromString(recorded));
  CHECK(to_hex(decoded.SerializeAsString()) == to_hex(recorded));
  return decoded;
}

void set(wire::Ballot& ballot, std::uint64_t counter, std::uint64_t proposer) {
  ballot.set_counter(counter);
  ballot.set_proposer(proposer);
}

wire::Member example_member(std::uint64_t id) {
  wire::Member member;
  member.set_id(id);
  member.set_address("127.0.0.1:7101");
  member.set_zone("zone-a");
  member.set_http_address("127.0.0.1:7102");
  return member;
}

wire::JobSpec example_spec() {
  wire::JobSpec spec;
  spec.set_spec("count rainfall");
  wire::Stage& stage = *spec.add_stages();
  stage.set_count(1);
  stage.set_cpu(2);
  stage.set_mem_mb(3);
  stage.set_gpu(4);
  stage.set_estimated_ms(5);
  stage.add_depends_on(0);
  stage.add_depends_on(300);
  stage.set_checkpoints(true);
  stage.set_gang(true);
  stage.set_same_rack(true);
  stage.set_requirements("ssd");
  stage.set_colocation("cache");
  stage.set_anti_affinity(12);
  stage.set_speculative(true);
  stage.set_long_running(true);
  spec.set_repeat_count(6);
  spec.set_start_at_ms(1700000000007);
  spec.set_interval_ms(8);
  return spec;
}

wire::QueueTerms example_terms() {
  wire::QueueTerms terms;
  terms.set_queue("extract");
  terms.set_priority(9);
  terms.set_max_retries(10);
  terms.set_stretch(1.5);
  terms.set_target_latency_ms(11);
  return terms;
}

}  // namespace

TEST_CASE("fields of all messages have the recorded numbers, types and labels") {
  const std::set<std::string> recorded = read_recorded_lines(kRecords + "/proto_fields.txt");
  const std::set<std::string> present = read_all_proto_fields(kSources);
  CHECK(recorded.size() > 300);
  CHECK(lines_missing(recorded, present) == "");
  CHECK(lines_missing(present, recorded) == "");
}

TEST_CASE("the reader of .proto files sees numbers, types, labels and enum numbers") {
  const std::string head = "syntax = \"proto3\"; package a.b; ";
  const auto read = [&](const std::string& text) { return ProtoFieldReader::read(head + text); };
  CHECK(read("message M { uint32 x = 1; }") ==
        std::set<std::string>{"message a.b.M", "message a.b.M 1 single uint32"});
  CHECK(read("message M { uint32 x = 1; }") == read("message M { uint32 renamed = 1; /* 2 */ } // none"));
  CHECK(read("message M { uint32 x = 1; }") != read("message M { uint32 x = 2; }"));
  CHECK(read("message M { uint32 x = 1; }") != read("message M { uint64 x = 1; }"));
  CHECK(read("message M { uint32 x = 1; }") != read("message M { repeated uint32 x = 1; }"));
  CHECK(read("message M { uint32 x = 1; }") != read("message M { oneof o { uint32 x = 1; } }"));
  CHECK(read("message M { repeated uint32 x = 1; }") !=
        read("message M { repeated uint32 x = 1 [packed = false]; }"));
  CHECK(read("enum E { A = 0; B = 1; }") != read("enum E { A = 1; B = 0; }"));
  CHECK_THROWS(read("message M { uint32 x = 1; uint32 x = 1; }"));
  CHECK_THROWS(read("message M { map<string, string> x = 1; }"));
  CHECK_THROWS(read("message M { uint32 x = 1;"));
}

TEST_CASE("a recorded record of members is decoded") {
  wire::MemberRecord record;
  record.set_epoch(3);
  *record.add_members() = example_member(7);
  *record.add_members() = example_member(8);
  record.set_stale_bound(1);
  record.add_removed(5);
  record.add_removed(600);
  record.set_largest(4);
  const auto decoded = decode_example("MemberRecord", record);
  CHECK(decoded.epoch() == 3);
  REQUIRE(decoded.members_size() == 2);
  CHECK(decoded.members(0).id() == 7);
  CHECK(decoded.members(0).address() == "127.0.0.1:7101");
  CHECK(decoded.members(0).zone() == "zone-a");
  CHECK(decoded.members(0).http_address() == "127.0.0.1:7102");
  CHECK(decoded.members(1).id() == 8);
  CHECK(decoded.stale_bound() == 1);
  REQUIRE(decoded.removed_size() == 2);
  CHECK(decoded.removed(1) == 600);
  CHECK(decoded.largest() == 4);
}

TEST_CASE("recorded messages of a register are decoded") {
  wire::RegisterPrepare prepare;
  prepare.set_key("configuration");
  set(*prepare.mutable_ballot(), 11, 7);
  prepare.set_member_epoch(3);
  set(*prepare.mutable_known(), 10, 8);
  const auto prepared = decode_example("RegisterPrepare", prepare);
  CHECK(prepared.key() == "configuration");
  CHECK(prepared.ballot().counter() == 11);
  CHECK(prepared.ballot().proposer() == 7);
  CHECK(prepared.member_epoch() == 3);
  CHECK(prepared.known().counter() == 10);

  wire::RegisterPromise promise;
  promise.set_promised(true);
  set(*promise.mutable_highest(), 12, 7);
  set(*promise.mutable_accepted(), 9, 8);
  promise.set_value(std::string("v\0w", 3));
  promise.set_member_epoch(3);
  promise.set_acceptor(8);
  promise.set_voting(true);
  const auto promised = decode_example("RegisterPromise", promise);
  CHECK(promised.promised());
  CHECK(promised.highest().counter() == 12);
  CHECK(promised.accepted().counter() == 9);
  CHECK(promised.value() == std::string("v\0w", 3));
  CHECK(promised.member_epoch() == 3);
  CHECK(promised.acceptor() == 8);
  CHECK(promised.voting());

  wire::RegisterState state;
  set(*state.mutable_promised(), 1, 2);
  set(*state.mutable_accepted(), 3, 4);
  state.set_value("value");
  set(*state.mutable_chosen(), 5, 6);
  const auto kept = decode_example("RegisterState", state);
  CHECK(kept.promised().counter() == 1);
  CHECK(kept.accepted().counter() == 3);
  CHECK(kept.value() == "value");
  CHECK(kept.chosen().counter() == 5);
}

TEST_CASE("recorded messages of leases and shards are decoded") {
  wire::LeaseRequest request;
  request.set_shard("records");
  request.set_epoch(21);
  request.set_holder(7);
  request.set_holder_address("127.0.0.1:7101");
  request.set_duration_ms(2500);
  request.set_member_epoch(3);
  request.set_release(true);
  request.set_preferred(true);
  request.set_asking(true);
  request.set_session(99);
  const auto lease = decode_example("LeaseRequest", request);
  CHECK(lease.shard() == "records");
  CHECK(lease.epoch() == 21);
  CHECK(lease.holder() == 7);
  CHECK(lease.holder_address() == "127.0.0.1:7101");
  CHECK(lease.duration_ms() == 2500);
  CHECK(lease.member_epoch() == 3);
  CHECK(lease.release());
  CHECK(lease.preferred());
  CHECK(lease.asking());
  CHECK(lease.session() == 99);

  wire::ShardWrite write;
  write.set_shard("records");
  write.set_epoch(21);
  wire::ShardRecord& record = *write.add_records();
  record.set_key("job/00000000000000a1");
  record.set_epoch(20);
  record.set_sequence(5);
  record.set_value("bytes");
  record.set_deleted(true);
  write.set_member_epoch(3);
  write.set_holder(7);
  write.set_session(99);
  write.set_establishes(true);
  const auto written = decode_example("ShardWrite", write);
  CHECK(written.shard() == "records");
  CHECK(written.epoch() == 21);
  REQUIRE(written.records_size() == 1);
  CHECK(written.records(0).key() == "job/00000000000000a1");
  CHECK(written.records(0).epoch() == 20);
  CHECK(written.records(0).sequence() == 5);
  CHECK(written.records(0).value() == "bytes");
  CHECK(written.records(0).deleted());
  CHECK(written.member_epoch() == 3);
  CHECK(written.holder() == 7);
  CHECK(written.session() == 99);
  CHECK(written.establishes());
}

TEST_CASE("a recorded record of the configuration is decoded") {
  wire::ConfigurationRecord record;
  record.set_version(31);
  record.set_json("{}");
  wire::AppliedChange& applied = *record.add_applied();
  applied.set_base(29);
  applied.set_version(30);
  applied.set_digest("digest");
  record.set_forgotten_version(12);
  record.mutable_snapshot()->set_version(28);
  record.mutable_snapshot()->set_digest("snapshot");
  wire::ConfigurationPatchEntry& patch = *record.add_patches();
  patch.set_version(31);
  patch.set_body("{\"routes\":[]}");
  const auto decoded = decode_example("ConfigurationRecord", record);
  CHECK(decoded.version() == 31);
  CHECK(decoded.json() == "{}");
  REQUIRE(decoded.applied_size() == 1);
  CHECK(decoded.applied(0).base() == 29);
  CHECK(decoded.applied(0).version() == 30);
  CHECK(decoded.applied(0).digest() == "digest");
  CHECK(decoded.forgotten_version() == 12);
  CHECK(decoded.snapshot().version() == 28);
  CHECK(decoded.snapshot().digest() == "snapshot");
  REQUIRE(decoded.patches_size() == 1);
  CHECK(decoded.patches(0).version() == 31);
  CHECK(decoded.patches(0).body() == "{\"routes\":[]}");
}

TEST_CASE("recorded messages of the delivery of configurations are decoded") {
  wire::RouteItem route;
  route.set_hostname("demo.example");
  route.set_path_prefix("/extract/");
  route.set_route_type("unsafe");
  route.set_timeout_ms(3000);
  route.set_target_latency_ms(800);
  route.set_priority(2);
  route.set_backend("records");
  route.set_max_retries(3);
  route.set_stretch(1.5);
  const auto item = decode_example("RouteItem", route);
  CHECK(item.hostname() == "demo.example");
  CHECK(item.path_prefix() == "/extract/");
  CHECK(item.route_type() == "unsafe");
  CHECK(item.timeout_ms() == 3000);
  CHECK(item.target_latency_ms() == 800);
  CHECK(item.priority() == 2);
  CHECK(item.backend() == "records");
  CHECK(item.max_retries() == 3);
  CHECK(item.stretch() == 1.5);

  wire::ConfigurationDifference difference;
  difference.set_base_version(30);
  difference.set_base_digest(0x0102030405060708);
  difference.set_version(31);
  difference.set_digest(0x1112131415161718);
  wire::ConfigurationItem& changed = *difference.add_items();
  changed.set_kind(wire::CONFIGURATION_ROUTE);
  changed.set_name("extract");
  changed.set_encoded("encoded");
  changed.set_removed(true);
  const auto decoded = decode_example("ConfigurationDifference", difference);
  CHECK(decoded.base_version() == 30);
  CHECK(decoded.base_digest() == 0x0102030405060708);
  CHECK(decoded.version() == 31);
  CHECK(decoded.digest() == 0x1112131415161718);
  REQUIRE(decoded.items_size() == 1);
  CHECK(decoded.items(0).kind() == wire::CONFIGURATION_ROUTE);
  CHECK(decoded.items(0).name() == "extract");
  CHECK(decoded.items(0).encoded() == "encoded");
  CHECK(decoded.items(0).removed());
}

TEST_CASE("recorded messages of jobs are decoded") {
  wire::JobRecord record;
  record.set_id("00000000000000a1");
  *record.mutable_spec() = example_spec();
  *record.mutable_terms() = example_terms();
  record.set_accepted_wall_ms(1700000000001);
  const auto job = decode_example("JobRecord", record);
  CHECK(job.id() == "00000000000000a1");
  CHECK(job.accepted_wall_ms() == 1700000000001);
  CHECK(job.spec().spec() == "count rainfall");
  CHECK(job.spec().repeat_count() == 6);
  CHECK(job.spec().start_at_ms() == 1700000000007);
  CHECK(job.spec().interval_ms() == 8);
  REQUIRE(job.spec().stages_size() == 1);
  const wire::Stage& stage = job.spec().stages(0);
  CHECK(stage.count() == 1);
  CHECK(stage.cpu() == 2);
  CHECK(stage.mem_mb() == 3);
  CHECK(stage.gpu() == 4);
  CHECK(stage.estimated_ms() == 5);
  REQUIRE(stage.depends_on_size() == 2);
  CHECK(stage.depends_on(1) == 300);
  CHECK(stage.checkpoints());
  CHECK(stage.gang());
  CHECK(stage.same_rack());
  CHECK(stage.requirements() == "ssd");
  CHECK(stage.colocation() == "cache");
  CHECK(stage.anti_affinity() == 12);
  CHECK(stage.speculative());
  CHECK(stage.long_running());
  CHECK(job.terms().queue() == "extract");
  CHECK(job.terms().priority() == 9);
  CHECK(job.terms().max_retries() == 10);
  CHECK(job.terms().stretch() == 1.5);
  CHECK(job.terms().target_latency_ms() == 11);

  wire::ProgressRecord progress;
  progress.set_id("00000000000000a1");
  progress.set_state(wire::JOB_COMPLETED);
  progress.set_ended_wall_ms(-1);
  wire::TaskProgress& task = *progress.add_tasks();
  task.set_repeat(1);
  task.set_stage(2);
  task.set_index(3);
  task.set_done(true);
  task.set_failures(4);
  task.set_last_run(4097);
  task.set_saved("half");
  const auto decoded = decode_example("ProgressRecord", progress);
  CHECK(decoded.id() == "00000000000000a1");
  CHECK(decoded.state() == wire::JOB_COMPLETED);
  CHECK(decoded.ended_wall_ms() == -1);
  REQUIRE(decoded.tasks_size() == 1);
  CHECK(decoded.tasks(0).repeat() == 1);
  CHECK(decoded.tasks(0).stage() == 2);
  CHECK(decoded.tasks(0).index() == 3);
  CHECK(decoded.tasks(0).done());
  CHECK(decoded.tasks(0).failures() == 4);
  CHECK(decoded.tasks(0).last_run() == 4097);
  CHECK(decoded.tasks(0).saved() == "half");
}

TEST_CASE("a recorded request for a job is decoded from its envelope") {
  wire::Envelope envelope;
  envelope.set_call_id(77);
  wire::JobRequest& request = *envelope.mutable_job_request();
  request.set_verb(wire::JOB_SUBMIT);
  request.set_service("records");
  request.set_id("00000000000000a1");
  *request.mutable_spec() = example_spec();
  *request.mutable_terms() = example_terms();
  request.set_deadline_ms(1400);
  const auto decoded = decode_example("Envelope.job_request", envelope);
  CHECK(decoded.call_id() == 77);
  REQUIRE(decoded.has_job_request());
  CHECK(decoded.job_request().verb() == wire::JOB_SUBMIT);
  CHECK(decoded.job_request().service() == "records");
  CHECK(decoded.job_request().id() == "00000000000000a1");
  CHECK(decoded.job_request().spec().repeat_count() == 6);
  CHECK(decoded.job_request().terms().queue() == "extract");
  CHECK(decoded.job_request().deadline_ms() == 1400);
}

TEST_CASE("a recorded report of a worker-agent is decoded from its envelope") {
  wire::Envelope envelope;
  envelope.set_call_id(78);
  wire::WorkerReport& report = *envelope.mutable_worker_report();
  report.set_node_name("side-a-1");
  report.set_session(41);
  report.set_report_number(42);
  wire::LeafDescription& leaf = *report.mutable_leaf();
  leaf.set_leaf_id("i-1");
  leaf.set_service("records");
  leaf.set_address("127.0.0.1:7300");
  leaf.set_zone("zone-a");
  leaf.set_version("v4");
  leaf.set_slots(4);
  leaf.set_draining(true);
  leaf.set_remaining_ms(5);
  leaf.set_warmup_left_ms(6);
  leaf.set_cpu(7);
  leaf.set_mem_mb(8);
  leaf.set_gpu(9);
  leaf.add_labels("ssd");
  report.set_heartbeats(43);
  report.set_heartbeat_age_ms(44);
  report.set_epoch(45);
  report.set_orders_received(46);
  report.set_orders_settled(47);
  report.set_lists_included(true);
  report.set_lists_as_of(48);
  wire::RunningTask& running = *report.add_running();
  running.set_task("00000000000000a1.0.1.2");
  running.set_run(4097);
  running.set_saved("half");
  running.set_percent(50);
  wire::FinishedTask& finished = *report.add_finished();
  finished.set_number(3);
  finished.set_task("00000000000000a1.0.1.1");
  finished.set_run(4096);
  finished.set_how(wire::END_FAILED);
  finished.set_saved("most");
  report.set_last_seen_delivered(49);
  report.set_previous_leaf_id("i-0");
  report.set_left(true);
  const auto decoded = decode_example("Envelope.worker_report", envelope);
  REQUIRE(decoded.has_worker_report());
  const wire::WorkerReport& read = decoded.worker_report();
  CHECK(read.node_name() == "side-a-1");
  CHECK(read.session() == 41);
  CHECK(read.report_number() == 42);
  CHECK(read.leaf().leaf_id() == "i-1");
  CHECK(read.leaf().service() == "records");
  CHECK(read.leaf().address() == "127.0.0.1:7300");
  CHECK(read.leaf().zone() == "zone-a");
  CHECK(read.leaf().version() == "v4");
  CHECK(read.leaf().slots() == 4);
  CHECK(read.leaf().draining());
  CHECK(read.leaf().remaining_ms() == 5);
  CHECK(read.leaf().warmup_left_ms() == 6);
  CHECK(read.leaf().cpu() == 7);
  CHECK(read.leaf().mem_mb() == 8);
  CHECK(read.leaf().gpu() == 9);
  REQUIRE(read.leaf().labels_size() == 1);
  CHECK(read.leaf().labels(0) == "ssd");
  CHECK(read.heartbeats() == 43);
  CHECK(read.heartbeat_age_ms() == 44);
  CHECK(read.epoch() == 45);
  CHECK(read.orders_received() == 46);
  CHECK(read.orders_settled() == 47);
  CHECK(read.lists_included());
  CHECK(read.lists_as_of() == 48);
  REQUIRE(read.running_size() == 1);
  CHECK(read.running(0).task() == "00000000000000a1.0.1.2");
  CHECK(read.running(0).run() == 4097);
  CHECK(read.running(0).saved() == "half");
  CHECK(read.running(0).percent() == 50);
  REQUIRE(read.finished_size() == 1);
  CHECK(read.finished(0).number() == 3);
  CHECK(read.finished(0).task() == "00000000000000a1.0.1.1");
  CHECK(read.finished(0).run() == 4096);
  CHECK(read.finished(0).how() == wire::END_FAILED);
  CHECK(read.finished(0).saved() == "most");
  CHECK(read.last_seen_delivered() == 49);
  CHECK(read.previous_leaf_id() == "i-0");
  CHECK(read.left());
}

TEST_CASE("recorded orders to a worker-agent are decoded from their envelope") {
  wire::Envelope envelope;
  envelope.set_call_id(79);
  wire::WorkerOrders& orders = *envelope.mutable_worker_orders();
  orders.set_epoch(51);
  orders.set_leaf_id("i-1");
  orders.set_revision(52);
  wire::StartOrder& start = *orders.add_starts();
  start.set_task("00000000000000a1.0.1.2");
  start.set_run(4098);
  start.set_spec("count rainfall");
  start.set_saved("half");
  start.set_revision(51);
  wire::StopOrder& stop = *orders.add_stops();
  stop.set_task("00000000000000a1.0.1.3");
  stop.set_run(4099);
  stop.set_revision(52);
  orders.set_last_seen(3);
  orders.set_grant_ms(4000);
  orders.set_leader_address("127.0.0.1:7101");
  orders.set_lists_wanted(true);
  orders.set_report_number(42);
  orders.set_busy(true);
  const auto decoded = decode_example("Envelope.worker_orders", envelope);
  REQUIRE(decoded.has_worker_orders());
  const wire::WorkerOrders& read = decoded.worker_orders();
  CHECK(read.epoch() == 51);
  CHECK(read.leaf_id() == "i-1");
  CHECK(read.revision() == 52);
  REQUIRE(read.starts_size() == 1);
  CHECK(read.starts(0).task() == "00000000000000a1.0.1.2");
  CHECK(read.starts(0).run() == 4098);
  CHECK(read.starts(0).spec() == "count rainfall");
  CHECK(read.starts(0).saved() == "half");
  CHECK(read.starts(0).revision() == 51);
  REQUIRE(read.stops_size() == 1);
  CHECK(read.stops(0).task() == "00000000000000a1.0.1.3");
  CHECK(read.stops(0).run() == 4099);
  CHECK(read.stops(0).revision() == 52);
  CHECK(read.last_seen() == 3);
  CHECK(read.grant_ms() == 4000);
  CHECK(read.leader_address() == "127.0.0.1:7101");
  CHECK(read.lists_wanted());
  CHECK(read.report_number() == 42);
  CHECK(read.busy());
}

TEST_CASE("a recorded exchange between members is decoded from its envelope") {
  wire::Envelope envelope;
  envelope.set_call_id(80);
  wire::MemberPing& ping = *envelope.mutable_member_ping();
  ping.set_from(7);
  ping.set_member_epoch(3);
  ping.set_configuration_version(31);
  set(*ping.mutable_configuration_ballot(), 12, 7);
  wire::ShardLeader& leader = *ping.add_leaders();
  leader.set_shard("records");
  leader.set_epoch(21);
  leader.set_holder(8);
  leader.set_address("127.0.0.2:7101");
  leader.set_remaining_ms(1900);
  leader.set_unconfirmed(true);
  ping.set_address("127.0.0.1:7101");
  ping.set_voting(true);
  ping.set_reads_snapshots(true);
  const auto decoded = decode_example("Envelope.member_ping", envelope);
  REQUIRE(decoded.has_member_ping());
  const wire::MemberPing& read = decoded.member_ping();
  CHECK(read.from() == 7);
  CHECK(read.member_epoch() == 3);
  CHECK(read.configuration_version() == 31);
  CHECK(read.configuration_ballot().counter() == 12);
  REQUIRE(read.leaders_size() == 1);
  CHECK(read.leaders(0).shard() == "records");
  CHECK(read.leaders(0).epoch() == 21);
  CHECK(read.leaders(0).holder() == 8);
  CHECK(read.leaders(0).address() == "127.0.0.2:7101");
  CHECK(read.leaders(0).remaining_ms() == 1900);
  CHECK(read.leaders(0).unconfirmed());
  CHECK(read.address() == "127.0.0.1:7101");
  CHECK(read.voting());
  CHECK(read.reads_snapshots());
}
