// Reads data that a control node of revision 1ef7631 wrote: its LevelDB directory and its backup file. Guards
// against changes of the stored format that would make existing stores unreadable.
//
// The node was one of three. It had accepted three versions of a configuration (stored as a snapshot and a
// patch) and five jobs: two completed, one canceled, one running and one waiting.
#include <stdlib.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "cluster/store/backup_file.hpp"
#include "cluster/store/leveldb_store.hpp"
#include "cluster/store/offline_store.hpp"
#include "cluster/store/state_summary.hpp"
#include "cluster/wire/cluster.pb.h"
#include "tests/compatibility/child_process.hpp"
#include "tests/compatibility/program_run.hpp"
#include "tests/compatibility/recorded_lines.hpp"

using namespace winchhall::cluster;
using namespace winchhall::compatibility;
namespace fs = std::filesystem;

namespace {

const std::string kProgram = WINCHHALL_CLUSTER_PROGRAM;
const std::string kData = std::string(WINCHHALL_COMPATIBILITY_FOLDER) + "/data/1ef7631/cluster";
constexpr std::chrono::seconds kTimeout{40};
constexpr std::chrono::milliseconds kPollInterval{50};

// A temporary directory with a copy of the recorded store, removed by the destructor.
class StoreCopy {
 public:
  StoreCopy() {
    std::string pattern = (fs::temp_directory_path() / "winchhall-compatibility-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
    fs::copy(kData + "/control_node", store(), fs::copy_options::recursive);
  }
  ~StoreCopy() { fs::remove_all(folder_); }
  std::string store() const { return (folder_ / "control_node").string(); }
  std::string path(const std::string& name) const { return (folder_ / name).string(); }

 private:
  fs::path folder_;
};

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// The value of a successful action. Fails the test if the action fails.
template <typename Value>
Value value_of(const std::function<winchhall::cluster::leaf::result<Value>()>& action) {
  return winchhall::cluster::leaf::try_handle_all(action, []() -> Value {
    FAIL("what revision 1ef7631 wrote can't be read");
    throw 0;
  });
}

std::vector<StoreEntry> read_entries(const std::string& store) {
  return value_of<std::vector<StoreEntry>>([&] { return read_offline_store(store); });
}

std::string hex_of(char byte) {
  constexpr char kDigits[] = "0123456789abcdef";
  const auto value = static_cast<unsigned char>(byte);
  return {kDigits[value >> 4], kDigits[value & 15]};
}

// Entries in the recorded form: lines "KEY HEX", in order. Characters of a key that are not printable ASCII
// are written as "\xHEX".
std::string entry_lines(const std::vector<StoreEntry>& entries) {
  std::string lines;
  for (const StoreEntry& entry : entries) {
    for (const char character : entry.key) {
      const bool printable = character > ' ' && character <= '~';
      lines += printable ? std::string(1, character) : "\\x" + hex_of(character);
    }
    lines += " ";
    for (const char byte : entry.value) lines += hex_of(byte);
    lines += "\n";
  }
  return lines;
}

std::string value_at(const std::vector<StoreEntry>& entries, const std::string& key) {
  for (const StoreEntry& entry : entries) {
    if (entry.key == key) return entry.value;
  }
  FAIL("no entry " << key);
  return {};
}

// Records of the shard of the service "records", by their keys.
std::map<std::string, std::string> shard_records(const std::vector<StoreEntry>& entries) {
  std::map<std::string, std::string> records;
  for (const StoreEntry& entry : entries) {
    if (entry.key.rfind("record/service/records", 0) != 0) continue;
    wire::ShardRecord record;
    REQUIRE(record.ParseFromString(entry.value));
    records[record.key()] = record.value();
  }
  return records;
}

bool wait_until(const std::function<bool()>& reached) {
  const auto limit = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < limit) {
    if (reached()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

// Settings of the restored control node. `status_s` is so long that the ended jobs of the recorded data are
// not removed, however old they are.
std::string settings_of(const std::string& ip, const std::string& data) {
  return "node_name = \"restored\"\nrole = \"control\"\nip = \"" + ip +
         "\"\nzone = \"a\"\nregion = \"r\"\ninternal_ports = [7380,7395]\nseeds = [\"" + ip +
         ":8144\"]\nbootstrap = false\ncounts_for_quorum = true\nheartbeat_ms = 1500\ndata_dir = \"" + data +
         "\"\ncommands = \"heartbeat\"\n[bind_addrs]\ncontrol = \"" + ip +
         ":8144\"\n[bounds]\nhold_max_ms = 6000\nstatus_s = 2000000000\n";
}

}  // namespace

TEST_CASE("the store of an earlier revision is read whole") {
  const StoreCopy copy;
  const std::vector<StoreEntry> entries = read_entries(copy.store());
  CHECK(entry_lines(entries) == read_file(kData + "/entries.hex"));
  const StateSummary summary = summarize_state(entries);
  CHECK(summary.entries == 15);
  CHECK(summary.bytes == 2294);
  CHECK(summary.registers == 2);
  CHECK(summary.shards == 1);
  CHECK(summary.records == 10);
  CHECK(summary.unreadable.empty());
  CHECK(summary.identity.id() == 5813768091000458866u);
  CHECK(summary.identity.synchronized());
  CHECK(summary.members.members_size() == 3);
  std::string lines;
  for (const StoreEntry& entry : entries) lines += describe_entry(entry) + "\n";
  CHECK(lines == read_file(kData + "/show.txt"));
}

TEST_CASE("the store of an earlier revision is opened for use with the same entries") {
  const StoreCopy copy;
  std::vector<StoreEntry> entries;
  {
    const auto store = value_of<std::unique_ptr<LevelDbStore>>(
        [&] { return open_leveldb_store(copy.store(), [](std::function<void()>) {}); });
    store->load([&](std::string_view key, std::string_view value) {
      entries.push_back({std::string(key), std::string(value)});
    });
    CHECK_FALSE(store->replaces_damaged());
  }
  CHECK(entry_lines(entries) == read_file(kData + "/entries.hex"));
  CHECK(entry_lines(read_entries(copy.store())) == read_file(kData + "/entries.hex"));
}

TEST_CASE("the backup file of an earlier revision is read, and written the same") {
  const StoreCopy copy;
  const auto entries =
      value_of<std::vector<StoreEntry>>([] { return read_backup(kData + "/control_node.backup"); });
  CHECK(entry_lines(entries) == read_file(kData + "/entries.hex"));
  const std::string written = copy.path("backup");
  value_of<bool>([&]() -> winchhall::cluster::leaf::result<bool> {
    BOOST_LEAF_CHECK(write_backup(written, entries));
    return true;
  });
  CHECK(read_file(written) == read_file(kData + "/control_node.backup"));
}

TEST_CASE("registers, shards, jobs and progress of an earlier revision are decoded") {
  const StoreCopy copy;
  const std::vector<StoreEntry> entries = read_entries(copy.store());
  wire::ShardState shard;
  REQUIRE(shard.ParseFromString(value_at(entries, "shard/service/records")));
  CHECK(shard.epoch() == 2);
  CHECK(shard.holder() == 1127247737837696870u);
  CHECK(shard.base() == 2);
  CHECK(shard.session() != 0);

  wire::RegisterState state;
  REQUIRE(state.ParseFromString(value_at(entries, "register/configuration")));
  CHECK(state.chosen().counter() == 5);
  wire::ConfigurationRecord record;
  REQUIRE(record.ParseFromString(state.value()));
  CHECK(record.version() == 3);
  CHECK(record.applied_size() == 3);
  CHECK(record.snapshot().version() == 2);
  REQUIRE(record.patches_size() == 1);
  CHECK(record.patches(0).version() == 3);
  CHECK(record.patches(0).body().find("\"idle\"") != std::string::npos);

  std::map<std::string, std::string> records = shard_records(entries);
  CHECK(records.size() == 10);
  const std::map<std::string, wire::JobState> states = {{"00000000000000a1", wire::JOB_COMPLETED},
                                                        {"00000000000000a2", wire::JOB_COMPLETED},
                                                        {"00000000000000a3", wire::JOB_CANCELED},
                                                        {"00000000000000a4", wire::JOB_RUNNING}};
  for (const auto& [id, wanted] : states) {
    wire::ProgressRecord progress;
    REQUIRE(progress.ParseFromString(records["progress/" + id]));
    CHECK(progress.id() == id);
    CHECK(progress.state() == wanted);
  }
  CHECK(records.count("progress/00000000000000a5") == 0);
  wire::JobRecord job;
  REQUIRE(job.ParseFromString(records["job/00000000000000a4"]));
  CHECK(job.id() == "00000000000000a4");
  CHECK(job.spec().spec() == "needs more than there is");
  REQUIRE(job.spec().stages_size() == 2);
  CHECK(job.spec().stages(0).cpu() == 100);
  CHECK(job.spec().stages(1).count() == 3);
  CHECK(job.spec().stages(1).cpu() == 64000);
  CHECK(job.spec().stages(1).depends_on_size() == 1);
  CHECK(job.terms().queue() == "extract");
  CHECK(job.terms().max_retries() == 3);
  CHECK(job.terms().stretch() == 1.5);
  CHECK(job.terms().target_latency_ms() == 800);
  CHECK(job.accepted_wall_ms() > 1700000000000);
  REQUIRE(records.count("worker/i-1") == 1);
  wire::WorkerRecord worker;
  REQUIRE(worker.ParseFromString(records["worker/i-1"]));
  CHECK(worker.leaf_id() == "i-1");
  CHECK(worker.node_name() == "worker-0");
}

TEST_CASE("the store commands read an earlier revision's files and print the same") {
  const StoreCopy copy;
  const ProgramRun check = run_program(kProgram, "store check " + copy.store());
  CHECK(check.exit_code == 0);
  CHECK(check.output == copy.store() + read_file(kData + "/check.txt"));
  const ProgramRun show = run_program(kProgram, "store show " + copy.store());
  CHECK(show.exit_code == 0);
  CHECK(show.output == read_file(kData + "/show.txt"));
  CHECK(run_program(kProgram, "store backup " + copy.store() + " " + copy.path("backup")).exit_code == 0);
  CHECK(read_file(copy.path("backup")) == read_file(kData + "/control_node.backup"));
}

TEST_CASE("a control node restored from an earlier revision's backup serves its configuration and jobs") {
  const StoreCopy copy;
  const std::string ip = "127." + std::to_string(1 + getpid() % 250) + ".1.1";
  const std::string restored = copy.path("restored");
  const ProgramRun restore =
      run_program(kProgram, "store restore " + kData + "/control_node.backup " + restored + " --address " +
                                ip + ":7380 --http " + ip + ":8144");
  INFO(restore.output);
  REQUIRE(restore.exit_code == 0);
  std::ofstream(copy.path("settings.toml")) << settings_of(ip, restored);
  const ChildProcess node(kProgram, "control", copy.path("settings.toml"), copy.path("log"));
  const auto run_command = [&](const std::string& command) {
    return run_program(kProgram, "--control " + ip + ":8144 --json " + command);
  };
  const auto jobs_listed = [&] {
    const ProgramRun run = run_command("jobs list");
    return run.exit_code == 0 && run.output.find("00000000000000a1") != std::string::npos;
  };
  const bool serves =
      wait_until([&] { return run_command("config get").exit_code == 0; }) && wait_until(jobs_listed);
  INFO(read_file(copy.path("log")));
  REQUIRE(serves);
  CHECK(run_command("config get").output == read_file(kData + "/configuration.json"));
  std::map<std::string, std::string> states;
  const boost::json::value list = boost::json::parse(run_command("jobs list").output);
  for (const auto& job : list.at("services").at(0).at("jobs").as_array()) {
    states[job.at("id").as_string().c_str()] = job.at("state").as_string().c_str();
  }
  CHECK(states == std::map<std::string, std::string>{{"00000000000000a1", "completed"},
                                                     {"00000000000000a2", "completed"},
                                                     {"00000000000000a3", "canceled"},
                                                     {"00000000000000a4", "running"},
                                                     {"00000000000000a5", "queued"}});
}
