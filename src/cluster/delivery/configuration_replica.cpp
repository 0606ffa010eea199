#include "cluster/delivery/configuration_replica.hpp"

#include <utility>

#include "cluster/config/configuration_json.hpp"
#include "cluster/delivery/configuration_items.hpp"

namespace winchhall::cluster {

ApplyOutcome ConfigurationReplica::apply(const wire::ConfigurationDifference& difference) {
  switch (table_.check(difference)) {
    case DifferenceCheck::not_newer:
      return ApplyOutcome::stale;
    case DifferenceCheck::other_base:
    case DifferenceCheck::wrong_digest:
      return ApplyOutcome::rejected;
    case DifferenceCheck::applicable:
      break;
  }
  const bool is_full_replacement = difference.base_version() == 0 && version() != 0;
  if (!is_full_replacement) return apply_checked(difference);
  // Only what differs is applied, so that items missing from the new configuration are removed.
  std::vector<wire::ConfigurationItem> items(difference.items().begin(), difference.items().end());
  return apply_checked(table_.difference_to_items(difference.version(), std::move(items)));
}

ApplyOutcome ConfigurationReplica::apply_json(const std::string& json, const char* source) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<ApplyOutcome> {
        BOOST_LEAF_AUTO(configuration, parse_configuration(json, source));
        if (configuration.version <= version()) return ApplyOutcome::stale;
        return apply_checked(table_.difference_to_items(configuration.version, items_of(configuration)));
      },
      [] { return ApplyOutcome::rejected; });
}

ApplyOutcome ConfigurationReplica::apply_checked(const wire::ConfigurationDifference& difference) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<ApplyOutcome> {
        BOOST_LEAF_AUTO(decoded, read(difference));
        if (configuration_.first_conflict(decoded.edit)) return ApplyOutcome::rejected;
        last_route_changes_ = configuration_.apply(std::move(decoded.edit), difference.version());
        last_former_routes_ = std::move(decoded.former_routes);
        table_.apply(difference);
        return ApplyOutcome::applied;
      },
      [] { return ApplyOutcome::rejected; });
}

leaf::result<ConfigurationReplica::DecodedDifference> ConfigurationReplica::read(
    const wire::ConfigurationDifference& difference) {
  DecodedDifference decoded;
  for (const wire::ConfigurationItem& item : difference.items()) BOOST_LEAF_CHECK(read_item(item, decoded));
  return decoded;
}

// Items of unknown kinds, from newer versions of the program, are kept in the item table only.
leaf::result<void> ConfigurationReplica::read_item(const wire::ConfigurationItem& item,
                                                   DecodedDifference& decoded) {
  ConfigurationEdit& edit = decoded.edit;
  switch (item.kind()) {
    case wire::CONFIGURATION_ROUTE: {
      if (item.removed()) {
        edit.removed_routes.push_back(item.name());
        return {};
      }
      BOOST_LEAF_AUTO(route, read_route_item(item));
      edit.routes.push_back(std::move(route));
      return {};
    }
    case wire::CONFIGURATION_SERVICE: {
      if (item.removed()) {
        edit.removed_services.push_back(item.name());
        return {};
      }
      BOOST_LEAF_AUTO(service, read_service_item(item));
      edit.services.push_back(std::move(service));
      return {};
    }
    case wire::CONFIGURATION_LIMITS: {
      BOOST_LEAF_AUTO(limits, read_limits_item(item));
      edit.limits = limits;
      return {};
    }
    case wire::CONFIGURATION_FORMER_ROUTE: {
      if (item.removed()) return {};
      BOOST_LEAF_AUTO(entries, read_former_route_item(item));
      decoded.former_routes.insert(decoded.former_routes.end(), entries.begin(), entries.end());
      return {};
    }
    default:
      return {};
  }
}

}  // namespace winchhall::cluster
