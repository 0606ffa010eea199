#include "cluster/common/toml_table_reader.hpp"

#include <sstream>
#include <string_view>

namespace winchhall::cluster {

namespace {

constexpr std::string_view kSource = "settings";
constexpr std::size_t kMaxShownValueBytes = 80;
constexpr std::int64_t kMaxPort = 65535;

}  // namespace

void TomlTableReader::read_string(const char* name, std::string& target, bool required) {
  const toml::node* node = table_.get(name);
  if (!node) {
    if (required) set_error(name, "", "a text", 0);
    return;
  }
  if (const auto value = node->value_exact<std::string>()) {
    target = *value;
  } else {
    fail(name, *node, "a text");
  }
}

void TomlTableReader::read_strings(const char* name, std::vector<std::string>& target) {
  const toml::node* node = table_.get(name);
  if (!node) return;
  const toml::array* list = node->as_array();
  if (!list) return fail(name, *node, "a list of texts");
  target.clear();
  for (const toml::node& item : *list) {
    const auto value = item.value_exact<std::string>();
    if (!value) return fail(name, item, "a list of texts");
    target.push_back(*value);
  }
}

void TomlTableReader::read_bool(const char* name, bool& target) {
  const toml::node* node = table_.get(name);
  if (!node) return;
  if (const auto value = node->value_exact<bool>()) {
    target = *value;
  } else {
    fail(name, *node, "true or false");
  }
}

void TomlTableReader::read_number(const char* name, double& target) {
  const toml::node* node = table_.get(name);
  if (!node) return;
  const auto value = node->value<double>();
  if (value && *value >= 0) {
    target = *value;
  } else {
    fail(name, *node, "a number of 0 or more");
  }
}

void TomlTableReader::read_integer(const char* name, std::uint64_t& target) {
  const toml::node* node = table_.get(name);
  if (!node) return;
  const auto value = node->value_exact<std::int64_t>();
  if (value && *value >= 0) {
    target = static_cast<std::uint64_t>(*value);
  } else {
    fail(name, *node, "a whole number of 0 or more");
  }
}

void TomlTableReader::read_duration(const char* name, Millis& target, double millis_per_unit) {
  double value = static_cast<double>(target.count()) / millis_per_unit;
  read_number(name, value);
  target = Millis(static_cast<std::int64_t>(value * millis_per_unit));
}

void TomlTableReader::read_port(const char* name, std::uint16_t& target) {
  const toml::node* node = table_.get(name);
  if (!node) return;
  const auto value = node->value_exact<std::int64_t>();
  if (value && *value >= 0 && *value <= kMaxPort) {
    target = static_cast<std::uint16_t>(*value);
  } else {
    fail(name, *node, "a port number from 0 to 65535");
  }
}

void TomlTableReader::read_port_range(const char* name, std::uint16_t& first, std::uint16_t& last) {
  const toml::node* node = table_.get(name);
  if (!node) return set_error(name, "", "two port numbers", 0);
  const toml::array* list = node->as_array();
  if (!list || list->size() != 2) return fail(name, *node, "two port numbers");
  const auto low = list->get(0)->value_exact<std::int64_t>();
  const auto high = list->get(1)->value_exact<std::int64_t>();
  if (!low || !high || *low < 1 || *high > kMaxPort || *low >= *high) {
    return fail(name, *node, "two rising port numbers from 1 to 65535");
  }
  first = static_cast<std::uint16_t>(*low);
  last = static_cast<std::uint16_t>(*high);
}

void TomlTableReader::fail(const char* name, const toml::node& node, std::string allowed) {
  std::ostringstream shown;
  node.visit([&shown](const auto& value) { shown << value; });
  set_error(name, shown.str(), std::move(allowed), node.source().begin.line);
}

void TomlTableReader::set_error(const char* name, const std::string& value, std::string allowed,
                                std::uint32_t line) {
  if (error_) return;
  error_ = InvalidInput{std::string(kSource), path_ + name, value.substr(0, kMaxShownValueBytes),
                        std::move(allowed), line};
}

}  // namespace winchhall::cluster
