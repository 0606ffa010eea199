// Configuration texts, and simulated registers for tests of the configuration service.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/config/configuration_json.hpp"
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

// The field that the InvalidInput names; empty if there is no error, "?" for any other error.
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

// Applies a patch to a configuration that was parsed, and parses the resulting text.
inline leaf::result<Configuration> apply_patch(const Configuration& base, std::string_view text) {
  BOOST_LEAF_AUTO(document, ConfigurationDocument::read(base.json, "test"));
  BOOST_LEAF_AUTO(patch, parse_patch(text, "test"));
  BOOST_LEAF_AUTO(edit, document.check(patch, "test"));
  document.apply(patch, std::move(edit));
  return parse_configuration(document.json(), "test");
}

// Registers shared by the services of several control nodes. Updates stay pending until the test executes
// them. Every change is computed twice, as it is after a conflict with another proposer.
class SharedRegisters : public RegisterClient {
 public:
  enum class Delivery { delivered, response_lost, request_lost };

  void update(const std::string& key, RegisterChange change, Millis,
              std::function<void(std::optional<RegisterValue>)> done) override {
    pending_.push_back({key, std::move(change), std::move(done)});
  }

  // Executes the oldest pending update. `delivery`: whether the request and the response get through.
  void run_oldest(Delivery delivery = Delivery::delivered) {
    const PendingUpdate update = std::move(pending_.front());
    pending_.erase(pending_.begin());
    if (delivery != Delivery::request_lost) apply(values_[update.key], update.change);
    if (delivery == Delivery::delivered) return update.done(values_[update.key]);
    update.done(std::nullopt);
  }
  // Executes and delivers all pending updates, including those that their callbacks start.
  void run_all() {
    while (!pending_.empty()) run_oldest();
  }

  std::size_t pending() const { return pending_.size(); }
  const std::string& oldest_key() const { return pending_.front().key; }
  // The value of the register that holds the configuration.
  const RegisterValue& value() { return values_[kConfigurationRegister]; }

 private:
  struct PendingUpdate {
    std::string key;
    RegisterChange change;
    std::function<void(std::optional<RegisterValue>)> done;
  };

  static void apply(RegisterValue& value, const RegisterChange& change) {
    change(value.value);  // as for an attempt that lost to another proposer
    std::optional<std::string> next = change(value.value);
    if (!next) return;
    value.value = std::move(*next);
    value.ballot.set_counter(value.ballot.counter() + 1);
  }

  std::map<std::string, RegisterValue> values_;
  std::vector<PendingUpdate> pending_;
};

}  // namespace winchhall::cluster::configuration_test
