#pragma once

#include "core/ids.h"

#include <cstdint>

namespace jackdawlead::core {

/// Rises each time the store comes back from a copy; zero for a store that does not state it.
using StoreEra = SequenceNumber<struct StoreEraTag>;

/// A position in the history of the store. A restored store gives out lost revisions again, so that
/// positions of different eras have no order: there is no operator<. Thread safety: a value type.
struct StorePosition
{
    StoreEra era;
    std::uint64_t revision = 0;

    bool operator==(const StorePosition &) const = default;
    /// Whether this is a later position of the same era.
    bool isAfter(const StorePosition &other) const
    {
        return era == other.era && revision > other.revision;
    }
};

} // namespace jackdawlead::core
