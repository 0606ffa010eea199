// Longest-prefix matching of request paths.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace winchhall::cluster {

// The hostname with its ASCII letters in lower case.
std::string lower_case_hostname(std::string_view hostname);

// Hash and equality of hostnames, ignoring the case of ASCII letters. Transparent, so that lookups copy no
// strings.
struct HostnameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view hostname) const;
};
struct HostnameEqual {
  using is_transparent = void;
  bool operator()(std::string_view left, std::string_view right) const;
};

// Maps hostnames and path prefixes to positions in a list of routes that the caller owns. A lookup takes one
// hash access for the hostname and one for each distinct length among its path prefixes.
class RouteIndex {
 public:
  // Adds a route. Returns false and changes nothing if another route has this hostname and prefix.
  bool add(std::string_view hostname, std::string_view path_prefix, std::size_t position);
  // Does nothing if there is no such route.
  void remove(std::string_view hostname, std::string_view path_prefix);
  // Changes the position of a route. Does nothing if there is no such route.
  void move(std::string_view hostname, std::string_view path_prefix, std::size_t position);
  // The position of the route with exactly this prefix, if any.
  std::optional<std::size_t> position_of(std::string_view hostname, std::string_view path_prefix) const;
  // The position of the route with the longest prefix of `path`, if any matches.
  std::optional<std::size_t> find(std::string_view hostname, std::string_view path) const;

 private:
  struct PrefixHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view prefix) const { return std::hash<std::string_view>{}(prefix); }
  };
  // A length that occurs among a host's prefixes, and the number of prefixes that have it.
  struct PrefixLength {
    std::size_t length = 0;
    std::size_t count = 0;
  };
  // The routes of one hostname.
  struct HostRoutes {
    std::vector<PrefixLength> lengths;  // longest first
    std::unordered_map<std::string, std::size_t, PrefixHash, std::equal_to<>> positions;
  };

  // The entry for a length, or the position to insert it at.
  static std::vector<PrefixLength>::iterator find_length(HostRoutes& host, std::size_t length);

  std::unordered_map<std::string, HostRoutes, HostnameHash, HostnameEqual> hosts_;
};

}  // namespace winchhall::cluster
