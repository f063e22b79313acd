#include "gateway/customers/quotacoordinator.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::gateway::customers;
using decisions::quota::QuotaAnswer;
using decisions::quota::QuotaReport;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::CustomerId customer {"c1"};
const core::HostId host {"h1"};
constexpr core::FencingToken firstToken {5};
constexpr core::FencingToken secondToken {6};
constexpr core::Duration reportPeriod = milliseconds(250);

fleet::Configuration configurationWith(const std::optional<fleet::Quota> &quota)
{
    fleet::Configuration configuration;
    fleet::Customer entry;
    entry.name = customer;
    entry.quota = quota;
    configuration.customers = {entry};
    return configuration;
}

/// A coordinator of one daemon, in virtual time.
struct Fixture
{
    QuotaCoordinator quotas;
    core::TimePoint now {seconds(100)};
    QuotaReport report {milliseconds(1), {}, 0, 0, {}};

    explicit Fixture(const std::optional<fleet::Quota> &quota = fleet::Quota {1000, 1000})
    {
        quotas.applyConfiguration(configurationWith(quota), {}, now);
        quotas.beginTerm(firstToken, now);
    }

    QuotaAnswer exchange()
    {
        QuotaAnswer answer = quotas.answer(host, report, now);
        report.token = answer.token;
        report.lastAnswer = answer.number;
        report.share = answer.share;
        return answer;
    }
    void exchangeFor(core::Duration time)
    {
        for (const core::TimePoint end = now + time; now < end; now += reportPeriod)
            exchange();
    }
};

} // namespace

// Guards against daemons that never get a share, and so serve nothing without a coordinator, and
// against a successor that doesn't know of the share.
Test(quotacoordinator, daemonGetsAShareThatTheSuccessorKnows)
{
    Fixture fixture;
    fixture.exchangeFor(seconds(10));
    cr_expect_gt(fixture.report.share, 0.5);
    const auto record = fixture.quotas.encodeHolders(firstToken);
    cr_assert(record.contains(host.value()), "%s", record.dump().c_str());
    Fixture successor;
    successor.quotas.applyHolders(record);
    // Until its own term it passes on what it found.
    cr_expect(successor.quotas.encodeHolders(secondToken) == record);
    successor.quotas.beginTerm(secondToken, successor.now);
    cr_expect(successor.quotas.encodeHolders(secondToken) == record);
}

// Guards against 429 for customers far below their limits after each change of the coordinator: its
// buckets begin empty.
Test(quotacoordinator, emptyBucketOfANewTermIsNotTakenForUse)
{
    Fixture fixture;
    fixture.report.uses[customer] = {.waiting = 900, .smallestWaiting = 900};
    cr_expect_not(fixture.exchange().grants.at(customer).isExhausted);
    fixture.now += seconds(1);
    cr_expect_eq(fixture.exchange().grants.at(customer).tokens, 900);
    // Later the answer says what is true: the bucket does not hold it.
    fixture.now += milliseconds(600);
    fixture.report.uses[customer].spentTotal = 900;
    cr_expect(fixture.exchange().grants.at(customer).isExhausted);
}

// Guards against daemons that ignore all answers for seconds, because their numbers begin anew: a
// lease that ended while its renewal was on the way goes on with the same token.
Test(quotacoordinator, numbersGoOnWithTheSameToken)
{
    Fixture fixture;
    fixture.exchangeFor(seconds(5));
    const std::uint64_t last = fixture.report.lastAnswer;
    fixture.quotas.beginTerm(firstToken, fixture.now);
    cr_expect_gt(fixture.exchange().number, last);
}

// Guards against further bytes in the lease's record where no customer has a quota.
Test(quotacoordinator, nothingIsRecordedWithoutQuotas)
{
    Fixture fixture {std::nullopt};
    cr_expect(fixture.quotas.encodeHolders(firstToken).is_null());
    // A daemon with a newer configuration gets an answer without its customer.
    fixture.report.uses[customer] = {.waiting = 900, .smallestWaiting = 900};
    cr_expect(fixture.exchange().grants.empty());
}
