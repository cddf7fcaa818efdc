#pragma once

// Also compiled as C++14, which the RPC library's client headers need.

#include <json/forwards.h>

#include <string>

namespace tarragon {
namespace peer {

/// The name of the one notification between instances.
constexpr char DeliverMethod[] = "deliver";

/// A JSON-RPC 2.0 notification of DeliverMethod with \p Parameters.
auto makeNotification(const Json::Value &Parameters) -> std::string;

} // namespace peer
} // namespace tarragon
