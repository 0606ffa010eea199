// Typed access to the fields of a TOML table.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Reads fields of one table into variables. A missing field leaves its target unchanged, unless the field is
// required. The first invalid field is kept as the error of the whole table; further fields can be read after
// it.
class TomlTableReader {
 public:
  // `path` is prepended to field names in errors, e.g. "bounds.". The table must outlive the reader.
  TomlTableReader(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  // A text.
  void read_string(const char* name, std::string& target, bool required = false);
  // A list of texts.
  void read_strings(const char* name, std::vector<std::string>& target);
  void read_bool(const char* name, bool& target);
  // A number that is not negative.
  void read_number(const char* name, double& target);
  // An integer that is not negative.
  void read_integer(const char* name, std::uint64_t& target);
  // A duration that is not negative. `millis_per_unit`: 1 for a field in milliseconds, 1000 for one in
  // seconds.
  void read_duration(const char* name, Millis& target, double millis_per_unit = 1);
  // A port number; 0 is allowed and means no port.
  void read_port(const char* name, std::uint16_t& target);
  // A required range of ports, [first, last] with first < last.
  void read_port_range(const char* name, std::uint16_t& first, std::uint16_t& last);

  // Reports a field as invalid; `allowed` describes the allowed values.
  void fail(const char* name, const toml::node& node, std::string allowed);
  // The first error; empty if all fields read so far are valid.
  const std::optional<InvalidInput>& error() const { return error_; }

 private:
  void set_error(const char* name, const std::string& value, std::string allowed, std::uint32_t line);

  const toml::table& table_;
  std::string path_;
  std::optional<InvalidInput> error_;
};

}  // namespace winchhall::cluster
