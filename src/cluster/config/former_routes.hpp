// The services that routes named until they were changed or removed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/config/editable_configuration.hpp"

namespace winchhall::cluster {

// A hostname and path prefix, and a service that a route with them named earlier.
struct FormerRoute {
  std::string hostname;             // in lower case
  std::string path_prefix;          // empty, with an empty hostname: any route
  std::string service;              // not the service of the route in force
  std::int64_t ended_wall_ms = 0;   // since 1970; 0: unknown
  std::uint64_t ended_version = 0;  // of the configuration that ended it; 0: unknown

  bool operator==(const FormerRoute&) const = default;
};

// Records which services may still own jobs of a hostname and path prefix. Part of the replicated
// configuration, so that processes which start after a change of a route know of it.
//
// Deterministic: the same changes with the same times have the same result on every node. Limited in number:
// beyond kMaxEntries the oldest entries are replaced by one for each service that stands for any route, so
// that none is lost before its retention time. A plain value; not thread-safe.
class FormerRoutes {
 public:
  // Much longer than any client retries a submit, because clocks differ and may jump.
  static constexpr Millis kRetention{3600000};
  // Entries that name a route.
  static constexpr std::size_t kMaxEntries = 256;

  FormerRoutes() = default;
  explicit FormerRoutes(const std::vector<FormerRoute>& entries);

  // Records the changes of a version, which must be above those before. `wall_ms` is when they were received,
  // in milliseconds since 1970; 0: unknown.
  void record(const std::vector<RouteChange>& changes, std::int64_t wall_ms, std::uint64_t version);
  // Ordered by hostname, path prefix and service.
  std::vector<FormerRoute> entries() const;

 private:
  // Hostname in lower case, path prefix, service.
  using Key = std::tuple<std::string, std::string, std::string>;
  // When a route ended. The version orders the ends also where clocks jump.
  struct End {
    std::int64_t wall_ms = 0;
    std::uint64_t version = 0;
  };

  static Key key_of(const Route& route);
  void remove_expired(std::int64_t wall_ms);
  void add(const Key& key, const End& end);
  void generalize_oldest();

  std::map<Key, End> ended_;
};

}  // namespace winchhall::cluster
