// Patches of a configuration's text, against a plain oracle: the text read, edited and checked whole each
// time.
#include <json/value.h>

#include <catch2/catch.hpp>
#include <random>

#include "tests/cluster/support/configuration_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::configuration_test;

namespace {

std::string name_of(const Json::Value& item) { return item["name"].asString(); }

// The patched text as the page has it, or nothing where what it makes is invalid.
std::string oracle(const std::string& base, const ConfigurationPatch& patch) {
  const auto read = [](const std::string& text) { return parse_json_object(text, "test"); };
  Json::Value root = leaf::try_handle_all([&] { return read(base); }, [] { return Json::Value(); });
  root["version"] = Json::UInt64{patch.version};
  for (const std::string& list : patch.removed.getMemberNames()) {
    Json::Value kept(Json::arrayValue);
    for (const Json::Value& item : root[list]) {
      bool removed = false;
      for (const Json::Value& name : patch.removed[list])
        removed = removed || name.asString() == name_of(item);
      if (!removed) kept.append(item);
    }
    root[list] = kept;
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

// A drawn patch over few names, so that many are invalid: shared prefixes, services that go or never were.
std::string drawn_patch(std::mt19937& random, std::uint64_t version) {
  const auto number = [&](unsigned below) { return std::to_string(random() % below); };
  const auto comma = [](std::string& list) { list += list.empty() ? "" : ","; };
  std::string routes;
  std::string services;
  std::string no_routes;
  std::string no_services;
  for (unsigned name = 0; name < 6; ++name) {
    const std::string route = "r-" + std::to_string(name);
    const unsigned fate = random() % 6;
    if (fate == 0) {
      comma(routes);
      routes += route_json(route, "p" + number(7), random() % 4 == 0 ? "s-" + number(3) : "core");
    }
    if (fate == 1) {
      comma(no_routes);
      no_routes += "\"" + route + "\"";
    }
  }
  if (random() % 3 == 0) services = R"({"name":"s-)" + number(3) + R"(","note":{"x":[1,2.5]}})";
  if (random() % 4 == 0) no_services = "\"s-" + number(3) + "\"";
  std::string patch = R"({"version":)" + std::to_string(version) + R"(,"upsert":{"routes":[)" + routes +
                      R"(],"services":[)" + services + R"(]},"delete":{"routes":[)" + no_routes +
                      R"(],"services":[)" + no_services + "]}";
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

TEST_CASE("drawn patches are taken and refused as the whole text would be, and make the same text") {
  unsigned taken = 0;
  unsigned refused = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    ConfigurationDocument document = document_of(small_configuration(1));
    for (std::uint64_t version = 2; version <= 60; ++version) {
      const std::string text = drawn_patch(random, version);
      const ConfigurationPatch patch = patch_of(text);
      REQUIRE(patch.version == version);
      const std::string expected = oracle(document.json(), patch);
      CAPTURE(seed, text, document.json());
      const bool fits = leaf::try_handle_all(
          [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(edit, document.check(patch, "test"));
            document.apply(patch, std::move(edit));
            return true;
          },
          [] { return false; });
      REQUIRE(fits == !expected.empty());
      ++(fits ? taken : refused);
      if (!fits) continue;
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
  CHECK(taken > 500);
  CHECK(refused > 500);
}

TEST_CASE("a text without patches stays as it was sent, to the letter") {
  const std::string spaced = " " + small_configuration(3) + "\n";
  CHECK(document_of(spaced).json() == spaced);
}
