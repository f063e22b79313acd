#pragma once

#include "core/ids.h"

#include <functional>
#include <string>

namespace jackdawlead::fleet {

/// An adapter of a base model, regardless of its version. Thread safety: a value type.
struct AdapterKey
{
    core::ModelId model;
    core::AdapterId adapter;

    std::string toString() const { return model.value() + "/" + adapter.value(); }
    auto operator<=>(const AdapterKey &) const = default;
};

/// An adapter that is needed at an endpoint with this version of its software, because a stream
/// goes on there. Thread safety: a value type.
struct PinnedAdapter
{
    AdapterKey key;
    core::SoftwareVersion softwareVersion;

    auto operator<=>(const PinnedAdapter &) const = default;
};

/// Parses MODEL/ADAPTER; the adapter is empty if there is no slash.
inline AdapterKey parseAdapterKey(const std::string &text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos)
        return {core::ModelId(text), {}};
    return {core::ModelId(text.substr(0, slash)), core::AdapterId(text.substr(slash + 1))};
}

} // namespace jackdawlead::fleet

template <> struct std::hash<jackdawlead::fleet::AdapterKey>
{
    std::size_t operator()(const jackdawlead::fleet::AdapterKey &key) const noexcept
    {
        constexpr std::size_t mix = 0x9e3779b97f4a7c15ULL; // 2^64 / golden ratio
        return std::hash<jackdawlead::core::ModelId>()(key.model) * mix
            ^ std::hash<jackdawlead::core::AdapterId>()(key.adapter);
    }
};
