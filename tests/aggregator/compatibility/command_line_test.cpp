// Compares the command line of winchhall with the recorded one: commands, options and exit codes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <stdlib.h>

#include <filesystem>
#include <set>
#include <string>

#include "tests/compatibility/program_run.hpp"
#include "tests/compatibility/recorded_lines.hpp"

using namespace winchhall::compatibility;

namespace {

const std::string kProgram = WINCHHALL_PROGRAM;
const std::string kRecords = WINCHHALL_COMPATIBILITY_FOLDER;
const std::string kExamples = WINCHHALL_EXAMPLES_FOLDER;

constexpr const char* kCommands[] = {
    "",          "serve", "check",       "ranges",       "ranges show",   "ranges diff",  "ranges plan",
    "control",   "files", "files check", "files status", "files history", "files accept", "files rollback",
    "files diff"};

// An empty folder for one test, removed afterwards.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "winchhall-compatibility-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path_ = pattern;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

}  // namespace

TEST_CASE("the help texts name the recorded commands, options and arguments") {
  std::set<std::string> present;
  for (const std::string command : kCommands) {
    const ProgramRun help = run_program(kProgram, command + " --help");
    CHECK_MESSAGE(help.exit_code == 0, command);
    for (const std::string& entry : help_entries(help.output)) present.insert(command + ": " + entry);
  }
  const std::set<std::string> recorded = read_recorded_lines(kRecords + "/aggregator/command_line_help.txt");
  CHECK(recorded.size() >= 50);
  CHECK(lines_missing(recorded, present) == "");
  CHECK(lines_missing(present, recorded) == "");
}

TEST_CASE("commands end with the recorded exit codes") {
  const std::set<std::string> recorded =
      read_recorded_lines(kRecords + "/aggregator/command_line_exit_codes.txt");
  CHECK(recorded.size() >= 50);
  for (const std::string& line : recorded) {
    const TemporaryFolder folder;
    const std::size_t colon = line.find(':');
    std::string arguments = with_value(line.substr(colon + 1), "examples", kExamples);
    arguments = with_value(arguments, "folder", folder.path());
    const ProgramRun run = run_program(kProgram, arguments);
    CHECK_MESSAGE(std::to_string(run.exit_code) == line.substr(0, colon), line << "\n" << run.output);
  }
}
