// The main function of the tests of doctest whose cases are spread over several files.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
