#include "decisions/quarantine.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace jackdawlead;
using namespace std::chrono_literals;
using decisions::DeathId;
using decisions::Fingerprint;
using decisions::Quarantine;
using decisions::Standing;

namespace {

const Fingerprint request("request");
constexpr core::TimePoint start(1h);

} // namespace

// Guards against a request that crashes one endpoint after the other.
Test(quarantine, twoDeathsStopARequestForTenMinutes)
{
    Quarantine quarantine({});
    cr_expect(quarantine.mayStart(request, start));
    cr_expect(quarantine.died(request, DeathId("a"), start));
    cr_expect(quarantine.standing(request, start) == Standing::Suspect);
    cr_expect_not(quarantine.died(request, DeathId("a"), start + 1s), "the same death, seen again");
    cr_expect(quarantine.standing(request, start + 1s) == Standing::Suspect);
    cr_expect(quarantine.died(request, DeathId("b"), start + 2s));
    cr_expect(quarantine.standing(request, start + 2s) == Standing::Quarantined);
    cr_expect_not(quarantine.mayStart(request, start + 2s));
    cr_expect_eq(quarantine.remaining(request, start + 3s).count(),
                 core::Duration(10min - 1s).count());
    cr_expect_not(quarantine.mayStart(request, start + 2s + 10min - 1us));
    cr_expect(quarantine.mayStart(request, start + 2s + 10min));
}

// Guards against a suspect that takes down several endpoints at once.
Test(quarantine, suspectRunsOnlyAlone)
{
    Quarantine quarantine({});
    quarantine.started(request);
    cr_expect(quarantine.mayStart(request, start), "a request without a death may run twice");
    quarantine.died(request, DeathId("a"), start);
    cr_expect_not(quarantine.mayStart(request, start));
    quarantine.ended(request);
    cr_expect(quarantine.mayStart(request, start));
    cr_expect(quarantine.mayStart(Fingerprint("other"), start));
}

// Guards against one death that counts twice after it came back by gossip, and faulty facts.
Test(quarantine, factsMerge)
{
    Quarantine first({});
    Quarantine second({});
    first.died(request, DeathId("a"), start);
    second.died(request, DeathId("b"), start);
    const auto fact = Quarantine::factOf(request, DeathId("a"));
    cr_expect_not(first.factSeen(fact, start), "its own death");
    cr_expect(second.factSeen(fact, start));
    cr_expect(second.standing(request, start) == Standing::Quarantined);
    cr_expect(first.standing(request, start) == Standing::Suspect);
    for (const char *subject : {"", "/", "x", "x/", "/x"})
        cr_expect_not(first.factSeen({decisions::FactKind::Quarantine,
                                      decisions::FactSubject(subject),
                                      decisions::FactVersion(1),
                                      {}},
                                     start));
}

// Guards against different requests with one fingerprint.
Test(quarantine, fingerprintsDiffer)
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

// Guards against unbounded memory, and against a model in which any order of events gives another
// standing than the count of distinct deaths in the last ten minutes.
Test(quarantine, randomEventsAgreeWithCount)
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
        const std::string death = std::to_string(step);
        auto &[deaths, last] = model[fingerprint];
        if (now >= last + 10min)
            deaths.clear();
        if (random() % 4 == 0) {
            quarantine.died(fingerprint, DeathId(death), now);
            deaths.insert(death);
            last = now;
        }
        const Standing expected = deaths.empty() ? Standing::Clear
            : deaths.size() == 1                 ? Standing::Suspect
                                                 : Standing::Quarantined;
        cr_assert(quarantine.standing(fingerprint, now) == expected, "step %d", step);
    }
    for (int index = 0; index < 1000; ++index)
        quarantine.died(Fingerprint("x" + std::to_string(index)), DeathId("d"), now);
    cr_expect_eq(quarantine.size(), 64UL);
}
