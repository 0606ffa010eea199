#include "cluster/config/route_index.hpp"

#include <algorithm>
#include <cstdint>

namespace winchhall::cluster {
namespace {

constexpr std::uint64_t kHashStart = 14695981039346656037ULL;  // FNV-1a, 64 bits
constexpr std::uint64_t kHashFactor = 1099511628211ULL;

char lower(char letter) {
  if (letter >= 'A' && letter <= 'Z') return static_cast<char>(letter - 'A' + 'a');
  return letter;
}

}  // namespace

std::size_t HostnameHash::operator()(std::string_view hostname) const {
  std::uint64_t hash = kHashStart;
  for (const char letter : hostname) {
    hash ^= static_cast<unsigned char>(lower(letter));
    hash *= kHashFactor;
  }
  return static_cast<std::size_t>(hash);
}

bool HostnameEqual::operator()(std::string_view left, std::string_view right) const {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char one, char other) { return lower(one) == lower(other); });
}

bool RouteIndex::add(std::string_view hostname, std::string_view path_prefix, std::size_t position) {
  HostRoutes& host = hosts_[std::string(hostname)];
  if (!host.positions.emplace(path_prefix, position).second) return false;
  const auto place =
      std::lower_bound(host.lengths.begin(), host.lengths.end(), path_prefix.size(), std::greater<>{});
  const bool known = place != host.lengths.end() && *place == path_prefix.size();
  if (!known) host.lengths.insert(place, path_prefix.size());
  return true;
}

std::optional<std::size_t> RouteIndex::find(std::string_view hostname, std::string_view path) const {
  const auto host = hosts_.find(hostname);
  if (host == hosts_.end()) return std::nullopt;
  for (const std::size_t length : host->second.lengths) {
    if (length > path.size()) continue;
    const auto found = host->second.positions.find(path.substr(0, length));
    if (found != host->second.positions.end()) return found->second;
  }
  return std::nullopt;
}

}  // namespace winchhall::cluster
