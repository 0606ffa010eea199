// Finds the route of a request among hundreds without scanning them: per hostname, one hash look-up for each
// length that a path prefix has there.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace winchhall::cluster {

// Hash and equality of hostnames, blind to the case of ASCII letters; look-ups need no copy.
struct HostnameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view hostname) const;
};
struct HostnameEqual {
  using is_transparent = void;
  bool operator()(std::string_view left, std::string_view right) const;
};

// Positions of routes by hostname and path prefix.
class RouteIndex {
 public:
  // Adds a route; false: hostname and prefix are taken.
  bool add(std::string_view hostname, std::string_view path_prefix, std::size_t position);
  // Takes a route out, which must be there.
  void remove(std::string_view hostname, std::string_view path_prefix);
  // A route that is there has another position now.
  void move(std::string_view hostname, std::string_view path_prefix, std::size_t position);
  // Position of the route with exactly this prefix; none: there is none.
  std::optional<std::size_t> position_of(std::string_view hostname, std::string_view path_prefix) const;
  // Position of the route with the longest prefix with which `path` begins; none: no route fits.
  std::optional<std::size_t> find(std::string_view hostname, std::string_view path) const;

 private:
  struct PrefixHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view prefix) const { return std::hash<std::string_view>{}(prefix); }
  };
  // How many prefixes of a host have a length.
  struct PrefixLength {
    std::size_t length = 0;
    std::size_t count = 0;
  };
  struct HostRoutes {
    std::vector<PrefixLength> lengths;  // longest first
    std::unordered_map<std::string, std::size_t, PrefixHash, std::equal_to<>> positions;
  };

  static std::vector<PrefixLength>::iterator position_of_length(HostRoutes& host, std::size_t length);

  std::unordered_map<std::string, HostRoutes, HostnameHash, HostnameEqual> hosts_;
};

}  // namespace winchhall::cluster
