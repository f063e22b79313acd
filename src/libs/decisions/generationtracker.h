#pragma once

#include "core/ids.h"

namespace jackdawlead::decisions {

/// Lets a daemon take only newer generations of the configuration, in whatever order they are seen
/// and their parts arrive. Thread safety: one thread at a time.
class GenerationTracker
{
public:
    /// Whether `seen` is to be fetched; it is then the wanted generation.
    bool advanceTarget(core::Generation seen);
    /// Whether a generation whose parts are complete comes into force.
    bool apply(core::Generation complete);

    core::Generation targetGeneration() const { return m_wanted; }
    core::Generation activeGeneration() const { return m_inForce; }

private:
    core::Generation m_wanted;
    core::Generation m_inForce;
};

} // namespace jackdawlead::decisions
