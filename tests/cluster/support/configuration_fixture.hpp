// Configurations, and a register that tests of the configuration service share.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/config/configuration.hpp"
#include "cluster/control/configuration_service.hpp"

namespace winchhall::cluster::configuration_test {

// A route with path prefix /PREFIX/ on a.example.
inline std::string route_json(const std::string& name, const std::string& prefix,
                              const std::string& backend = "core") {
  return R"({"name":")" + name + R"(","hostname":"a.example","path_prefix":"/)" + prefix +
         R"(/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":1500,"priority":1,"backend":")" +
         backend + R"(","max_retries":2,"stretch":2.2,"colour":"blue"})";
}

inline std::string configuration_json(std::uint64_t version, const std::string& routes) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
         R"(],"services":[{"name":"core","max_connections":64,"preconditions":true},{"name":"fraud"}],)" +
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)" +
         R"("idle_timeout_ms":15000}})";
}

inline std::string small_configuration(std::uint64_t version) {
  return configuration_json(version, route_json("r-1", "one"));
}

// Field that a configuration is refused for; empty: it is taken.
inline std::string refused_field(const std::function<leaf::result<Configuration>()>& read) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(read());
        return std::string();
      },
      [](const InvalidInput& error) { return error.field; }, [] { return std::string("?"); });
}

inline Configuration parsed(const std::string& json) {
  return leaf::try_handle_all([&] { return parse_configuration(json, "test"); },
                              [] { return Configuration(); });
}

// Applies a patch to a configuration that has its text, and reads what it makes anew.
inline leaf::result<Configuration> apply_patch(const Configuration& base, std::string_view text) {
  BOOST_LEAF_AUTO(document, ConfigurationDocument::read(base.json, "test"));
  BOOST_LEAF_AUTO(patch, parse_patch(text, "test"));
  BOOST_LEAF_AUTO(edit, document.check(patch, "test"));
  document.apply(patch, std::move(edit));
  return parse_configuration(document.json(), "test");
}

// Registers shared by the services of several control nodes. Outcomes wait until the test delivers them.
class SharedRegister : public RegisterClient {
 public:
  enum class Fate { delivered, answer_lost, never_tried };

  void update(const std::string& key, RegisterChange change, Millis,
              std::function<void(std::optional<RegisterValue>)> done) override {
    waiting_.push_back({key, std::move(change), std::move(done)});
  }

  // Carries out the oldest waiting update.
  void carry_out(Fate fate = Fate::delivered) {
    const Waiting update = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    if (fate != Fate::never_tried) apply(values_[update.key], update.change);
    if (fate == Fate::delivered) return update.done(values_[update.key]);
    update.done(std::nullopt);
  }
  // Carries out and delivers what waits, and what comes of it.
  void carry_out_all() {
    while (!waiting_.empty()) carry_out();
  }

  std::size_t waiting() const { return waiting_.size(); }
  const std::string& oldest_key() const { return waiting_.front().key; }
  // Of the configuration.
  const RegisterValue& value() { return values_[kConfigurationRegister]; }

 private:
  struct Waiting {
    std::string key;
    RegisterChange change;
    std::function<void(std::optional<RegisterValue>)> done;
  };

  static void apply(RegisterValue& value, const RegisterChange& change) {
    change(value.value);  // a lost race: the change is computed again
    std::optional<std::string> next = change(value.value);
    if (!next) return;
    value.value = std::move(*next);
    value.ballot.set_counter(value.ballot.counter() + 1);
  }

  std::map<std::string, RegisterValue> values_;
  std::vector<Waiting> waiting_;
};

}  // namespace winchhall::cluster::configuration_test
