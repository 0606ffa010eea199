// Parsing, validating and patching configurations; route lookups.
#include <json/value.h>

#include <catch2/catch.hpp>

#include "cluster/config/json_fields.hpp"
#include "cluster/config/utf8.hpp"
#include "tests/cluster/support/configuration_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::configuration_test;

namespace {

std::string rejected_field_of(const std::string& json) {
  return refused_field([&] { return parse_configuration(json, "test"); });
}

std::string rejected_field_of_route(const std::string& fields) {
  return rejected_field_of(
      configuration_json(1, R"({"name":"r-1","hostname":"a.example","path_prefix":"/p/",)" + fields + "}"));
}

std::string rejected_field_of_patch(const std::string& patch) {
  const Configuration base = parsed(small_configuration(1));
  return refused_field([&] { return apply_patch(base, patch); });
}

Configuration patched(const Configuration& base, const std::string& patch) {
  return leaf::try_handle_all([&] { return apply_patch(base, patch); }, [] { return Configuration(); });
}

Json::Value json_of(const std::string& text) {
  return leaf::try_handle_all([&] { return parse_json_object(text, "test"); }, [] { return Json::Value(); });
}

}  // namespace

TEST_CASE("a complete configuration is parsed") {
  const Configuration configuration = parsed(small_configuration(7));
  CHECK(configuration.version == 7);
  REQUIRE(configuration.routes.size() == 1);
  const Route& route = configuration.routes[0];
  CHECK(route.timeout_ms == 3000);
  CHECK(route.target_latency_ms == 1500);
  CHECK(route.priority == 1);
  CHECK(route.max_retries == 2);
  CHECK(route.stretch == 2.2);
  REQUIRE(configuration.find_service("core") != nullptr);
  CHECK(configuration.find_service("core")->preconditions);
  CHECK(configuration.find_service("none") == nullptr);
  CHECK(configuration.limits.idle_timeout_ms == 15000);
  CHECK(configuration.json == small_configuration(7));
}

TEST_CASE("texts that are not a complete configuration are rejected") {
  const std::string complete = small_configuration(7);
  for (std::size_t length = 0; length < complete.size(); ++length) {
    CHECK(rejected_field_of(complete.substr(0, length)) == "body");
  }
  CHECK(rejected_field_of(complete + "x") == "body");
  CHECK(rejected_field_of("[]") == "body");
  CHECK(rejected_field_of("{\"version\":1,\"routes\":[],\"services\":[],\"x\":\"\xff\"}") == "body");
  CHECK(rejected_field_of(R"({"version":1,"version":2,"routes":[],"services":[]})") == "body");
  CHECK(rejected_field_of(std::string(5000, '[')) == "body");
}

TEST_CASE("versions, lists and limits are validated") {
  CHECK(rejected_field_of(R"({"routes":[],"services":[]})") == "version");
  CHECK(rejected_field_of(R"({"version":0,"routes":[],"services":[]})") == "version");
  CHECK(rejected_field_of(R"({"version":-3,"routes":[],"services":[]})") == "version");
  CHECK(rejected_field_of(R"({"version":1.5,"routes":[],"services":[]})") == "version");
  CHECK(rejected_field_of(R"({"version":"1","routes":[],"services":[]})") == "version");
  CHECK(rejected_field_of(R"({"version":1e30,"routes":[],"services":[]})") == "version");
  CHECK(rejected_field_of(R"({"version":1,"services":[]})") == "routes");
  CHECK(rejected_field_of(R"({"version":1,"routes":[]})") == "services");
  CHECK(rejected_field_of(R"({"version":1,"routes":{},"services":[]})") == "routes");
  CHECK(rejected_field_of(R"({"version":1,"routes":[],"services":[],"limits":[]})") == "limits");
  CHECK(rejected_field_of(R"({"version":1,"routes":[],"services":[],"limits":{"max_body_bytes":0}})") ==
        "limits.max_body_bytes");
  CHECK(rejected_field_of(R"({"version":1,"routes":[],"services":[]})").empty());
}

