#pragma once

// Also compiled as C++14, which the RPC library's client headers need.

#include <json/forwards.h>

#include <string>

namespace tarragon {
namespace peer {

/// Method name of the only notification between instances.
constexpr char DeliverMethod[] = "deliver";

/// Returns a JSON-RPC 2.0 notification of DeliverMethod with \p Parameters.
auto makeNotification(const Json::Value &Parameters) -> std::string;

} // namespace peer
} // namespace tarragon
