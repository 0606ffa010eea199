#include "aggregator/app/control_command.hpp"

#include <sys/socket.h>
#include <sys/time.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "aggregator/admin/words.hpp"
#include "aggregator/app/config.hpp"
#include "aggregator/event_loop/address.hpp"
#include "aggregator/event_loop/fd.hpp"

namespace winchhall::app {
namespace {
constexpr long kWithin = 2;  // s for the door to answer, which it owes in 1
}  // namespace

std::string control_address() {
  if (const char* at = std::getenv("LB_CONTROL")) return at;
  return std::getenv("LB_CONFIG") ? ConfigFile().config().control : "";
}

int call_door(const std::string& at, const std::string& word, bool json) {
  auto to = net::parse_address(at);
  if (!to)
    throw std::runtime_error("'" + at +
                             "' is no address: --at HOST:PORT, LB_CONTROL or 'control' in LB_CONFIG's file");
  auto fault = [&](const char* what) {
    return std::runtime_error(at + ": " + what + ": " + std::strerror(errno));
  };
  net::UniqueFd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval within{kWithin, 0};
  for (int way : {SO_RCVTIMEO, SO_SNDTIMEO}) ::setsockopt(fd.get(), SOL_SOCKET, way, &within, sizeof within);
  if (!fd || ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&*to), sizeof *to) != 0)
    throw fault("no connection");
  std::string call = word + "\n", heard;
  if (::send(fd.get(), call.data(), call.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(call.size()))
    throw fault("not called");
  char buffer[512];
  ssize_t n = 0;
  while (heard.find('\n') == std::string::npos && (n = ::recv(fd.get(), buffer, sizeof buffer, 0)) > 0)
    heard.append(buffer, static_cast<std::size_t>(n));
  auto answer = door::read_answer(heard);
  if (!answer && n < 0) throw fault("no answer");
  if (!answer) throw std::runtime_error(at + ": no answer of a door: '" + heard.substr(0, 60) + "'");
  if (json)
    std::cout << nlohmann::json{{"call", word}, {"yes", answer->yes}, {"word", answer->word}}.dump() << "\n";
  else
    std::cout << (answer->yes ? "yes: " : "no: ") << answer->word << "\n";
  return answer->yes ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace winchhall::app
