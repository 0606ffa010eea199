#include "cluster/delivery/configuration_replica.hpp"

#include <utility>

#include "cluster/delivery/configuration_items.hpp"

namespace winchhall::cluster {

TakeOutcome ConfigurationReplica::take(const wire::ConfigurationDifference& difference) {
  switch (table_.check(difference)) {
    case DifferenceCheck::not_newer:
      return TakeOutcome::stale;
    case DifferenceCheck::other_base:
    case DifferenceCheck::wrong_digest:
      return TakeOutcome::unusable;
    case DifferenceCheck::fits:
      break;
  }
  const bool replaces = difference.base_version() == 0 && version() != 0;
  if (!replaces) return take_fitting(difference);
  std::vector<wire::ConfigurationItem> items(difference.items().begin(), difference.items().end());
  return take_fitting(table_.difference_to(difference.version(), std::move(items)));
}

TakeOutcome ConfigurationReplica::take_json(const std::string& json, const char* source) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<TakeOutcome> {
        BOOST_LEAF_AUTO(configuration, parse_configuration(json, source));
        if (configuration.version <= version()) return TakeOutcome::stale;
        return take_fitting(table_.difference_to(configuration.version, items_of(configuration)));
      },
      [] { return TakeOutcome::unusable; });
}

TakeOutcome ConfigurationReplica::take_fitting(const wire::ConfigurationDifference& difference) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<TakeOutcome> {
        BOOST_LEAF_AUTO(edit, read(difference));
        if (configuration_.first_collision(edit)) return TakeOutcome::unusable;
        last_route_changes_ = configuration_.carry_out(std::move(edit), difference.version());
        table_.apply(difference);
        return TakeOutcome::taken;
      },
      [] { return TakeOutcome::unusable; });
}

leaf::result<ConfigurationEdit> ConfigurationReplica::read(const wire::ConfigurationDifference& difference) {
  ConfigurationEdit edit;
  for (const wire::ConfigurationItem& item : difference.items()) BOOST_LEAF_CHECK(read_item(item, edit));
  return edit;
}

// Items of a kind that this version of the program doesn't know are kept in the table alone.
leaf::result<void> ConfigurationReplica::read_item(const wire::ConfigurationItem& item,
                                                   ConfigurationEdit& edit) {
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
    default:
      return {};
  }
}

}  // namespace winchhall::cluster
