#include "cluster/cli/http_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "cluster/common/endpoint.hpp"

namespace winchhall::cluster {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t kMaxResponseBytes = 64ull << 20;
constexpr const char* kBaseVersionHeader = "X-Winchhall-Base-Version";

// The steps of one exchange: connect, write, read.
class HttpExchange {
 public:
  HttpExchange(const Address& node, const ControlRequest& request, Millis timeout) : stream_(loop_) {
    stream_.expires_after(timeout);
    request_.method(request.method);
    request_.target(request.target);
    request_.version(11);
    request_.set(http::field::host, node);
    request_.set(http::field::content_type, "application/json");
    if (request.base_version) request_.set(kBaseVersionHeader, std::to_string(*request.base_version));
    request_.body() = request.body;
    request_.keep_alive(false);
    request_.prepare_payload();
    parser_.body_limit(kMaxResponseBytes);
  }

  leaf::result<HttpExchangeResult> run(const tcp::endpoint& endpoint) {
    stream_.async_connect(endpoint, [this](const error_code& error) { on_connected(error); });
    loop_.run();
    if (error_) return leaf::new_error(ControlUnavailable{error_.message()});
    const auto& response = parser_.get();
    return HttpExchangeResult{{response.result_int(), response.body()},
                              std::string(response[http::field::location])};
  }

 private:
  void on_connected(const error_code& error) {
    error_ = error;
    if (error) return;
    http::async_write(stream_, request_,
                      [this](const error_code& failure, std::size_t) { on_written(failure); });
  }

  void on_written(const error_code& error) {
    error_ = error;
    if (error) return;
    http::async_read(stream_, buffer_, parser_,
                     [this](const error_code& failure, std::size_t) { error_ = failure; });
  }

  asio::io_context loop_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  error_code error_;
};

}  // namespace

leaf::result<HttpExchangeResult> exchange_http(const Address& node, const ControlRequest& request,
                                               Millis timeout) {
  const auto endpoint = parse_endpoint(node);
  if (!endpoint || endpoint->port() == 0) {
    return leaf::new_error(InvalidInput{"command line", "control", node, "ip:port"});
  }
  return HttpExchange(node, request, timeout).run(*endpoint);
}

}  // namespace winchhall::cluster
