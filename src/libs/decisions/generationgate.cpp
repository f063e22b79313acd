#include "decisions/generationgate.h"

namespace jackdawlead::decisions {

bool GenerationGate::offer(core::Generation seen)
{
    if (seen <= m_wanted)
        return false;
    m_wanted = seen;
    return true;
}

bool GenerationGate::apply(core::Generation complete)
{
    if (complete <= m_inForce)
        return false;
    m_inForce = complete;
    return true;
}

} // namespace jackdawlead::decisions
