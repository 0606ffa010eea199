#include "aggregator/app/command_line.hpp"

#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "aggregator/app/check_files.hpp"
#include "aggregator/app/control_command.hpp"
#include "aggregator/app/files_command.hpp"
#include "aggregator/app/program_path.hpp"
#include "aggregator/app/ranges_command.hpp"

namespace winchhall::app {
namespace {

constexpr std::size_t kMaxPlanParts = 4096;  // of a query, as in the serving program

int check(const std::vector<std::string>& files) {
  bool sound = true;
  for (const std::string& file : files) {
    CheckedFile checked = check_file(file);
    for (const Fault& fault : checked.faults) std::cout << fault.text() << "\n";
    if (checked.faults.empty()) std::cout << file << ": sound (" << checked.kind << ")\n";
    sound = sound && checked.faults.empty();
  }
  return sound ? EXIT_SUCCESS : EXIT_FAILURE;
}

int run_plan_command(const std::string& source, const std::vector<std::string>& spans, double hint_us,
                     bool json) {
  std::vector<ranges::Span> list;
  for (const std::string& text : spans) {
    auto span = parse_span(text);
    if (!span) throw CLI::ValidationError("--span", "'" + text + "': FROM:TO is wanted, two whole numbers");
    list.push_back(*span);
  }
  std::string why = ranges::spans_fault(list, kMaxPlanParts);
  if (!why.empty()) throw CLI::ValidationError("--span", why);
  auto hint = hint_us > 0 ? std::optional(hint_us / 1000) : std::nullopt;
  auto plan = ranges::plan(load_map(source), list, hint, kMaxPlanParts, why);
  if (!plan) throw std::runtime_error(why);
  std::cout << show_plan(*plan, json);
  return EXIT_SUCCESS;
}

// Replaces this process by the serving program, which takes its files from the environment.
int exec_server(const std::string& config, const std::string& operator_file, const std::string& level) {
  if (!config.empty()) setenv("LB_CONFIG", config.c_str(), 1);
  if (!operator_file.empty()) setenv("WINCHHALL_OPERATOR", operator_file.c_str(), 1);
  if (!level.empty()) setenv("WINCHHALL_LOG", level.c_str(), 1);
  std::string program = path_next_to_program("winchhall-aggregator");
  execl(program.c_str(), program.c_str(), nullptr);
  throw std::runtime_error("no winchhall-aggregator beside this program");
}

}  // namespace

int run_command(int argc, char** argv) {
  CLI::App app{"winchhall: an aggregator for queries over sharded records"};
  app.set_version_flag("--version", std::string("winchhall ") + WINCHHALL_VERSION);
  app.require_subcommand(1);
  app.footer("Without a command it serves by its environment: LB_CONFIG, WINCHHALL_OPERATOR, WINCHHALL_LOG.");

  std::string config, operator_file, level;
  CLI::App* serve = app.add_subcommand("serve", "serve queries until SIGTERM");
  serve->add_option("-c,--config", config, "the platform's configuration (else LB_CONFIG)");
  serve->add_option("-o,--operator", operator_file, "an operator's file (else WINCHHALL_OPERATOR)");
  serve->add_option("--log-level", level, "trace, debug, info, warning, error")
      ->check(CLI::IsMember({"trace", "debug", "info", "warning", "error"}));

  std::vector<std::string> files;
  CLI::App* check_files = app.add_subcommand("check", "look files over; every fault with its line, 1 if any");
  check_files->add_option("FILE", files, "operator files, configurations, maps of ranges")->required();

  CLI::App* maps = app.add_subcommand("ranges", "look at a map of ranges: a file, or a directory's address");
  maps->require_subcommand(1);
  std::string source, other, within;
  std::vector<std::string> spans;
  double hint_us = 0;
  bool json = false;
  CLI::App* show = maps->add_subcommand("show", "print the map");
  show->add_option("SOURCE", source)->required();
  show->add_option("--within", within, "only what touches FROM:TO");
  show->add_flag("--json", json);
  CLI::App* diff = maps->add_subcommand("diff", "what the second has otherwise; 1 where they differ");
  diff->add_option("A", source)->required();
  diff->add_option("B", other)->required();
  CLI::App* plan = maps->add_subcommand("plan", "the parts of a query over these spans");
  plan->add_option("SOURCE", source)->required();
  plan->add_option("--span", spans, "FROM:TO, may be repeated")->required();
  plan->add_option("--hint-us", hint_us, "work of the whole query in microseconds")
      ->check(CLI::NonNegativeNumber);
  plan->add_flag("--json", json);

  std::string command, address;
  CLI::App* control = app.add_subcommand("control", "call at the operators' door; 0 for yes, 1 for no");
  control->add_option("CALL", command)->required()->check(CLI::IsMember({"ready", "drain", "resume"}));
  control->add_option("--at", address, "its address (else LB_CONTROL, else 'control' in LB_CONFIG's file)");
  control->add_flag("--json", json);

  FilesCheckOptions files_options;
  CLI::App* folder = app.add_subcommand("files", "look at a folder of watched files");
  folder->require_subcommand(1);
  CLI::App* files_check_command =
      folder->add_subcommand("check", "every fault of the set, with its line; 1 if any");
  files_check_command->add_option("DIR", files_options.folder)->required();
  files_check_command->add_option("--zones", files_options.zones, "known zones, as in the operator's file");
  files_check_command->add_option("--cells", files_options.cells,
                                  "cells that are known: 0 up to, without, this");
  files_check_command->add_flag("--json", files_options.json);
  std::string other_folder, store, digest;
  CLI::App* files_status = folder->add_subcommand("status", "the last verdict in a store");
  CLI::App* files_history = folder->add_subcommand("history", "all verdicts in a store, newest first");
  for (CLI::App* each : {files_status, files_history}) {
    each->add_option("STORE", store)->required();
    each->add_flag("--json", files_options.json);
  }
  CLI::App* files_accept =
      folder->add_subcommand("accept", "have the running program take a set that is held");
  CLI::App* files_rollback =
      folder->add_subcommand("rollback", "have it go back to a set that was taken before");
  for (CLI::App* each : {files_accept, files_rollback}) {
    each->add_option("STORE", store)->required();
    each->add_option("GENERATION", digest)->required();
  }
  CLI::App* files_diff =
      folder->add_subcommand("diff", "what the second folder has otherwise; 1 where they differ");
  files_diff->add_option("A", files_options.folder)->required();
  files_diff->add_option("B", other_folder)->required();

  try {
    app.parse(argc, argv);
    if (serve->parsed()) return exec_server(config, operator_file, level);
    if (control->parsed())
      return call_admin_server(address.empty() ? control_address() : address, command, json);
    if (check_files->parsed()) return check(files);
    if (files_check_command->parsed()) return check_folder(files_options);
    if (files_status->parsed()) return show_store(store, false, files_options.json);
    if (files_history->parsed()) return show_store(store, true, files_options.json);
    if (files_accept->parsed()) return submit_command(store, "accept", digest);
    if (files_rollback->parsed()) return submit_command(store, "rollback", digest);
    if (files_diff->parsed()) return diff_folders(files_options.folder, other_folder);
    if (show->parsed()) {
      auto span = within.empty() ? std::optional(ranges::Span{0, ranges::kKeyEnd}) : parse_span(within);
      if (!span) throw CLI::ValidationError("--within", "'" + within + "': FROM:TO is wanted");
      std::cout << show_map(load_map(source), *span, json);
      return EXIT_SUCCESS;
    }
    if (diff->parsed()) {
      std::string lines = diff_maps(load_map(source), load_map(other));
      std::cout << lines;
      return lines.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    return run_plan_command(source, spans, hint_us, json);
  } catch (const CLI::ParseError& error) {
    int code = app.exit(error);
    return code == 0 ? 0 : 2;
  }
}

}  // namespace winchhall::app
