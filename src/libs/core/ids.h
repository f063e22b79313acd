#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace jackdawlead::core {

/// A strongly typed string identifier; identifiers of different kinds don't convert into each
/// other. Thread safety: a value type.
template <typename Tag> class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }
    auto operator<=>(const Id &) const = default;

private:
    std::string m_value;
};

/// A strongly typed number that only increases. Thread safety: a value type.
template <typename Tag> class SequenceNumber
{
public:
    SequenceNumber() = default;
    explicit constexpr SequenceNumber(std::uint64_t value)
        : m_value(value)
    { }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr SequenceNumber next() const { return SequenceNumber(m_value + 1); }
    auto operator<=>(const SequenceNumber &) const = default;

private:
    std::uint64_t m_value = 0;
};

using HostId = Id<struct HostTag>;
using EndpointId = Id<struct EndpointTag>;
using PoolId = Id<struct PoolTag>;
using CustomerId = Id<struct CustomerTag>;
using ServiceId = Id<struct ServiceTag>;
using ModelId = Id<struct ModelTag>;
using AdapterId = Id<struct AdapterTag>;
using RequestId = Id<struct RequestTag>;
/// A part of a prompt that several requests may share.
using PromptPartId = Id<struct PromptPartTag>;
/// The version of an endpoint's own software, not of the weights that it holds.
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using AttemptId = Id<struct AttemptTag>;
using RegionId = Id<struct RegionTag>;
using FailureDomainId = Id<struct FailureDomainTag>;

using Generation = SequenceNumber<struct GenerationTag>;
using FencingToken = SequenceNumber<struct FencingTokenTag>;

/// An adapter at one version; written `adapter@version` in requests and on engines.
struct AdapterVersion
{
    AdapterId adapter;
    std::string version;

    std::string toString() const { return adapter.value() + "@" + version; }
    auto operator<=>(const AdapterVersion &) const = default;
};

} // namespace jackdawlead::core

template <typename Tag> struct std::hash<jackdawlead::core::Id<Tag>>
{
    std::size_t operator()(const jackdawlead::core::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

template <> struct std::hash<jackdawlead::core::AdapterVersion>
{
    std::size_t operator()(const jackdawlead::core::AdapterVersion &key) const noexcept
    {
        return std::hash<std::string>()(key.toString());
    }
};
