// Loading of settings files: values of a valid file, and errors for invalid ones.
#include "cluster/common/settings.hpp"

#include <catch2/catch.hpp>
#include <string>

#include "tests/cluster/support/temporary_file.hpp"

using namespace winchhall::cluster;
using winchhall::cluster::testing::TemporaryFile;

namespace {

const std::string kValidSettings = R"(node_name = "core-a-1"
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

// The error of a file; its field is empty if the file is valid.
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

TEST_CASE("a valid file is read completely, unknown fields are ignored") {
  const TemporaryFile file(kValidSettings);
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

TEST_CASE("an invalid file is reported with file, field, value and what is allowed") {
  CHECK(error_of(kValidSettings).field.empty());
  const InvalidInput no_name = error_of(replaced(kValidSettings, "node_name", "other_name"));
  CHECK(no_name.field == "node_name");
  CHECK(no_name.value.empty());
  const InvalidInput ports = error_of(replaced(kValidSettings, "[7380,7395]", "[7395,7380]"));
  CHECK(ports.field == "internal_ports");
  CHECK_FALSE(ports.value.empty());
  CHECK(error_of(replaced(kValidSettings, "hold_max_ms = 6000", "hold_max_ms = \"long\"")).field ==
        "bounds.hold_max_ms");
  CHECK(error_of(replaced(kValidSettings, "hold_max_ms = 6000", "hold_max_ms = -1")).field ==
        "bounds.hold_max_ms");
  CHECK(error_of(replaced(kValidSettings, "\"heartbeat\"", "\"telegraph\"")).field == "commands");
  CHECK(error_of(replaced(kValidSettings, "bootstrap = true", "bootstrap = 1")).field == "bootstrap");
  CHECK_FALSE(error_of("node_name = ").allowed.empty());
  CHECK_FALSE(error_of(replaced(kValidSettings, "seeds = [\"10.1.0.42:8144\"", "seeds = [4")).value.empty());
}

TEST_CASE("a missing file is an error") {
  const InvalidInput error = leaf::try_handle_all(
      []() -> leaf::result<InvalidInput> {
        BOOST_LEAF_CHECK(load_settings("/nonexistent/settings.toml"));
        return InvalidInput{};
      },
      [](const InvalidInput& found) { return found; }, [] { return InvalidInput{}; });
  CHECK(error.source == "/nonexistent/settings.toml");
}
