// Writes a response as the bytes that go on the wire.
#pragma once

#include <string>

#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// What of the request decides about the form of its answer.
struct ResponseFraming {
  unsigned version = 11;   // HTTP version of the request: 10 or 11
  bool keep_alive = true;  // false: the connection is closed after this answer
  bool omit_body = false;  // the request was a HEAD
};

// Replaces `text` by the response. Content-Length and Connection are set here, whatever the response says of
// them.
void serialize_response(const HttpResponse& response, const ResponseFraming& form, std::string& text);

}  // namespace winchhall::cluster
