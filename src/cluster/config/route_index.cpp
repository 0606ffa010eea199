#include "cluster/config/route_index.hpp"

#include <algorithm>

#include "cluster/common/digest.hpp"

namespace winchhall::cluster {
namespace {

char lower(char letter) {
  if (letter >= 'A' && letter <= 'Z') return static_cast<char>(letter - 'A' + 'a');
  return letter;
}

}  // namespace

std::size_t HostnameHash::operator()(std::string_view hostname) const {
  Digest digest;
  for (const char letter : hostname) digest.add_char(lower(letter));
  return static_cast<std::size_t>(digest.value());
}

bool HostnameEqual::operator()(std::string_view left, std::string_view right) const {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char one, char other) { return lower(one) == lower(other); });
}

// Where a length stands, or belongs.
std::vector<RouteIndex::PrefixLength>::iterator RouteIndex::position_of_length(HostRoutes& host,
                                                                               std::size_t length) {
  return std::lower_bound(host.lengths.begin(), host.lengths.end(), length,
                          [](const PrefixLength& one, std::size_t other) { return one.length > other; });
}

bool RouteIndex::add(std::string_view hostname, std::string_view path_prefix, std::size_t position) {
  HostRoutes& host = hosts_[std::string(hostname)];
  if (!host.positions.emplace(path_prefix, position).second) return false;
  auto place = position_of_length(host, path_prefix.size());
  const bool known = place != host.lengths.end() && place->length == path_prefix.size();
  if (!known) place = host.lengths.insert(place, {path_prefix.size(), 0});
  ++place->count;
  return true;
}

void RouteIndex::remove(std::string_view hostname, std::string_view path_prefix) {
  const auto host = hosts_.find(hostname);
  if (host == hosts_.end()) return;
  auto& positions = host->second.positions;
  const auto route = positions.find(path_prefix);
  if (route == positions.end()) return;
  positions.erase(route);
  const auto place = position_of_length(host->second, path_prefix.size());
  if (--place->count == 0) host->second.lengths.erase(place);
  if (positions.empty()) hosts_.erase(host);
}

void RouteIndex::move(std::string_view hostname, std::string_view path_prefix, std::size_t position) {
  const auto host = hosts_.find(hostname);
  if (host == hosts_.end()) return;
  const auto route = host->second.positions.find(path_prefix);
  if (route != host->second.positions.end()) route->second = position;
}

std::optional<std::size_t> RouteIndex::position_of(std::string_view hostname,
                                                   std::string_view path_prefix) const {
  const auto host = hosts_.find(hostname);
  if (host == hosts_.end()) return std::nullopt;
  const auto route = host->second.positions.find(path_prefix);
  if (route == host->second.positions.end()) return std::nullopt;
  return route->second;
}

std::optional<std::size_t> RouteIndex::find(std::string_view hostname, std::string_view path) const {
  const auto host = hosts_.find(hostname);
  if (host == hosts_.end()) return std::nullopt;
  for (const auto& [length, count] : host->second.lengths) {
    if (length > path.size()) continue;
    const auto found = host->second.positions.find(path.substr(0, length));
    if (found != host->second.positions.end()) return found->second;
  }
  return std::nullopt;
}

}  // namespace winchhall::cluster