TEST_CASE("services are validated") {
  const auto with = [](const std::string& services) {
    return rejected_field_of(R"({"version":1,"routes":[],"services":[)" + services + "]}");
  };
  CHECK(with("7") == "services[0]");
  CHECK(with("{}") == "services[0].name");
  CHECK(with(R"({"name":""})") == "services[0].name");
  CHECK(with(R"({"name":"a"},{"name":"a"})") == "services[1].name");
  CHECK(with(R"({"name":"a","preconditions":1})") == "services[0].preconditions");
  CHECK(with(R"({"name":"a","max_connections":-1})") == "services[0].max_connections");
  CHECK(with(R"({"name":"a","timeout_ms":0})") == "services[0].timeout_ms");
}

TEST_CASE("routes are validated") {
  CHECK(rejected_field_of_route(R"("timeout_ms":1,"backend":"core")").empty());
  CHECK(rejected_field_of_route(R"("timeout_ms":0,"backend":"core")") == "routes[0].timeout_ms");
  CHECK(rejected_field_of_route(R"("backend":"core")") == "routes[0].timeout_ms");
  CHECK(rejected_field_of_route(R"("timeout_ms":-1,"backend":"core")") == "routes[0].timeout_ms");
  CHECK(rejected_field_of_route(R"("timeout_ms":99999999999,"backend":"core")") == "routes[0].timeout_ms");
  CHECK(rejected_field_of_route(R"("timeout_ms":true,"backend":"core")") == "routes[0].timeout_ms");
  CHECK(rejected_field_of_route(R"("timeout_ms":1,"backend":"none")") == "routes[0].backend");
  CHECK(rejected_field_of_route(R"("timeout_ms":1)") == "routes[0].backend");
  CHECK(rejected_field_of_route(R"("timeout_ms":1,"backend":"core","stretch":"2")") == "routes[0].stretch");
  CHECK(rejected_field_of_route(R"("timeout_ms":1,"backend":"core","priority":-1)") == "routes[0].priority");
  CHECK(rejected_field_of(configuration_json(
            1, R"({"hostname":"a","path_prefix":"/","timeout_ms":1,"backend":"core"})")) == "routes[0].name");
  CHECK(rejected_field_of(configuration_json(
            1, R"({"name":"r","path_prefix":"/","timeout_ms":1,"backend":"core"})")) == "routes[0].hostname");
  CHECK(rejected_field_of(configuration_json(1, route_json("r-1", "one") + "," + route_json("r-1", "two"))) ==
        "routes[1].name");
  CHECK(rejected_field_of(configuration_json(1, route_json("r-1", "one") + "," + route_json("r-2", "one"))) ==
        "routes[1].path_prefix");
}

TEST_CASE("the longest matching prefix is found, ignoring the case of hostnames") {
  std::string routes;
  for (int number = 0; number < 300; ++number) {
    routes += route_json("r-" + std::to_string(number), "q" + std::to_string(number)) + ",";
  }
  routes += route_json("deep", "q7/deep") + "," + route_json("deeper", "q7/deep/er");
  const Configuration configuration = parsed(configuration_json(1, routes));
  const auto found = [&](std::string_view host, std::string_view path) {
    const Route* const route = configuration.find_route(host, path);
    return route != nullptr ? route->name : std::string();
  };
  CHECK(found("a.example", "/q299/0123") == "r-299");
  CHECK(found("A.Example", "/q7/0123") == "r-7");
  CHECK(found("a.example", "/q7/deep/0123") == "deep");
  CHECK(found("a.example", "/q7/deep/er/0123") == "deeper");
  CHECK(found("a.example", "/q7/dee") == "r-7");
  CHECK(found("a.example", "/q7") == "");
  CHECK(found("a.example", "/none/") == "");
  CHECK(found("b.example", "/q7/") == "");
}

