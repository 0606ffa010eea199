// JSON encoding of range map updates and of denials. No I/O.
//
// Update line, whole map: {"incarnation":3,"revision":41,"ranges":[{"id":7,"from":0,"to":100,"weight":1.5,
//                             "holders":[{"server":"node-1","role":"serving"},...]},...],"more":false}
// Update line, changes:   {"incarnation":3,"revision":43,"changes":[{"op":"split","range":7,"from":0,"at":50,
//                             "left":8,"right":9,"left_weight":1,"right_weight":0.5},...]}
// Denial by a node:       {"incarnation":3,"revision":43,"successors":[{"id":8,"from":0,"to":50,
//                             "holders":["node-1"]},...]}
// All keys, ids and revisions are integers from 0 to 2^53.
#pragma once

#include <optional>
#include <string>

#include "aggregator/ranges/follower.hpp"
#include "aggregator/ranges/replan.hpp"

namespace winchhall::http {

// Parses an update line; nothing if it is malformed, with the error and its place in `fault`.
std::optional<ranges::Update> read_update(const std::string& text, std::string& fault);
std::string write_update(const ranges::Update& update);

// Parses a denial. A malformed one is returned without successors: it is still a denial.
ranges::Denial read_denial(const std::string& text);
std::string write_denial(const ranges::Denial& denial);

}  // namespace winchhall::http
