// Compare-and-swap registers on the control group.
//
// Each register is a Paxos instance (Lamport, "Paxos Made Simple", 2001) that is changed repeatedly under
// increasing ballots, without a log and without a leader, as in Rystsov, "CASPaxos: Replicated State Machines
// without logs" (2018): a change reads the newest accepted value in the prepare phase, applies a function to
// it and gets the result accepted. Each change takes two round trips to a majority.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// A register's chosen value; ballot counter 0 and an empty value: never written.
struct RegisterValue {
  wire::Ballot ballot;
  std::string value;
};

// Computes the next value from the current one, or none to leave it unchanged. May be called several times
// for one change, so it must have no side effects.
using RegisterChange = std::function<std::optional<std::string>(const std::string& current)>;

// Changes are linearizable for each register; a read is a change that leaves the value unchanged.
class RegisterClient {
 public:
  virtual ~RegisterClient() = default;
  // Applies `change` to the newest value and makes the result durable on a majority. `done` is called once
  // with the value that is chosen afterwards (the newest one if nothing was changed), or with none if no
  // majority answered before `timeout`: then the change may or may not take effect. A value that `change`
  // left unchanged is also known to be chosen when `done` is called.
  virtual void update(const std::string& key, RegisterChange change, Millis timeout,
                      std::function<void(std::optional<RegisterValue>)> done) = 0;
  // Reads the newest value from a majority: an `update` that leaves it unchanged.
  void read(const std::string& key, Millis timeout, std::function<void(std::optional<RegisterValue>)> done) {
    update(
        key, [](const std::string&) { return std::nullopt; }, timeout, std::move(done));
  }
};

}  // namespace winchhall::cluster