TEST_CASE("a copied configuration finds its own routes") {
  auto original = std::make_unique<Configuration>(parsed(small_configuration(1)));
  const Configuration copy = *original;
  original.reset();
  REQUIRE(copy.find_route("a.example", "/one/x") != nullptr);
  CHECK(copy.find_route("a.example", "/one/x")->name == "r-1");
}

TEST_CASE("a patch adds, replaces and removes items and preserves everything else") {
  const Configuration base =
      parsed(configuration_json(3, route_json("r-1", "one") + "," + route_json("r-2", "two")));
  const Configuration next = patched(
      base, R"({"version":9,"upsert":{"routes":[)" + route_json("r-2", "deux") + "," +
                route_json("r-3", "three", "extra") + R"(],"services":[{"name":"extra","note":[1,2.5]}]},)" +
                R"("delete":{"routes":["r-1","r-gone"],"services":["fraud"]}})");
  CHECK(next.version == 9);
  REQUIRE(next.routes.size() == 2);
  CHECK(next.routes[0].path_prefix == "/deux/");
  CHECK(next.routes[1].backend == "extra");
  CHECK(next.services.size() == 2);
  const Json::Value json = json_of(next.json);
  CHECK(json["routes"][0]["colour"] == "blue");
  CHECK(json["routes"][0]["stretch"].asDouble() == 2.2);
  CHECK(json["services"][1]["note"][1].asDouble() == 2.5);
  CHECK(json["limits"] == json_of(base.json)["limits"]);
}

TEST_CASE("a patch can replace the limits") {
  const Configuration base = parsed(small_configuration(1));
  const Configuration next = patched(base, R"({"version":2,"limits":{"max_body_bytes":1000}})");
  CHECK(next.limits.max_body_bytes == 1000);
  CHECK(next.routes.size() == 1);
}

TEST_CASE("patches and their results are validated") {
  CHECK(rejected_field_of_patch(R"({"version":2)") == "body");
  CHECK(rejected_field_of_patch(R"({"upsert":{}})") == "version");
  CHECK(rejected_field_of_patch(R"({"version":2,"upsert":[]})") == "upsert");
  CHECK(rejected_field_of_patch(R"({"version":2,"upsert":{"routes":{}}})") == "upsert.routes");
  CHECK(rejected_field_of_patch(R"({"version":2,"upsert":{"routes":[{}]}})") == "upsert.routes[0].name");
  CHECK(rejected_field_of_patch(R"({"version":2,"upsert":{"version":[]}})") == "upsert.version");
  CHECK(rejected_field_of_patch(R"({"version":2,"delete":{"routes":[7]}})") == "delete.routes[0]");
  CHECK(rejected_field_of_patch(R"({"version":2,"delete":{"services":["core"]}})") == "delete.services[0]");
  CHECK(rejected_field_of_patch(R"({"version":2,"upsert":{"routes":[)" + route_json("r-2", "one") + "]}}") ==
        "upsert.routes[0].path_prefix");
  CHECK(rejected_field_of_patch(R"({"version":2})").empty());
}

TEST_CASE("UTF-8 is validated as in RFC 3629") {
  CHECK(is_valid_utf8(""));
  CHECK(
      is_valid_utf8("Giros Unidos del Pac\xc3\xad"
                    "fico \xe2\x82\xac \xf0\x9f\x98\x80"));
  CHECK_FALSE(is_valid_utf8("\xc3"));
  CHECK_FALSE(is_valid_utf8("\x80"));
  CHECK_FALSE(is_valid_utf8("\xc0\x80"));
  CHECK_FALSE(is_valid_utf8("\xed\xa0\x80"));
  CHECK_FALSE(is_valid_utf8("\xf4\x90\x80\x80"));
  CHECK_FALSE(is_valid_utf8("\xff"));
}
