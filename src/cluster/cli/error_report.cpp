#include "cluster/cli/error_report.hpp"

#include <boost/system/system_error.hpp>

#include "cluster/cli/command_line.hpp"
#include "cluster/cli/exit_codes.hpp"
#include "cluster/cli/operator_errors.hpp"
#include "cluster/rpc/nng_message.hpp"

namespace winchhall::cluster {

namespace {

// Writes one line of the form "winchhall-cluster: KIND: DETAIL".
class Reporter {
 public:
  explicit Reporter(std::ostream& errors) : errors_(errors) {}

  int operator()(const UsageError& error) const {
    tell("usage", error.problem);
    errors_ << "usage: winchhall-cluster " << usage_text() << '\n';
    return kExitUsage;
  }
  int operator()(const InvalidInput& error) const {
    tell("invalid", error.message());
    return kExitInvalid;
  }
  int operator()(const ControlUnavailable& error) const {
    tell("unavailable", error.detail);
    return kExitUnavailable;
  }
  int operator()(const QuorumUnavailable&) const {
    tell("unavailable", "no majority of the control group answers");
    return kExitUnavailable;
  }
  int operator()(const VersionConflict& error) const {
    tell("conflict", "version " + std::to_string(error.current) + " is current");
    return kExitConflict;
  }
  int operator()(const NotFound& error) const {
    tell("not found", error.what);
    return kExitNotFound;
  }
  int operator()(const StoreFailure& error) const {
    tell("store", error.path + ": " + error.operation + ": " + error.detail);
    return kExitUnavailable;
  }
  int operator()(const StoreCorruption& error) const {
    tell("store", error.path + ": damaged: " + error.detail);
    return kExitUnavailable;
  }
  int operator()(const UnsupportedStoreFormat& error) const {
    tell("store", error.path + ": format '" + error.found + "'; supported: " + error.supported);
    return kExitUnavailable;
  }
  int operator()(const NngFailure& error) const {
    tell("network", error.operation + ": " + nng_strerror(error.code));
    return kExitUnavailable;
  }
  int operator()() const {
    tell("internal", "unknown failure");
    return kExitInternal;
  }

 private:
  void tell(const char* kind, const std::string& detail) const {
    errors_ << "winchhall-cluster: " << kind << ": " << detail << '\n';
  }

  std::ostream& errors_;
};

}  // namespace

int report_failures(const std::function<leaf::result<int>()>& action, std::ostream& errors) {
  const Reporter report(errors);
  try {
    return leaf::try_handle_all(
        action, [&](const UsageError& error) { return report(error); },
        [&](const InvalidInput& error) { return report(error); },
        [&](const ControlUnavailable& error) { return report(error); },
        [&](const QuorumUnavailable& error) { return report(error); },
        [&](const VersionConflict& error) { return report(error); },
        [&](const NotFound& error) { return report(error); },
        [&](const StoreFailure& error) { return report(error); },
        [&](const StoreCorruption& error) { return report(error); },
        [&](const UnsupportedStoreFormat& error) { return report(error); },
        [&](const NngFailure& error) { return report(error); }, [&] { return report(); });
  } catch (const boost::system::system_error& error) {
    errors << "winchhall-cluster: network: " << error.what() << '\n';
    return kExitUnavailable;
  }
}

}  // namespace winchhall::cluster
