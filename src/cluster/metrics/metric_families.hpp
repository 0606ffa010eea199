// Builds metric families of the Prometheus library from plain numbers, without a registry of counter objects.
#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <vector>

#include "cluster/common/duration_histogram.hpp"

namespace winchhall::cluster {

using MetricFamilies = std::vector<prometheus::MetricFamily>;
using MetricLabels = std::vector<prometheus::ClientMetric::Label>;

// Builds one family: samples of one name that differ by their labels.
class FamilyBuilder {
 public:
  // Names follow the Prometheus conventions: base units, counters end in `_total`.
  FamilyBuilder(std::string name, std::string help, prometheus::MetricType type);

  // Adds a sample of a counter or gauge.
  void add(double value, MetricLabels labels = {});
  // Adds a sample of a histogram. The bucket bounds and the sum are exported in seconds.
  void add(const DurationHistogram& durations, MetricLabels labels = {});
  // Returns the family. Called last, once.
  prometheus::MetricFamily build() { return std::move(family_); }

 private:
  prometheus::MetricFamily family_;
};

// Builders for families of each type, with `name` and `help` as exported.
FamilyBuilder counter_family(std::string name, std::string help);
FamilyBuilder gauge_family(std::string name, std::string help);
FamilyBuilder histogram_family(std::string name, std::string help);

}  // namespace winchhall::cluster
