// Serialization of HTTP/1.x responses.
#pragma once

#include <string>

#include "cluster/http/message.hpp"

namespace winchhall::cluster {

// Properties of the request and its connection that determine how the response is framed.
struct ResponseFraming {
  unsigned version = 11;   // HTTP version of the request: 10 or 11
  bool keep_alive = true;  // false: the connection is closed after this response
  bool omit_body = false;  // the request was a HEAD
};

// Replaces `text` with the serialized response. Content-Length and Connection are derived from the body and
// the framing; values that the response has for them are ignored.
void serialize_response(const HttpResponse& response, const ResponseFraming& framing, std::string& text);

}  // namespace winchhall::cluster
