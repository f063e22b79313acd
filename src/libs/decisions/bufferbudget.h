#pragma once

#include <cstddef>

namespace jackdawlead::decisions {

/// Bounds the bytes that a process buffers for the messages of all its connections. A limit for
/// each message is no limit for the process: a hundred answers of 4 MB exceed its memory. Messages
/// over smallMessageBytes share a part of the budget only, so that they don't keep out the others.
/// Thread safety: one thread at a time.
class BufferBudget
{
public:
    static constexpr std::size_t smallMessageBytes = 64UL * 1024;

    /// The bytes that one message or connection holds. Precondition: the budget outlives it.
    class Share
    {
    public:
        explicit Share(BufferBudget &budget)
            : m_budget(budget)
        { }
        ~Share() { resize(0); }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        std::size_t size() const { return m_size; }
        /// Records that `size` bytes are held now, whether or not the budget allows them.
        void resize(std::size_t size);
        /// The same, but changes nothing and returns false if the budget doesn't allow them.
        bool tryResize(std::size_t size);

    private:
        BufferBudget &m_budget;
        std::size_t m_size = 0;
    };

    /// `limit` is the bytes that all shares may hold.
    explicit BufferBudget(std::size_t limit)
        : m_limit(limit)
    { }
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    std::size_t used() const { return m_used; }
    /// Whether large messages must not grow now.
    bool isLargePartUsed() const { return m_used >= largeLimit(); }

private:
    std::size_t largeLimit() const;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace jackdawlead::decisions
