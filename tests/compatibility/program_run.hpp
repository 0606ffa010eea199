// Runs a program as an operator would, and returns its output and exit code.
#pragma once

#include <sys/wait.h>

#include <cstdio>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>

namespace winchhall::compatibility {

// Result of one run.
struct ProgramRun {
  int exit_code = -1;  // -1: ended by a signal
  std::string output;  // standard output and standard error
};

// Runs `program` with `arguments`, which the shell splits, without standard input and without the variables
// from which the programs take settings. Waits for its end.
inline ProgramRun run_program(const std::string& program, const std::string& arguments) {
  const std::string command =
      "unset WINCHHALL_NODE_FILE WINCHHALL_OPERATOR WINCHHALL_FLIGHT WINCHHALL_LOG LB_CONFIG LB_CONTROL; "
      "COLUMNS=120 LC_ALL=C '" +
      program + "' " + arguments + " 2>&1 < /dev/null";
  std::FILE* const pipe = popen(command.c_str(), "r");
  if (pipe == nullptr) throw std::runtime_error("no shell");
  ProgramRun run;
  char buffer[4096];
  while (const std::size_t size = std::fread(buffer, 1, sizeof buffer, pipe)) run.output.append(buffer, size);
  const int status = pclose(pipe);
  if (WIFEXITED(status)) run.exit_code = WEXITSTATUS(status);
  return run;
}

// The first column of each indented line of a help text: options with the names of their values, arguments
// and sub-commands. Descriptions are left out.
inline std::set<std::string> help_entries(const std::string& help) {
  std::istringstream text(help);
  std::set<std::string> entries;
  for (std::string line; std::getline(text, line);) {
    const std::size_t begin = line.find_first_not_of(' ');
    if (begin == std::string::npos) continue;
    if (begin != 2 && line[begin] != '-') continue;
    const std::size_t end = line.find("  ", begin);
    entries.insert(line.substr(begin, end == std::string::npos ? end : end - begin));
  }
  return entries;
}

// `text` with every `name` in braces replaced by `value`.
inline std::string with_value(std::string text, const std::string& name, const std::string& value) {
  const std::string wanted = "{" + name + "}";
  for (std::size_t at = text.find(wanted); at != std::string::npos;
       at = text.find(wanted, at + value.size())) {
    text.replace(at, wanted.size(), value);
  }
  return text;
}

}  // namespace winchhall::compatibility
