// Notifies this node's listeners of newer chosen values of registers, and detects missed values.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/consensus/register_acceptor.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// A value can be chosen without this node being notified: the notification may be lost, or the proposer may
// have crashed between the accept phase and the notification. Therefore a watched register is read from a
// majority
//   - after contact with a majority is regained,
//   - if another member reports a configuration with a higher ballot,
//   - if a value accepted here remains unresolved (not known to be chosen) for a whole refresh interval.
// All references must outlive this object.
class RegisterWatcher {
 public:
  // Called with every chosen value that differs from the one passed in the previous call.
  using Listener = std::function<void(const RegisterValue& value)>;

  RegisterWatcher(const RegisterAcceptor& acceptor, RegisterClient& client)
      : acceptor_(acceptor), client_(client) {}

  // Calls `on_newer` immediately with the value known here, if any, and then with every newer one that
  // differs.
  void watch(const std::string& key, Listener on_newer);
  // Notifies every watch of the value that was loaded from the store.
  void notify_all();
  // A newer value of a register is known to be chosen.
  void on_value_chosen(const std::string& key, const RegisterValue& value);
  // Another member knows a chosen configuration of this ballot.
  void on_configuration_ballot(const wire::Ballot& ballot);
  // Reads from a majority the registers whose value may be out of date. To be called periodically;
  // `has_quorum_contact`: a majority is reachable now.
  void refresh(bool has_quorum_contact);

 private:
  struct Watch {
    std::string key;
    Listener on_newer;
    std::optional<std::string> last_notified;
    wire::Ballot unresolved_ballot;  // as of the previous refresh
  };

  static void notify(Watch& watch, const RegisterValue& value);
  void add_outdated_configuration();
  void add_unresolved_registers();
  void read_from_majority(const std::string& key);

  const RegisterAcceptor& acceptor_;
  RegisterClient& client_;
  std::vector<std::shared_ptr<Watch>> watches_;
  bool had_quorum_contact_ = false;
  std::set<std::string> to_read_;
  std::set<std::string> reads_in_progress_;
  wire::Ballot newest_reported_configuration_;
};

}  // namespace winchhall::cluster
