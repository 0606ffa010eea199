// Compare-and-swap registers on the control group: two quorum rounds a change, no log and no leader.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// A register's chosen value; counter 0 and no value: never written.
struct RegisterValue {
  wire::Ballot ballot;
  std::string value;
};

// Computes the next value from the current one; none: leave it as it is. May be called several times.
using RegisterChange = std::function<std::optional<std::string>(const std::string& current)>;

class RegisterClient {
 public:
  virtual ~RegisterClient() = default;
  // Applies `change` to the newest value and makes the outcome durable on a majority; `done` gets the value
  // that is chosen afterwards (the newest if nothing was changed), or none if no majority answered before
  // `timeout`: then the change may or may not take effect. A value for which `change` returned none was
  // chosen on a majority.
  virtual void update(const std::string& key, RegisterChange change, Millis timeout,
                      std::function<void(std::optional<RegisterValue>)> done) = 0;
};

}  // namespace winchhall::cluster
