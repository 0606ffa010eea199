#include "cluster/config/route_index.hpp"

#include <algorithm>

#include "cluster/common/digest.hpp"

namespace winchhall::cluster {
namespace {

char to_lower(char character) {
  if (character >= 'A' && character <= 'Z') return static_cast<char>(character - 'A' + 'a');
  return character;
}

}  // namespace

std::string lower_case_hostname(std::string_view hostname) {
  std::string lower(hostname);
  std::transform(lower.begin(), lower.end(), lower.begin(), to_lower);
  return lower;
}

std::size_t HostnameHash::operator()(std::string_view hostname) const {
  Digest digest;
  for (const char character : hostname) digest.add_char(to_lower(character));
  return static_cast<std::size_t>(digest.value());
}

bool HostnameEqual::operator()(std::string_view left, std::string_view right) const {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char one, char other) { return to_lower(one) == to_lower(other); });
}

std::vector<RouteIndex::PrefixLength>::iterator RouteIndex::find_length(HostRoutes& host,
                                                                        std::size_t length) {
  return std::lower_bound(host.lengths.begin(), host.lengths.end(), length,
                          [](const PrefixLength& one, std::size_t other) { return one.length > other; });
}

bool RouteIndex::add(std::string_view hostname, std::string_view path_prefix, std::size_t position) {
  HostRoutes& host = hosts_[std::string(hostname)];
  if (!host.positions.emplace(path_prefix, position).second) return false;
  auto entry = find_length(host, path_prefix.size());
  const bool known = entry != host.lengths.end() && entry->length == path_prefix.size();
  if (!known) entry = host.lengths.insert(entry, {path_prefix.size(), 0});
  ++entry->count;
  return true;
}

void RouteIndex::remove(std::string_view hostname, std::string_view path_prefix) {
  const auto host = hosts_.find(hostname);
  if (host == hosts_.end()) return;
  auto& positions = host->second.positions;
  const auto route = positions.find(path_prefix);
  if (route == positions.end()) return;
  positions.erase(route);
  const auto entry = find_length(host->second, path_prefix.size());
  if (--entry->count == 0) host->second.lengths.erase(entry);
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
