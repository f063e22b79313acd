#include "decisions/quarantine.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace jackdawlead;
using namespace std::chrono_literals;
using decisions::CrashId;
using decisions::Fingerprint;
using decisions::Quarantine;
using decisions::QuarantineState;

namespace {

const Fingerprint request("request");
constexpr core::TimePoint start(1h);

} // namespace

// Guards against a request that crashes one endpoint after another.
Test(quarantine, twoCrashesQuarantineRequestForTenMinutes)
{
    Quarantine quarantine({});
    cr_expect(quarantine.mayStart(request, start));
    cr_expect(quarantine.recordCrash(request, CrashId("a"), start));
    cr_expect(quarantine.state(request, start) == QuarantineState::Suspect);
    cr_expect_not(quarantine.recordCrash(request, CrashId("a"), start + 1s),
                  "the same crash, received again");
    cr_expect(quarantine.state(request, start + 1s) == QuarantineState::Suspect);
    cr_expect(quarantine.recordCrash(request, CrashId("b"), start + 2s));
    cr_expect(quarantine.state(request, start + 2s) == QuarantineState::Quarantined);
    cr_expect_not(quarantine.mayStart(request, start + 2s));
    cr_expect_eq(quarantine.remaining(request, start + 3s).count(),
                 core::Duration(10min - 1s).count());
    cr_expect_not(quarantine.mayStart(request, start + 2s + 10min - 1us));
    cr_expect(quarantine.mayStart(request, start + 2s + 10min));
}

// Guards against a suspect request that crashes several endpoints at once.
Test(quarantine, suspectRunsOnlyAlone)
{
    Quarantine quarantine({});
    quarantine.recordStart(request);
    cr_expect(quarantine.mayStart(request, start), "a request without a crash may run twice");
    quarantine.recordCrash(request, CrashId("a"), start);
    cr_expect_not(quarantine.mayStart(request, start));
    quarantine.recordEnd(request);
    cr_expect(quarantine.mayStart(request, start));
    cr_expect(quarantine.mayStart(Fingerprint("other"), start));
}

// Guards against a crash that counts twice after its fact returned by gossip, and malformed facts.
Test(quarantine, receivedFactsAreMerged)
{
    Quarantine first({});
    Quarantine second({});
    first.recordCrash(request, CrashId("a"), start);
    second.recordCrash(request, CrashId("b"), start);
    const auto fact = Quarantine::toFact(request, CrashId("a"));
    cr_expect_not(first.mergeFact(fact, start), "its own crash");
    cr_expect(second.mergeFact(fact, start));
    cr_expect(second.state(request, start) == QuarantineState::Quarantined);
    cr_expect(first.state(request, start) == QuarantineState::Suspect);
    for (const char *subject : {"", "/", "x", "x/", "/x"})
        cr_expect_not(first.mergeFact({decisions::FactKind::Quarantine,
                                       decisions::FactSubject(subject),
                                       decisions::FactVersion(1),
                                       {}},
                                      start));
}

// Guards against different requests with one fingerprint.
Test(quarantine, differentRequestsHaveDifferentFingerprints)
{
    const core::AdapterVersion adapter {core::AdapterId("a"), "1"};
    const core::AdapterVersion next {core::AdapterId("a"), "2"};
    const std::set<Fingerprint> all {
        decisions::fingerprintOf(core::CustomerId("c"), adapter, "body"),
        decisions::fingerprintOf(core::CustomerId("d"), adapter, "body"),
        decisions::fingerprintOf(core::CustomerId("c"), next, "body"),
        decisions::fingerprintOf(core::CustomerId("c"), adapter, "other")};
    cr_expect_eq(all.size(), 4UL);
    cr_expect(decisions::fingerprintOf(core::CustomerId("c"), adapter, "body")
              == decisions::fingerprintOf(core::CustomerId("c"), adapter, "body"));
}

// Guards against unbounded memory, and against an order of events that gives another state than the
// number of distinct crashes in the last ten minutes.
Test(quarantine, randomEventsMatchReferenceModel)
{
    constexpr unsigned seed = 7;
    std::printf("seed %u\n", seed);
    std::mt19937 random(seed);
    Quarantine quarantine({.duration = 10min, .maxEntries = 64});
    std::map<Fingerprint, std::pair<std::set<std::string>, core::TimePoint>> model;
    core::TimePoint now = start;
    for (int step = 0; step < 50'000; ++step) {
        now += std::chrono::milliseconds(random() % 20'000);
        const Fingerprint fingerprint(std::to_string(random() % 32));
        const std::string crash = std::to_string(step);
        auto &[crashes, last] = model[fingerprint];
        if (now >= last + 10min)
            crashes.clear();
        if (random() % 4 == 0) {
            quarantine.recordCrash(fingerprint, CrashId(crash), now);
            crashes.insert(crash);
            last = now;
        }
        const QuarantineState expected = crashes.empty() ? QuarantineState::Clear
            : crashes.size() == 1                        ? QuarantineState::Suspect
                                                         : QuarantineState::Quarantined;
        cr_assert(quarantine.state(fingerprint, now) == expected, "step %d", step);
    }
    for (int index = 0; index < 1000; ++index)
        quarantine.recordCrash(Fingerprint("x" + std::to_string(index)), CrashId("d"), now);
    cr_expect_eq(quarantine.size(), 64UL);
}
