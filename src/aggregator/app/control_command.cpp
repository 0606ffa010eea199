#include "aggregator/app/control_command.hpp"

#include <sys/socket.h>
#include <sys/time.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "aggregator/admin/admin_protocol.hpp"
#include "aggregator/app/config.hpp"
#include "aggregator/event_loop/address.hpp"
#include "aggregator/event_loop/fd.hpp"

namespace winchhall::app {
namespace {
constexpr long kTimeoutSeconds = 2;  // the admin port answers within 1 s
}  // namespace

std::string control_address() {
  if (const char* address = std::getenv("LB_CONTROL")) return address;
  return std::getenv("LB_CONFIG") ? ConfigFile().config().admin_address : "";
}

int call_admin_server(const std::string& address, const std::string& command, bool json) {
  auto to = event_loop::parse_address(address);
  if (!to)
    throw std::runtime_error("'" + address +
                             "' is no address: --at HOST:PORT, LB_CONTROL or 'control' in LB_CONFIG's file");
  auto socket_error = [&](const char* what) {
    return std::runtime_error(address + ": " + what + ": " + std::strerror(errno));
  };
  event_loop::UniqueFd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval timeout{kTimeoutSeconds, 0};
  for (int option : {SO_RCVTIMEO, SO_SNDTIMEO})
    ::setsockopt(fd.get(), SOL_SOCKET, option, &timeout, sizeof timeout);
  if (!fd || ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&*to), sizeof *to) != 0)
    throw socket_error("no connection");
  std::string request = command + "\n", reply_text;
  if (::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
    throw socket_error("not called");
  char buffer[512];
  ssize_t n = 0;
  while (reply_text.find('\n') == std::string::npos && (n = ::recv(fd.get(), buffer, sizeof buffer, 0)) > 0)
    reply_text.append(buffer, static_cast<std::size_t>(n));
  auto reply = admin::parse_reply(reply_text);
  if (!reply && n < 0) throw socket_error("no answer");
  if (!reply) throw std::runtime_error(address + ": no answer of a door: '" + reply_text.substr(0, 60) + "'");
  if (json)
    std::cout << nlohmann::json{{"call", command}, {"yes", reply->accepted}, {"word", reply->message}}.dump()
              << "\n";
  else
    std::cout << (reply->accepted ? "yes: " : "no: ") << reply->message << "\n";
  return reply->accepted ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace winchhall::app
