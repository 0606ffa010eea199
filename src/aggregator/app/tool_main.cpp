// Entry point of winchhall-tool, which has all commands of winchhall but serving. `winchhall COMMAND`
// executes it.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <exception>

#include "aggregator/app/command_line.hpp"

int main(int argc, char** argv) {
  spdlog::set_default_logger(spdlog::stderr_logger_st("winchhall"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  try {
    return winchhall::app::run_command(argc, argv);
  } catch (const std::exception& error) {
    spdlog::critical("{}", error.what());
    return EXIT_FAILURE;
  }
}
