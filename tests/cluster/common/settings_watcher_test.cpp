// Changes of the settings file of a running process: when they are detected, and which take effect.
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

// A settings file in a temporary directory, and a watcher of it.
class SettingsWatcherFixture {
 public:
  SettingsWatcherFixture() {
    static int counter = 0;
    directory_ = std::filesystem::temp_directory_path() /
                 ("settings_watcher_" + std::to_string(::getpid()) + "_" + std::to_string(counter++));
    std::filesystem::create_directory(directory_);
    write(settings_text("\"10.1.0.1:8144\""));
    watcher = std::make_unique<SettingsWatcher>(
        runtime, read(), [this](const NodeSettings& settings) { changes.push_back(settings); });
    watcher->start();
  }
  ~SettingsWatcherFixture() { std::filesystem::remove_all(directory_); }

  std::string path() const { return (directory_ / "boot.toml").string(); }
  NodeSettings read() const {
    return leaf::try_handle_all([this] { return load_settings(path()); }, [] { return NodeSettings{}; });
  }
  void write(const std::string& text) const { std::ofstream(path()) << text; }
  // Replaces the file atomically, by renaming a new one.
  void replace(const std::string& text) const {
    std::ofstream(path() + ".new") << text;
    std::filesystem::rename(path() + ".new", path());
  }

  FakeRuntime runtime;
  std::vector<NodeSettings> changes;
  std::unique_ptr<SettingsWatcher> watcher;

 private:
  std::filesystem::path directory_;
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

TEST_CASE_METHOD(SettingsWatcherFixture, "changed seeds take effect on a requested reload") {
  write(settings_text("\"10.1.0.7:8144\",\"10.1.0.8:8144\""));
  watcher->reload();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].seed_internal_addresses() == std::vector<Address>{"10.1.0.7:7380", "10.1.0.8:7380"});
}

TEST_CASE_METHOD(SettingsWatcherFixture, "a change without a signal is detected by polling") {
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

TEST_CASE_METHOD(SettingsWatcherFixture, "a change between the start and the first poll is detected") {
  replace(settings_text("\"10.1.0.5:8144\""));
  runtime.run_for(Millis(2'500));
  CHECK(changes.size() == 1);
}

TEST_CASE_METHOD(SettingsWatcherFixture,
                 "an invalid, empty or missing file has no effect, and a later valid one has") {
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

TEST_CASE_METHOD(SettingsWatcherFixture,
                 "an invalid file is reported with path, field, value and what is allowed") {
  SettingsFile file(read());
  write(settings_text("4"));
  const InvalidInput error = error_of(file);
  CHECK(error.source == path());
  CHECK(error.field == "seeds");
  CHECK_FALSE(error.value.empty());
  CHECK_FALSE(error.allowed.empty());
  CHECK(file.current().seeds == std::vector<Address>{"10.1.0.1:8144"});
}

TEST_CASE_METHOD(SettingsWatcherFixture,
                 "a file without seeds, e.g. a partly written one, does not remove the seeds") {
  SettingsFile file(read());
  write("node_name = \"edge-1\"\nip = \"10.1.0.42\"\ninternal_ports = [7380,7395]\n");
  CHECK(error_of(file).field == "seeds");
  CHECK(file.current().seeds.size() == 1);
}

TEST_CASE_METHOD(SettingsWatcherFixture, "settings that need a restart do not take effect and are reported") {
  SettingsFile file(read());
  CHECK_FALSE(reload(file));
  CHECK_FALSE(file.needs_restart());
  write(settings_text("\"10.1.0.3:8144\"", "10.1.0.43"));
  CHECK(reload(file));
  CHECK(file.needs_restart());
  CHECK(file.current().ip == "10.1.0.42");
  CHECK(file.current().seeds == std::vector<Address>{"10.1.0.3:8144"});
}

TEST_CASE("settings without a file are not watched") {
  FakeRuntime runtime;
  SettingsWatcher watcher(runtime, NodeSettings{}, [](const NodeSettings&) { FAIL("no file, no change"); });
  watcher.start();
  watcher.reload();
  runtime.run_for(Millis(10'000));
}
