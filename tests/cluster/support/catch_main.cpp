// Entry point of every Catch2 test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
