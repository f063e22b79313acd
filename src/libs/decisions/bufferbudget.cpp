#include "decisions/bufferbudget.h"

namespace jackdawlead::decisions {

namespace {

constexpr double largePart = 0.75; ///< Of the budget, for messages that are not small.

} // namespace

std::size_t BufferBudget::largeLimit() const
{
    return static_cast<std::size_t>(largePart * static_cast<double>(m_limit));
}

void BufferBudget::Share::resize(std::size_t size)
{
    m_budget.m_used += size;
    m_budget.m_used -= m_size;
    m_size = size;
}

bool BufferBudget::Share::tryResize(std::size_t size)
{
    const std::size_t others = m_budget.m_used - m_size;
    const std::size_t limit = size > smallMessageBytes ? m_budget.largeLimit() : m_budget.m_limit;
    if (size > m_size && others + size > limit)
        return false;
    resize(size);
    return true;
}

} // namespace jackdawlead::decisions
