#pragma once

#include "core/ids.h"

namespace jackdawlead::decisions {

/// Tracks the generation of the configuration to fetch and the active one. Both only increase, in
/// whatever order generations are announced and their parts arrive. Thread safety: one thread at a
/// time.
class GenerationTracker
{
public:
    /// Makes `generation` the target if it is newer; returns whether it is to be fetched.
    bool advanceTarget(core::Generation generation);
    /// Makes `generation` the active one if it is newer; returns whether it is. Precondition: all
    /// parts of the generation are complete.
    bool apply(core::Generation generation);

    core::Generation targetGeneration() const { return m_target; }
    core::Generation activeGeneration() const { return m_active; }

private:
    core::Generation m_target;
    core::Generation m_active;
};

} // namespace jackdawlead::decisions
