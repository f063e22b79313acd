#include "decisions/generationtracker.h"

namespace jackdawlead::decisions {

bool GenerationTracker::advanceTarget(core::Generation generation)
{
    if (generation <= m_target)
        return false;
    m_target = generation;
    return true;
}

bool GenerationTracker::apply(core::Generation generation)
{
    if (generation <= m_active)
        return false;
    m_active = generation;
    return true;
}

} // namespace jackdawlead::decisions
