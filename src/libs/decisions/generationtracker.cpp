#include "decisions/generationtracker.h"

namespace jackdawlead::decisions {

bool GenerationTracker::advanceTarget(core::Generation seen)
{
    if (seen <= m_wanted)
        return false;
    m_wanted = seen;
    return true;
}

bool GenerationTracker::apply(core::Generation complete)
{
    if (complete <= m_inForce)
        return false;
    m_inForce = complete;
    return true;
}

} // namespace jackdawlead::decisions
