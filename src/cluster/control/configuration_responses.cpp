#include "cluster/control/configuration_responses.hpp"

#include <json/value.h>

#include "cluster/config/json_fields.hpp"
#include "cluster/http/error_response.hpp"

namespace winchhall::cluster {
namespace {

std::string version_body(std::uint64_t version) {
  Json::Value body;
  body["version"] = Json::UInt64{version};
  return write_json(body);
}

}  // namespace

HttpResponse change_response(const ConfigurationOutcome& outcome) {
  switch (outcome.kind) {
    case ConfigurationOutcomeKind::applied:
      return json_response(200, version_body(outcome.version));
    case ConfigurationOutcomeKind::conflict:
      return json_response(412, version_body(outcome.version));
    case ConfigurationOutcomeKind::invalid:
      return error_response(400, outcome.error);
    case ConfigurationOutcomeKind::unavailable:
      break;
  }
  return json_response(503, "{}");
}

HttpResponse read_response(const ConfigurationRead& read) {
  switch (read.kind) {
    case ConfigurationReadKind::found:
      return json_response(200, read.json);
    case ConfigurationReadKind::missing:
      return json_response(404, "{}");
    case ConfigurationReadKind::unavailable:
      break;
  }
  return json_response(503, "{}");
}

}  // namespace winchhall::cluster
