#include "cluster/ingress/job_json.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace winchhall::cluster {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxShownValueBytes = 60;
constexpr std::uint64_t kMaxExactInteger = std::uint64_t{1} << 53;  // integers up to here are exact in JSON
constexpr std::size_t kParseBufferBytes = 8192;

leaf::error_id invalid(std::string field, std::string value, std::string allowed) {
  value.resize(std::min(value.size(), kMaxShownValueBytes));
  return leaf::new_error(InvalidInput{"job", std::move(field), std::move(value), std::move(allowed)});
}

// The value as a non-negative integer, also if it is written as 12.0; none for any other value.
std::optional<std::uint64_t> to_unsigned(const json::value& value) {
  if (const auto* integer = value.if_int64(); integer != nullptr && *integer >= 0) {
    return static_cast<std::uint64_t>(*integer);
  }
  const auto* real = value.if_double();
  const bool is_integer =
      real != nullptr && *real >= 0 && *real <= kMaxExactInteger && std::floor(*real) == *real;
  if (is_integer) return static_cast<std::uint64_t>(*real);
  return std::nullopt;
}

// Typed access to the fields of one JSON object. `path` is the position of the object in the body, for error
// reports. All functions return InvalidInput for a field of the wrong type or range.
class ObjectReader {
 public:
  ObjectReader(const json::object& object, std::string path) : object_(object), path_(std::move(path)) {}

  std::string path_of(std::string_view name) const {
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
  }

  leaf::result<std::uint64_t> unsigned_field(std::string_view name, std::uint64_t max) const {
    const json::value* value = object_.if_contains(name);
    if (value == nullptr) return 0;
    const auto number = to_unsigned(*value);
    if (number && *number <= max) return *number;
    return invalid(path_of(name), json::serialize(*value), "a whole number from 0 to " + std::to_string(max));
  }

  leaf::result<std::uint32_t> uint32_field(std::string_view name) const {
    BOOST_LEAF_AUTO(value, unsigned_field(name, std::numeric_limits<std::uint32_t>::max()));
    return static_cast<std::uint32_t>(value);
  }

  leaf::result<bool> bool_field(std::string_view name) const {
    const json::value* value = object_.if_contains(name);
    if (value == nullptr) return false;
    if (value->is_bool()) return value->get_bool();
    return invalid(path_of(name), json::serialize(*value), "true or false");
  }

  leaf::result<std::string> string_field(std::string_view name, std::size_t max_bytes) const {
    const json::value* value = object_.if_contains(name);
    if (value == nullptr) return std::string();
    const auto* string = value->if_string();
    if (string != nullptr && string->size() <= max_bytes) return std::string(string->data(), string->size());
    return invalid(path_of(name), json::serialize(*value),
                   "a text of at most " + std::to_string(max_bytes) + " bytes");
  }

  // Null if the field is missing.
  leaf::result<const json::array*> array_field(std::string_view name) const {
    const json::value* value = object_.if_contains(name);
    if (value == nullptr) return nullptr;
    if (value->is_array()) return &value->get_array();
    return invalid(path_of(name), json::serialize(*value), "a list");
  }

 private:
  const json::object& object_;
  std::string path_;
};

leaf::result<void> read_dependencies(const ObjectReader& reader, std::size_t stage_number,
                                     wire::Stage& stage) {
  BOOST_LEAF_AUTO(list, reader.array_field("depends_on"));
  if (list == nullptr) return {};
  for (const json::value& item : *list) {
    const auto number = to_unsigned(item);
    const bool earlier = number && *number < stage_number;
    if (!earlier)
      return invalid(reader.path_of("depends_on"), json::serialize(item), "numbers of earlier steps");
    stage.add_depends_on(static_cast<std::uint32_t>(*number));
  }
  return {};
}

leaf::result<void> read_resources(const ObjectReader& reader, wire::Stage& stage) {
  BOOST_LEAF_AUTO(count, reader.uint32_field("count"));
  BOOST_LEAF_AUTO(cpu, reader.uint32_field("cpu"));
  BOOST_LEAF_AUTO(mem_mb, reader.uint32_field("mem_mb"));
  BOOST_LEAF_AUTO(gpu, reader.uint32_field("gpu"));
  BOOST_LEAF_AUTO(estimated_ms, reader.uint32_field("estimated_ms"));
  if (count == 0) return invalid(reader.path_of("count"), "0", "at least 1");
  stage.set_count(count);
  stage.set_cpu(cpu);
  stage.set_mem_mb(mem_mb);
  stage.set_gpu(gpu);
  stage.set_estimated_ms(estimated_ms);
  return {};
}

