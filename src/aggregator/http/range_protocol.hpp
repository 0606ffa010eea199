// What a directory of ranges and a node that denies a part say, between JSON and plain values.
//
// A directory's line, whole: {"incarnation":3,"revision":41,"ranges":[{"id":7,"from":0,"to":100,"weight":1.5,
//                               "holders":[{"server":"node-1","role":"serving"},...]},...],"more":false}
//                   changes:
//                   {"incarnation":3,"revision":43,"changes":[{"op":"split","range":7,"from":0,"at":50,
//                               "left":8,"right":9,"left_weight":1,"right_weight":0.5},...]}
// A node's denial:             {"incarnation":3,"revision":43,"successors":[{"id":8,"from":0,"to":50,
//                               "holders":["node-1"]},...]}
// Keys and numbers are whole and below 2^53.
#pragma once

#include <optional>
#include <string>

#include "aggregator/ranges/follower.hpp"
#include "aggregator/ranges/replan.hpp"

namespace winchhall::http {

// Nothing, and what is wrong and where, for a text that is no such line.
std::optional<ranges::Update> read_update(const std::string& text, std::string& fault);
std::string write_update(const ranges::Update& update);

// A denial that can't be read is one without revision or successors: the node still has said no.
ranges::Denial read_denial(const std::string& text);
std::string write_denial(const ranges::Denial& denial);

}  // namespace winchhall::http
