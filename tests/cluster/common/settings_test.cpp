// The settings file: what is read, and how a bad file is refused.
#include "cluster/common/settings.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace winchhall::cluster;

namespace {

const std::string kGood = R"(node_name = "core-a-1"
role = "control"
ip = "10.1.0.42"
zone = "a"
internal_ports = [7380,7395]
seeds = ["10.1.0.42:8144","10.2.0.44:8144"]
bootstrap = true
counts_for_quorum = true
commands = "heartbeat"
unknown_field = 7
[bind_addrs]
control = "10.1.0.42:8144"
[bounds]
hold_max_ms = 6000
catch_up_s = 4
far_x = 1.5
)";

// A file that is removed at the end of the test.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("settings_test_" + std::to_string(counter_++) + "_" + std::to_string(::getpid()) + ".toml")) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

 private:
  static inline int counter_ = 0;
  std::filesystem::path path_;
};

// The error of a file, or one with an empty field if it is taken.
InvalidInput error_of(const std::string& text) {
  const TemporaryFile file(text);
  return leaf::try_handle_all(
      [&]() -> leaf::result<InvalidInput> {
        BOOST_LEAF_CHECK(load_settings(file.path()));
        return InvalidInput{};
      },
      [](const InvalidInput& error) { return error; },
      [] {
        return InvalidInput{"?", "?", "?", "?"};
      });
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("a good file is read whole, unknown fields are ignored") {
  const TemporaryFile file(kGood);
  const NodeSettings settings =
      leaf::try_handle_all([&] { return load_settings(file.path()); }, [] { return NodeSettings{}; });
  CHECK(settings.node_name == "core-a-1");
  CHECK(settings.bootstrap);
  CHECK(settings.seeds.size() == 2);
  CHECK(settings.bounds.hold_max == Millis(6000));
  CHECK(settings.bounds.catch_up == Millis(4000));
  CHECK(settings.bounds.far_factor == 1.5);
  CHECK(settings.internal_address() == "10.1.0.42:7380");
  CHECK(settings.internal_address_of("10.9.0.1:8144") == "10.9.0.1:7380");
  CHECK(settings.control == "10.1.0.42:8144");
}

TEST_CASE("a bad file is refused by file, field, value and what is allowed") {
  CHECK(error_of(kGood).field.empty());
  const InvalidInput no_name = error_of(replaced(kGood, "node_name", "other_name"));
  CHECK(no_name.field == "node_name");
  CHECK(no_name.value.empty());
  const InvalidInput ports = error_of(replaced(kGood, "[7380,7395]", "[7395,7380]"));
  CHECK(ports.field == "internal_ports");
  CHECK_FALSE(ports.value.empty());
  CHECK(error_of(replaced(kGood, "hold_max_ms = 6000", "hold_max_ms = \"long\"")).field ==
        "bounds.hold_max_ms");
  CHECK(error_of(replaced(kGood, "hold_max_ms = 6000", "hold_max_ms = -1")).field == "bounds.hold_max_ms");
  CHECK(error_of(replaced(kGood, "\"heartbeat\"", "\"telegraph\"")).field == "commands");
  CHECK(error_of(replaced(kGood, "bootstrap = true", "bootstrap = 1")).field == "bootstrap");
  CHECK_FALSE(error_of("node_name = ").allowed.empty());
  CHECK_FALSE(error_of(replaced(kGood, "seeds = [\"10.1.0.42:8144\"", "seeds = [4")).value.empty());
}

TEST_CASE("a missing file is refused") {
  const InvalidInput error = leaf::try_handle_all(
      []() -> leaf::result<InvalidInput> {
        BOOST_LEAF_CHECK(load_settings("/nonexistent/settings.toml"));
        return InvalidInput{};
      },
      [](const InvalidInput& found) { return found; }, [] { return InvalidInput{}; });
  CHECK(error.source == "/nonexistent/settings.toml");
}
