// Patches of a configuration document, compared with a reference implementation that parses, edits and
// validates the complete text each time.
#include <json/value.h>

#include <catch2/catch.hpp>
#include <random>

#include "tests/cluster/support/configuration_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::configuration_test;

namespace {

std::string name_of(const Json::Value& item) { return item["name"].asString(); }

// The patched text; empty if it is not a valid configuration.
std::string reference_result(const std::string& base, const ConfigurationPatch& patch) {
  const auto read = [](const std::string& text) { return parse_json_object(text, "test"); };
  Json::Value root = leaf::try_handle_all([&] { return read(base); }, [] { return Json::Value(); });
  root["version"] = Json::UInt64{patch.version};
  for (const std::string& list : patch.removed.getMemberNames()) {
    Json::Value remaining(Json::arrayValue);
    for (const Json::Value& item : root[list]) {
      bool removed = false;
      for (const Json::Value& name : patch.removed[list])
        removed = removed || name.asString() == name_of(item);
      if (!removed) remaining.append(item);
    }
    root[list] = remaining;
  }
  for (const std::string& list : patch.upsert.getMemberNames()) {
    for (const Json::Value& item : patch.upsert[list]) {
      bool replaced = false;
      for (Json::Value& present : root[list]) {
        if (name_of(present) != name_of(item)) continue;
        present = item;
        replaced = true;
      }
      if (!replaced) root[list].append(item);
    }
  }
  if (!patch.limits.isNull()) root["limits"] = patch.limits;
  const std::string text = write_json(root);
  const bool valid = refused_field([&] { return parse_configuration(text, "test"); }).empty();
  return valid ? text : std::string();
}

// A random patch over few names, so that many are invalid: conflicting prefixes, removed or unknown services.
std::string random_patch(std::mt19937& random, std::uint64_t version) {
  const auto number = [&](unsigned below) { return std::to_string(random() % below); };
  const auto comma = [](std::string& list) { list += list.empty() ? "" : ","; };
  std::string routes;
  std::string services;
  std::string removed_routes;
  std::string removed_services;
  for (unsigned name = 0; name < 6; ++name) {
    const std::string route = "r-" + std::to_string(name);
    const unsigned action = random() % 6;
    if (action == 0) {
      comma(routes);
      routes += route_json(route, "p" + number(7), random() % 4 == 0 ? "s-" + number(3) : "core");
    }
    if (action == 1) {
      comma(removed_routes);
      removed_routes += "\"" + route + "\"";
    }
  }
  if (random() % 3 == 0) services = R"({"name":"s-)" + number(3) + R"(","note":{"x":[1,2.5]}})";
  if (random() % 4 == 0) removed_services = "\"s-" + number(3) + "\"";
  std::string patch = R"({"version":)" + std::to_string(version) + R"(,"upsert":{"routes":[)" + routes +
                      R"(],"services":[)" + services + R"(]},"delete":{"routes":[)" + removed_routes +
                      R"(],"services":[)" + removed_services + "]}";
  if (random() % 5 == 0) patch += R"(,"limits":{"max_body_bytes":)" + number(3) + "}";
  return patch + "}";
}

ConfigurationDocument document_of(const std::string& json) {
  return leaf::try_handle_all([&] { return ConfigurationDocument::read(json, "test"); },
                              [] { return ConfigurationDocument(); });
}

ConfigurationPatch patch_of(const std::string& text) {
  return leaf::try_handle_all([&] { return parse_patch(text, "test"); }, [] { return ConfigurationPatch(); });
}

}  // namespace

TEST_CASE("random patches are accepted, rejected and applied as by the reference implementation") {
  unsigned accepted = 0;
  unsigned rejected = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    ConfigurationDocument document = document_of(small_configuration(1));
    for (std::uint64_t version = 2; version <= 60; ++version) {
      const std::string text = random_patch(random, version);
      const ConfigurationPatch patch = patch_of(text);
      REQUIRE(patch.version == version);
      const std::string expected = reference_result(document.json(), patch);
      CAPTURE(seed, text, document.json());
      const bool applied = leaf::try_handle_all(
          [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(edit, document.check(patch, "test"));
            document.apply(patch, std::move(edit));
            return true;
          },
          [] { return false; });
      REQUIRE(applied == !expected.empty());
      ++(applied ? accepted : rejected);
      if (!applied) continue;
      REQUIRE(document.json() == expected);
      REQUIRE(document.configuration().version == version);
      REQUIRE(document.configuration().routes.size() == parsed(expected).routes.size());
      for (const Route& route : parsed(expected).routes) {
        const Route* const found = document.configuration().find_route("A.example", route.path_prefix + "x");
        REQUIRE(found != nullptr);
        REQUIRE(found->name == route.name);
        REQUIRE(found->backend == route.backend);
      }
    }
  }
  CHECK(accepted > 500);
  CHECK(rejected > 500);
}

TEST_CASE("a document without patches keeps its text byte by byte") {
  const std::string spaced = " " + small_configuration(3) + "\n";
  CHECK(document_of(spaced).json() == spaced);
}
