#include "cluster/metrics/metric_families.hpp"

#include <limits>
#include <utility>

namespace winchhall::cluster {

namespace {

constexpr double kMillisPerSecond = 1000;

double upper_bound_s(std::size_t range) {
  if (range == kDurationBucketBoundsMs.size()) return std::numeric_limits<double>::infinity();
  return static_cast<double>(kDurationBucketBoundsMs[range]) / kMillisPerSecond;
}

}  // namespace

FamilyBuilder::FamilyBuilder(std::string name, std::string help, prometheus::MetricType type) {
  family_.name = std::move(name);
  family_.help = std::move(help);
  family_.type = type;
}

void FamilyBuilder::add(double value, MetricLabels labels) {
  prometheus::ClientMetric& metric = family_.metric.emplace_back();
  metric.label = std::move(labels);
  if (family_.type == prometheus::MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
}

void FamilyBuilder::add(const DurationHistogram& durations, MetricLabels labels) {
  prometheus::ClientMetric& metric = family_.metric.emplace_back();
  metric.label = std::move(labels);
  metric.histogram.sample_count = durations.count();
  metric.histogram.sample_sum = durations.sum_ms() / kMillisPerSecond;
  std::uint64_t cumulative = 0;
  for (std::size_t range = 0; range <= kDurationBucketBoundsMs.size(); ++range) {
    cumulative += durations.bucket_count(range);
    metric.histogram.bucket.push_back({cumulative, upper_bound_s(range)});
  }
}

FamilyBuilder counter_family(std::string name, std::string help) {
  return FamilyBuilder(std::move(name), std::move(help), prometheus::MetricType::Counter);
}

FamilyBuilder gauge_family(std::string name, std::string help) {
  return FamilyBuilder(std::move(name), std::move(help), prometheus::MetricType::Gauge);
}

FamilyBuilder histogram_family(std::string name, std::string help) {
  return FamilyBuilder(std::move(name), std::move(help), prometheus::MetricType::Histogram);
}

}  // namespace winchhall::cluster
