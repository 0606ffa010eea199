// Changes of the settings file of a running process: what is adopted, what is refused, when it is noticed.
#include "cluster/common/settings_watcher.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "tests/cluster/support/fake_runtime.hpp"

using namespace winchhall::cluster;
using winchhall::cluster::testing::FakeRuntime;

namespace {

std::string settings_text(const std::string& seeds, const std::string& ip = "10.1.0.42") {
  return "node_name = \"edge-1\"\nip = \"" + ip + "\"\ninternal_ports = [7380,7395]\nseeds = [" + seeds +
         "]\n";
}

// A settings file in a folder of its own and a watcher of it.
class WatchFixture {
 public:
  WatchFixture() {
    static int counter = 0;
    folder_ = std::filesystem::temp_directory_path() /
              ("settings_watcher_" + std::to_string(::getpid()) + "_" + std::to_string(counter++));
    std::filesystem::create_directory(folder_);
    write(settings_text("\"10.1.0.1:8144\""));
    watcher = std::make_unique<SettingsWatcher>(
        runtime, read(), [this](const NodeSettings& settings) { changes.push_back(settings); });
    watcher->start();
  }
  ~WatchFixture() { std::filesystem::remove_all(folder_); }

  std::string path() const { return (folder_ / "boot.toml").string(); }
  NodeSettings read() const {
    return leaf::try_handle_all([this] { return load_settings(path()); }, [] { return NodeSettings{}; });
  }
  void write(const std::string& text) const { std::ofstream(path()) << text; }
  // Replaced as by a careful writer: a new file takes the name.
  void replace(const std::string& text) const {
    std::ofstream(path() + ".new") << text;
    std::filesystem::rename(path() + ".new", path());
  }

  FakeRuntime runtime;
  std::vector<NodeSettings> changes;
  std::unique_ptr<SettingsWatcher> watcher;

 private:
  std::filesystem::path folder_;
};

InvalidInput error_of(SettingsFile& file) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<InvalidInput> {
        BOOST_LEAF_CHECK(file.reload());
        return InvalidInput{};
      },
      [](const InvalidInput& error) { return error; },
      [] {
        return InvalidInput{"?", "?", "?", "?"};
      });
}

bool reload(SettingsFile& file) {
  return leaf::try_handle_all([&] { return file.reload(); }, [] { return false; });
}

}  // namespace

TEST_CASE_METHOD(WatchFixture, "changed seeds are adopted when the process is asked to read its settings") {
  write(settings_text("\"10.1.0.7:8144\",\"10.1.0.8:8144\""));
  watcher->reload();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].seed_internal_addresses() == std::vector<Address>{"10.1.0.7:7380", "10.1.0.8:7380"});
}

TEST_CASE_METHOD(WatchFixture, "a file that changes without a signal is noticed") {
  runtime.run_for(Millis(10'000));
  CHECK(changes.empty());
  write(settings_text("\"10.1.0.77:8144\""));
  runtime.run_for(Millis(2'500));
  REQUIRE(changes.size() == 1);
  replace(settings_text("\"10.1.0.78:8144\""));
  runtime.run_for(Millis(2'500));
  REQUIRE(changes.size() == 2);
  CHECK(changes[1].seeds == std::vector<Address>{"10.1.0.78:8144"});
  runtime.run_for(Millis(60'000));
  CHECK(changes.size() == 2);
}

TEST_CASE_METHOD(WatchFixture, "a change between the reading at the start and the first poll is noticed") {
  replace(settings_text("\"10.1.0.5:8144\""));
  runtime.run_for(Millis(2'500));
  CHECK(changes.size() == 1);
}

TEST_CASE_METHOD(WatchFixture, "a bad, empty or missing file changes nothing, and a good one later does") {
  write(settings_text("4"));
  watcher->reload();
  write("node_name = ");
  runtime.run_for(Millis(2'500));
  std::filesystem::remove(path());
  watcher->reload();
  runtime.run_for(Millis(5'000));
  CHECK(changes.empty());
  write(settings_text("\"10.1.0.9:8144\""));
  runtime.run_for(Millis(2'500));
  CHECK(changes.size() == 1);
}

TEST_CASE_METHOD(WatchFixture, "a refused file is named by path, field, value and what is allowed") {
  SettingsFile file(read());
  write(settings_text("4"));
  const InvalidInput error = error_of(file);
  CHECK(error.source == path());
  CHECK(error.field == "seeds");
  CHECK_FALSE(error.value.empty());
  CHECK_FALSE(error.allowed.empty());
  CHECK(file.current().seeds == std::vector<Address>{"10.1.0.1:8144"});
}

TEST_CASE_METHOD(WatchFixture, "a file without seeds, as one half written, does not take the seeds away") {
  SettingsFile file(read());
  write("node_name = \"edge-1\"\nip = \"10.1.0.42\"\ninternal_ports = [7380,7395]\n");
  CHECK(error_of(file).field == "seeds");
  CHECK(file.current().seeds.size() == 1);
}

TEST_CASE_METHOD(WatchFixture, "what only a restart brings into force is not adopted, and said to need one") {
  SettingsFile file(read());
  CHECK_FALSE(reload(file));
  CHECK_FALSE(file.needs_restart());
  write(settings_text("\"10.1.0.3:8144\"", "10.1.0.43"));
  CHECK(reload(file));
  CHECK(file.needs_restart());
  CHECK(file.current().ip == "10.1.0.42");
  CHECK(file.current().seeds == std::vector<Address>{"10.1.0.3:8144"});
}

TEST_CASE("settings that come from no file are not followed") {
  FakeRuntime runtime;
  SettingsWatcher watcher(runtime, NodeSettings{}, [](const NodeSettings&) { FAIL("no file, no change"); });
  watcher.start();
  watcher.reload();
  runtime.run_for(Millis(10'000));
}
