/// @file
/// Classification of requests: whether a request has the form that its class requires, and its affinity key.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "node/downstream_listener.hpp"

namespace mothring::node {

/// Returns whether the method, the idempotency key and the body are those that the platform requires of a
/// class.
bool has_form_of_class(const RequestClass& request_class, const DownstreamListener::RequestHead& head,
                       bool has_body);

/// Returns the hash of a request's affinity key, which is the same at every sidecar; 0 if the request has no
/// key.
std::uint64_t affinity_hash_of(const std::vector<config::Config::Affinity>& rules,
                               std::string_view class_name, const DownstreamListener::RequestHead& head);

}  // namespace mothring::node
