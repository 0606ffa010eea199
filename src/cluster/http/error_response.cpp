#include "cluster/http/error_response.hpp"

#include <boost/json.hpp>

namespace winchhall::cluster {

namespace json = boost::json;

HttpResponse error_response(unsigned status, const InvalidInput& error) {
  json::object fields{
      {"source", error.source}, {"field", error.field}, {"value", error.value}, {"allowed", error.allowed}};
  return json_response(status, json::serialize(json::object{{"error", std::move(fields)}}));
}

}  // namespace winchhall::cluster
