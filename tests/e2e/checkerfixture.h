#pragma once

#include "soak/checker.h"
#include "soak/expectedbytes.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace jackdawlead::soak {

inline const core::EndpointId endpoint("e-first");

/// A checker with one process and routes of the configuration versions 1 and 2: `/get/` is in both,
/// `/old/` only in the first one and `/new/` only in the second one.
struct CheckerFixture
{
    ProcessIncarnation incarnation {1};
    core::TimePoint now {std::chrono::seconds(100)};
    Checker checker {Bounds {}};

    CheckerFixture()
    {
        checker.processStarted(incarnation, now);
        checker.configurationWritten(ConfigurationVersion(1), {"/get/", "/old/"}, {}, now);
        now += std::chrono::seconds(20);
        checker.configurationWritten(ConfigurationVersion(2), {"/new/"}, {"/old/"}, now);
    }

    core::RequestId send(const std::string &id, RequestKind kind, const std::string &route)
    {
        checker.requestSent({core::RequestId(id), kind, route, incarnation, std::chrono::seconds(4),
                             std::chrono::seconds(4)},
                            now);
        return core::RequestId(id);
    }
    void run(const core::RequestId &id)
    {
        checker.requestReceived(id, endpoint, std::chrono::seconds(4), now);
        checker.requestRan(id, endpoint);
    }
    void succeed(const core::RequestId &id, const std::string &body)
    {
        checker.requestEnded(id, {200, id.value(), expectedStamp(id, 200), body, true, true}, now);
    }
    void fail(const core::RequestId &id, int status)
    {
        checker.requestEnded(id, {status, {}, {}, {}, true, true}, now);
    }
    /// The connection ends without an answer.
    void endWithoutAnswer(const core::RequestId &id) { checker.requestEnded(id, {}, now); }

    void expectNoViolation() const
    {
        for (const Violation &violation : checker.violations())
            cr_assert(false, "%s", violation.description.c_str());
    }
    void expectOnlyViolationsOf(Check check) const { expectViolationsOf({check}); }
    /// Each of the checks has found a violation, and no other one has.
    void expectViolationsOf(const std::set<Check> &checks) const
    {
        std::set<Check> found;
        for (const Violation &violation : checker.violations()) {
            cr_assert(checks.contains(violation.check), "%s", violation.description.c_str());
            found.insert(violation.check);
        }
        cr_assert_eq(found.size(), checks.size());
    }
    /// The stream ends incomplete after its first two events.
    void cutStream(const core::RequestId &id)
    {
        checker.requestEnded(
            id, {200, id.value(), expectedStamp(id, 200), expectedEvents(id, 1, 2), false, true},
            now);
    }
};

} // namespace jackdawlead::soak