leaf::result<void> read_placement(const ObjectReader& reader, wire::Stage& stage) {
  BOOST_LEAF_AUTO(requirements, reader.string_field("requirements", kMaxSpecBytes));
  BOOST_LEAF_AUTO(colocation, reader.string_field("colocation", kMaxSpecBytes));
  BOOST_LEAF_AUTO(anti_affinity, reader.uint32_field("anti_affinity"));
  stage.set_requirements(std::move(requirements));
  stage.set_colocation(std::move(colocation));
  stage.set_anti_affinity(anti_affinity);
  return {};
}

leaf::result<void> read_flags(const ObjectReader& reader, wire::Stage& stage) {
  BOOST_LEAF_AUTO(checkpoints, reader.bool_field("checkpoints"));
  BOOST_LEAF_AUTO(gang, reader.bool_field("gang"));
  BOOST_LEAF_AUTO(same_rack, reader.bool_field("same_rack"));
  BOOST_LEAF_AUTO(speculative, reader.bool_field("speculative"));
  BOOST_LEAF_AUTO(long_running, reader.bool_field("long_running"));
  stage.set_checkpoints(checkpoints);
  stage.set_gang(gang);
  stage.set_same_rack(same_rack);
  stage.set_speculative(speculative);
  stage.set_long_running(long_running);
  return {};
}

leaf::result<void> read_stage(const json::value& value, std::size_t number, wire::Stage& stage) {
  const std::string path = "stages[" + std::to_string(number) + "]";
  if (!value.is_object()) return invalid(path, json::serialize(value), "an object");
  const ObjectReader reader(value.get_object(), path);
  BOOST_LEAF_CHECK(read_resources(reader, stage));
  BOOST_LEAF_CHECK(read_dependencies(reader, number, stage));
  BOOST_LEAF_CHECK(read_placement(reader, stage));
  return read_flags(reader, stage);
}

leaf::result<void> read_stages(const ObjectReader& reader, wire::JobSpec& job) {
  BOOST_LEAF_AUTO(stages, reader.array_field("stages"));
  if (stages == nullptr || stages->empty()) return invalid("stages", "", "a list of at least one step");
  std::size_t number = 0;
  for (const json::value& value : *stages) {
    BOOST_LEAF_CHECK(read_stage(value, number, *job.add_stages()));
    ++number;
  }
  return {};
}

leaf::result<void> read_schedule(const ObjectReader& reader, wire::JobSpec& job) {
  BOOST_LEAF_AUTO(repeat_count, reader.uint32_field("repeat_count"));
  BOOST_LEAF_AUTO(start_at_ms, reader.unsigned_field("start_at_ms", kMaxExactInteger));
  BOOST_LEAF_AUTO(interval_ms, reader.unsigned_field("interval_ms", kMaxExactInteger));
  job.set_repeat_count(repeat_count);
  job.set_start_at_ms(start_at_ms);
  job.set_interval_ms(interval_ms);
  return {};
}

}  // namespace

leaf::result<wire::JobSpec> parse_job(std::string_view body) {
  unsigned char buffer[kParseBufferBytes];
  json::monotonic_resource memory(buffer);
  boost::system::error_code error;
  const json::value document = json::parse({body.data(), body.size()}, error, &memory);
  if (error) return invalid("", std::string(body), "JSON (" + error.message() + ")");
  if (!document.is_object()) return invalid("", std::string(body), "an object");
  const ObjectReader reader(document.get_object(), "");
  wire::JobSpec job;
  BOOST_LEAF_AUTO(spec, reader.string_field("spec", kMaxSpecBytes));
  job.set_spec(std::move(spec));
  BOOST_LEAF_CHECK(read_stages(reader, job));
  BOOST_LEAF_CHECK(read_schedule(reader, job));
  return job;
}

bool is_job_id(std::string_view text) {
  const auto is_hex = [](unsigned char character) { return std::isxdigit(character) != 0; };
  return text.size() == kJobIdDigits && std::all_of(text.begin(), text.end(), is_hex);
}

}  // namespace winchhall::cluster
