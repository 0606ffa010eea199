// Puts together metric families of the Prometheus library from plain numbers.
#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <vector>

#include "cluster/common/duration_histogram.hpp"

namespace winchhall::cluster {

using MetricFamilies = std::vector<prometheus::MetricFamily>;
using MetricLabels = std::vector<prometheus::ClientMetric::Label>;

// One family: samples of one name, told apart by their labels.
class FamilyBuilder {
 public:
  // Names follow the Prometheus rules: base units, counters end in `_total`.
  FamilyBuilder(std::string name, std::string help, prometheus::MetricType type);

  void add(double value, MetricLabels labels = {});
  // Durations, in seconds.
  void add(const DurationHistogram& durations, MetricLabels labels = {});
  prometheus::MetricFamily build() { return std::move(family_); }

 private:
  prometheus::MetricFamily family_;
};

FamilyBuilder counter_family(std::string name, std::string help);
FamilyBuilder gauge_family(std::string name, std::string help);
FamilyBuilder histogram_family(std::string name, std::string help);

}  // namespace winchhall::cluster
