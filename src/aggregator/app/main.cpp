// Entry point of winchhall-aggregator: sets up logging, then serves; with arguments it becomes
// winchhall-tool.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cstdlib>
#include <exception>

#include "aggregator/app/program_path.hpp"
#include "aggregator/app/serve.hpp"

int main(int argc, char** argv) {
  using namespace winchhall;
  spdlog::set_default_logger(spdlog::stderr_logger_st("winchhall"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  if (const char* level = std::getenv("WINCHHALL_LOG")) spdlog::set_level(spdlog::level::from_str(level));
  if (argc > 1) {
    execv(app::path_next_to_program("winchhall-tool").c_str(), argv);
    spdlog::critical("no winchhall-tool beside this program, which has its commands");
    return EXIT_FAILURE;
  }
  try {
    app::serve();
  } catch (const std::exception& error) {
    spdlog::critical("{}", error.what());
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
