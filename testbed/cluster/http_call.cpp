#include "testbed/cluster/http_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace winchhall::testbed::cluster {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

tcp::endpoint parse_endpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
  return {boost::asio::ip::make_address(address.substr(0, colon)), port};
}

http::request<http::string_body> make_request(const HttpCall& call, bool keep_alive) {
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request(http::string_to_verb(call.method), call.target, kHttp11);
  request.set(http::field::host, call.host.empty() ? call.address : call.host);
  if (!keep_alive) request.set(http::field::connection, "close");
  if (!call.body.empty()) request.set(http::field::content_type, "application/json");
  for (const HttpHeader& header : call.headers) request.set(header.name, header.value);
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

// The steps of one call: connect, write, read.
class HttpExchange {
 public:
  HttpExchange(boost::asio::io_context& loop, const HttpCall& call)
      : stream_(loop), request_(make_request(call, false)) {
    stream_.expires_after(call.timeout);
    stream_.async_connect(parse_endpoint(call.address), [this](const beast::error_code& error) {
      if (!error) write();
    });
  }
  HttpCallResponse result() const { return result_; }

 private:
  void write() {
    http::async_write(stream_, request_, [this](const beast::error_code& error, std::size_t) {
      if (!error) read();
    });
  }
  void read() {
    http::async_read(stream_, buffer_, response_, [this](const beast::error_code& error, std::size_t) {
      if (!error) result_ = {response_.result_int(), response_.body()};
    });
  }

  beast::tcp_stream stream_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  beast::flat_buffer buffer_;
  HttpCallResponse result_;
};

}  // namespace

// An open connection with its own event loop, which runs only during a call.
class HttpConnection::Stream {
 public:
  Stream() : stream_(loop_) {}

  bool connect(const HttpCall& call) {
    return run(call.timeout, [&](const auto& done) {
      stream_.async_connect(parse_endpoint(call.address), [done](const beast::error_code& e) { done(e); });
    });
  }
  // False if the exchange failed or the server closes the connection: it can't be used any more. `response`
  // is set only if a response was received.
  bool exchange(const HttpCall& call, HttpCallResponse& response) {
    const auto request = make_request(call, true);
    http::response<http::string_body> message;
    const bool sent = run(call.timeout, [&](const auto& done) {
      http::async_write(stream_, request, [done](const beast::error_code& e, std::size_t) { done(e); });
    });
    const bool received = sent && run(call.timeout, [&](const auto& done) {
                            http::async_read(stream_, buffer_, message,
                                             [done](const beast::error_code& e, std::size_t) { done(e); });
                          });
    if (!received) return false;
    response = {message.result_int(), message.body()};
    return message.keep_alive();
  }

 private:
  template <class Start>
  bool run(std::chrono::milliseconds timeout, const Start& start) {
    bool succeeded = false;
    stream_.expires_after(timeout);
    start([&succeeded](const beast::error_code& error) { succeeded = !error; });
    loop_.restart();
    loop_.run();
    return succeeded;
  }

  boost::asio::io_context loop_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

HttpConnection::HttpConnection() = default;
HttpConnection::~HttpConnection() = default;

HttpCallResponse HttpConnection::send(const HttpCall& call) {
  HttpCallResponse response;
  if (!stream_) {
    stream_ = std::make_unique<Stream>();
    if (!stream_->connect(call)) {
      stream_.reset();
      return response;
    }
  }
  if (!stream_->exchange(call, response)) stream_.reset();
  return response;
}

HttpCallResponse send_http_call(const HttpCall& call) {
  boost::asio::io_context loop;
  HttpExchange exchange(loop, call);
  loop.run();
  return exchange.result();
}

}  // namespace winchhall::testbed::cluster
