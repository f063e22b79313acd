#pragma once

#include "decisions/quota/quotatypes.h"

#include <cstdint>
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
    Records records() const;
};

} // namespace jackdawlead::decisions::quota
