#pragma once

#include "decisions/quota/quotatypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace jackdawlead::decisions::quota {

/// The daemons that hold a share of each quota for the time without a coordinator, on the
/// coordinator: which of them are in contact, and what it must withhold for the others. The shares
/// never add up to more than one. Thread safety: one thread at a time.
class QuotaHolders
{
public:
    /// A holder as it is kept for a successor.
    struct Record
    {
        double share = 0;
        fleet::StartTime incarnation {};

        bool operator==(const Record &) const = default;
    };
    using Records = std::map<core::HostId, Record>;

    /// Begins a term with the holders of the predecessor, none of which is in contact.
    void reset(const Records &records, core::FencingToken token, core::TimePoint now);
    /// Goes on with the present term after a time without answers, in which daemons may have begun
    /// to use their shares: they are in contact again once they confirm an answer of after it.
    void resume();
    /// Applies a report: the daemon received the answer that it names. Returns whether the totals
    /// of the report count since an answer of this coordinator to this incarnation.
    bool recordReport(const core::HostId &daemon, const QuotaReport &report, core::TimePoint now);
    /// Chooses the share and the number of the next answer to the daemon, which is sent now.
    /// Precondition: recordReport() was called for the daemon.
    QuotaAnswer makeAnswer(const core::HostId &daemon, core::TimePoint now);
    /// The sum of the shares of the holders that are not in contact.
    double withheld(core::TimePoint now) const;
    bool isInContact(const core::HostId &daemon, core::TimePoint now) const;
    void removeExpired(core::TimePoint now);
    /// The holders to be kept for a successor. A share is recorded 3 s before the daemon is told of
    /// it, so that a record written in this time names every share that is in use.
    Records records() const;

private:
    /// An answer that the daemon may have received, and the share that it told.
    struct Sent
    {
        std::uint64_t number = 0;
        core::TimePoint at;
        core::TimePoint lastAt; ///< Later than `at` if several answers are joined.
        double share = 0;
    };
    struct Holder
    {
        fleet::StartTime incarnation {};
        std::deque<Sent> sent; ///< From the last confirmed answer on, the earliest first.
        double share = 0;      ///< The share told last.
        double planned = 0;    ///< The share to be told; it is recorded before.
        core::TimePoint plannedAt;
        std::optional<core::TimePoint> contactBegin; ///< When the last confirmed answer was sent.
        std::uint64_t lastConfirmed = 0;
    };

    static bool isInContact(const Holder &holder, core::TimePoint now);
    static double largestShare(const Holder &holder, core::TimePoint now);
    void confirm(Holder &holder, std::uint64_t number) const;
    void planShare(const core::HostId &daemon, Holder &holder, core::TimePoint now) const;

    core::FencingToken m_token;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_resumedAfter = 0; ///< Answers up to this one say nothing about the contact.
    std::map<core::HostId, Holder> m_holders;
};

} // namespace jackdawlead::decisions::quota
