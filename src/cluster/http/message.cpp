#include "cluster/http/message.hpp"

#include <utility>

namespace winchhall::cluster {

HttpResponse json_response(unsigned status, std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

}  // namespace winchhall::cluster
