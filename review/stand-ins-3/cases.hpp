// The cases of the third review that are scripts.
#pragma once

#include <string>

#include "record.hpp"

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Runs the case of this name, with its disruption or without. Returns one of the values above.
int run_case(const std::string& name, bool trouble, Record& record);

}  // namespace review
