/// @file
/// What a request is: whether its form is that of its class, and its affinity key.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "node/downstream_listener.hpp"

namespace mothring::node {

/// Whether the method, the idempotency key and the body are those that the protocol gives to a class.
bool has_form_of_class(const RequestClass& request_class, const DownstreamListener::RequestHead& head,
                       bool has_body);

/// The hash of a request's affinity key, the same at every sidecar; 0: it has none.
std::uint64_t affinity_hash_of(const std::vector<config::Config::Affinity>& rules,
                               std::string_view class_name, const DownstreamListener::RequestHead& head);

}  // namespace mothring::node
