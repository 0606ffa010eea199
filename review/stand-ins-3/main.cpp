// winchhall-review-3 CASE RECORD: runs a case and writes its record. TROUBLE=0: without the disruption.
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "cases.hpp"

namespace {

constexpr unsigned kMostSeconds = 115;

// The processes that this one started end with it.
void on_alarm(int /*number*/) { _exit(review::kCouldNotRun); }

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: winchhall-review-3 CASE RECORD\n");
    return review::kCouldNotRun;
  }
  const char* value = std::getenv("TROUBLE");
  const bool trouble = value == nullptr || std::string(value) != "0";
  review::Record record(argv[2]);
  if (!record.good()) return review::kCouldNotRun;
  record.write(std::string("case ") + argv[1] + (trouble ? "" : " without the disruption"));
  signal(SIGALRM, on_alarm);
  alarm(kMostSeconds);
  try {
    const int result = review::run_case(argv[1], trouble, record);
    record.write(result == review::kBroken ? "RESULT: the rule was broken"
                 : result == review::kHeld ? "RESULT: the rule held"
                                           : "RESULT: the case could not run");
    return result;
  } catch (const std::exception& error) {
    record.write(std::string("RESULT: the case could not run: ") + error.what());
    return review::kCouldNotRun;
  }
}
