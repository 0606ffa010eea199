// Reads data that revision 1ef7631 wrote: the store of configuration generations, the state file of a
// process, and a folder of configuration files.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "aggregator/app/operator_file.hpp"
#include "aggregator/dynamic_config/config_generation.hpp"
#include "aggregator/dynamic_config/digest.hpp"
#include "aggregator/dynamic_config/folder_watch.hpp"
#include "aggregator/dynamic_config/store.hpp"
#include "aggregator/hot_restart/state_folder.hpp"
#include "tests/compatibility/program_run.hpp"

using namespace winchhall;
using dynamic_config::Kind;
namespace fs = std::filesystem;

namespace {

const std::string kProgram = WINCHHALL_PROGRAM;
const fs::path kData = fs::path(WINCHHALL_COMPATIBILITY_FOLDER) / "data/1ef7631/aggregator";
constexpr const char* kStateFile = "1700000000001-4711.state";
constexpr std::uint64_t kTakenDigest = 0xe663dee409886257;
constexpr std::uint64_t kHeldDigest = 0x46433f61ce11124f;
constexpr std::size_t kMaxFileBytes = 1 << 20;

// A copy of the recorded files in a folder for one test, removed afterwards.
struct DataCopy {
  DataCopy() {
    std::string pattern = (fs::temp_directory_path() / "winchhall-compatibility-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    root = pattern;
    fs::copy(kData, root, fs::copy_options::recursive);
  }
  ~DataCopy() { fs::remove_all(root); }
  std::string path(const std::string& name) const { return (root / name).string(); }

  fs::path root;
};

std::string read_file(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

dynamic_config::Bytes recorded_files() {
  dynamic_config::Bytes bytes;
  for (const Kind kind : dynamic_config::kKinds) {
    bytes[kind] = read_file(kData / "files" / dynamic_config::file_name(kind));
  }
  return bytes;
}

void check_state(const hot_restart::State& state) {
  CHECK(state.name == "aggregator-a");
  CHECK(state.id.started_ms == 1700000000001);
  CHECK(state.id.pid == 4711);
  CHECK(state.sequence_number == 12);
  CHECK(state.phase == "ready");
  CHECK(state.listens);
  REQUIRE(state.known_processes.size() == 2);
  CHECK(state.known_processes[0].started_ms == 1700000000002);
  CHECK(state.known_processes[0].pid == 4712);
  CHECK(state.known_processes[1].started_ms == 1600000000003);
  CHECK(state.revision == 41);
  REQUIRE(state.members.size() == 2);
  const auto& first = state.members[0];
  CHECK(first.entry.server == "s-1");
  CHECK(first.entry.cell == 3);
  CHECK(first.entry.size == 1.5);
  CHECK(first.entry.state == winchhall::ServerState::draining);
  CHECK(first.entry.started == 123.25);
  CHECK(first.endpoint == "127.0.0.1:9");
  const auto& second = state.members[1];
  CHECK(second.entry.server == "s-2");
  CHECK(second.entry.size == 0.25);
  CHECK(second.entry.state == winchhall::ServerState::ready);
  CHECK_FALSE(second.entry.started);
}

}  // namespace

TEST_CASE("the store of an earlier revision is opened with its generations, verdicts and commands") {
  const DataCopy copy;
  const dynamic_config::OpenedStore opened = dynamic_config::open(copy.path("store.db"));
  REQUIRE_MESSAGE(opened.store, opened.why);
  CHECK(opened.set_aside.empty());
  const auto history = opened.store->history(10);
  REQUIRE(history.size() == 3);
  CHECK(history[0].number == 3);
  CHECK(history[0].digest == kHeldDigest);
  CHECK(history[0].verdict == "held");
  CHECK(history[0].why == "drops nodes");
  CHECK(history[0].at == 1700000000003);
  CHECK(history[1].digest == 0x0123456789abcdef);
  CHECK(history[1].verdict == "refused");
  CHECK(history[1].why == "nodes.xml:3: a reason");
  CHECK(history[2].digest == kTakenDigest);
  CHECK(history[2].verdict == "taken");
  CHECK(history[2].why.empty());

  const auto taken = opened.store->newest_taken();
  REQUIRE(taken);
  CHECK(taken->digest == kTakenDigest);
  CHECK(taken->bytes == recorded_files());
  const auto held = opened.store->find(kHeldDigest);
  REQUIRE(held);
  CHECK(held->bytes.at(Kind::tenants) == "<other/>");

  const auto done = opened.store->find_command(1);
  REQUIRE(done);
  CHECK(done->action == "accept");
  CHECK(done->digest == kHeldDigest);
  CHECK(done->answer == "done");
  const auto open = opened.store->pending_commands();
  REQUIRE(open.size() == 1);
  CHECK(open[0].id == 2);
  CHECK(open[0].action == "rollback");
  CHECK(open[0].digest == kTakenDigest);

  dynamic_config::StoredSet next;
  next.digest = 7;
  next.verdict = "refused";
  CHECK(opened.store->put(next));
  CHECK(opened.store->history(10).front().number == 4);
}

TEST_CASE("`files history` prints the store of an earlier revision as that revision did") {
  const DataCopy copy;
  const auto text = compatibility::run_program(kProgram, "files history " + copy.path("store.db"));
  CHECK(text.exit_code == 0);
  CHECK(text.output == read_file(kData / "history.txt"));
  const auto json = compatibility::run_program(kProgram, "files history --json " + copy.path("store.db"));
  CHECK(json.exit_code == 0);
  CHECK(json.output == read_file(kData / "history.json"));
}

TEST_CASE("the state file of an earlier revision is decoded, and encoded to the same bytes") {
  const std::string recorded = read_file(kData / kStateFile);
  std::string why;
  const auto state = hot_restart::decode(recorded, why);
  REQUIRE_MESSAGE(state, why);
  check_state(*state);
  CHECK(hot_restart::encode(*state) == recorded);
}

TEST_CASE("the state of an earlier revision is found in the folder of its aggregator") {
  const DataCopy copy;
  fs::create_directory(copy.root / "winchhall");
  fs::copy(kData / kStateFile, copy.root / "winchhall" / kStateFile);
  hot_restart::StateFolder folder(copy.root.string());
  const auto found = folder.scan();
  CHECK(found.set_aside.empty());
  REQUIRE(found.states.size() == 1);
  check_state(found.states[0]);
  folder.remove(found.states[0].id);
  CHECK_FALSE(fs::exists(copy.root / "winchhall" / kStateFile));
}

TEST_CASE("configuration files of an earlier revision are read with the same digest and values") {
  const DataCopy copy;
  const dynamic_config::FolderContents contents =
      dynamic_config::read_config_folder(copy.path("files"), kMaxFileBytes);
  CHECK(contents.exists);
  CHECK(contents.faults.empty());
  CHECK(contents.bytes == recorded_files());
  CHECK(dynamic_config::digest_of(contents.bytes) == kTakenDigest);

  dynamic_config::Rows rows;
  std::vector<dynamic_config::Fault> faults;
  app::read_config_files(contents.bytes, rows, faults);
  REQUIRE(faults.empty());
  CHECK(rows.revisions[Kind::nodes] == 7);
  CHECK(rows.revisions[Kind::ranges] == 12);
  const auto generation = dynamic_config::check(rows, kTakenDigest, dynamic_config::Bounds{}, faults);
  CHECK(faults.empty());
  REQUIRE(generation);
  REQUIRE(generation->members.size() == 3);
  CHECK(generation->weighted);
  CHECK(generation->members[0].entry.server == "node-1");
  CHECK(generation->members[0].endpoint == "127.0.0.1:9101");
  CHECK(generation->members[2].entry.size == 2.5);
  REQUIRE(generation->tenants.size() == 2);
  CHECK(generation->tenants[0].quota_per_s == 4);
  CHECK(generation->map);

  REQUIRE(rows.ranges.size() == 2);
  CHECK(rows.ranges[0].weight == 2);
  CHECK(rows.ranges[1].span.from == 4503599627370496);
  CHECK(rows.ranges[1].span.to == 9007199254740992);
}

TEST_CASE("`files check` accepts the configuration files of an earlier revision with the same output") {
  const auto run = compatibility::run_program(
      "/usr/bin/env", "-C " + kData.string() + " " + kProgram + " files check files --json");
  CHECK(run.exit_code == 0);
  CHECK(run.output == read_file(kData / "files_check.json"));
}
