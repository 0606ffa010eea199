// One HTTP/2 connection of gRPC calls: nghttp2 encodes and decodes, our loop moves the bytes.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "aggregator/event_loop/stream.hpp"

namespace winchhall::flight {

using Headers = std::vector<std::pair<std::string, std::string>>;
const std::string* find_header(const Headers& headers, std::string_view name);

class Http2 : public net::Stream::Owner {
 public:
  class Handler {
   public:
    virtual void up() {}
    // A block of headers: the first of a stream, or its trailers.
    virtual void head(std::int32_t stream, const Headers& headers) = 0;
    virtual void data(std::int32_t stream, std::string_view bytes) = 0;
    virtual void peer_done(std::int32_t stream) = 0;
    virtual void closed(std::int32_t stream, std::uint32_t error) = 0;
    virtual void going_away() {}
    virtual void down() = 0;  // the connection is over; streams still open are lost

   protected:
    ~Handler() = default;
  };

  Http2(net::Loop& loop, Handler& handler, bool server);
  ~Http2();
  Http2(const Http2&) = delete;
  Http2& operator=(const Http2&) = delete;

  void adopt(net::UniqueFd fd);
  bool connect(const sockaddr_in& to);
  void close();
  bool open() const { return stream_ && stream_->open(); }

  std::int32_t request(const Headers& headers, std::string body);
  // `trailers` end the stream; an empty body gives them alone, with the headers in front.
  void respond(std::int32_t stream, const Headers& headers, std::string body, const Headers& trailers);
  void reset(std::int32_t stream, std::uint32_t error);
  void shut_down();  // GOAWAY: streams that are open are finished, no new ones are taken
  void pump();       // gives the socket what the codec has ready
  bool written(std::int32_t stream) const;  // the kernel has taken all of what we sent on it
  bool spoilt() const { return spoilt_; }   // it was ended because the peer's bytes could not be read
  std::size_t unsent() const { return stream_ ? stream_->unsent() : 0; }

  void connected() override;
  void received(std::string& in) override;
  void drained() override { pump(); }
  void ended() override;

 private:
  struct Sending {
    std::string body;
    std::size_t at = 0;
    Headers trailers;
    bool has_trailers = false, finished = false;
    std::uint64_t end = 0;  // where its last byte stands in all that was queued; 0: not known yet
  };
  static ssize_t read_body(nghttp2_session*, std::int32_t stream, std::uint8_t* to, std::size_t most,
                           std::uint32_t* flags, nghttp2_data_source* source, void* self);
  nghttp2_data_provider provider();
  void fail();

  net::Loop& loop_;
  Handler& handler_;
  bool server_;
  nghttp2_session* session_ = nullptr;
  std::shared_ptr<net::Stream> stream_;
  std::map<std::int32_t, Sending> sending_;
  std::map<std::int32_t, Headers> gathering_;
  bool pumping_ = false, over_ = false, spoilt_ = false;
};

}  // namespace winchhall::flight
