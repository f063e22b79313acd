#include "gateway/eventfilter.h"

#include <criterion/criterion.h>

using namespace jackdawlead::gateway;

namespace {

std::string eventWithId(int id)
{
    return "id: " + std::to_string(id) + "\ndata: text\n\n";
}

} // namespace

// Guards against forwarding a truncated event before a later run sends it completely.
Test(eventfilter, incompleteEventIsHeldBack)
{
    EventFilter filter;
    std::string output;
    const std::string event = eventWithId(1);
    filter.feed(event.substr(0, 5), output);
    cr_assert(output.empty());
    filter.feed(event.substr(5) + "id: 2", output);
    cr_assert_eq(output, event);
    cr_assert_eq(filter.incompleteEvent(), "id: 2");
    cr_assert_eq(filter.lastId(), 1U);
}

// Guards against duplicate events and events out of order.
Test(eventfilter, repeatedIdIsBroken)
{
    EventFilter filter;
    std::string output;
    cr_assert_eq(filter.feed(eventWithId(1) + eventWithId(2), output), EventFilter::Result::Valid);
    cr_assert_eq(filter.feed(eventWithId(2), output), EventFilter::Result::Broken);
    cr_assert_eq(output, eventWithId(1) + eventWithId(2));
}

// Guards against a later run that repeats or omits events.
Test(eventfilter, laterRunMustStartWithTheNextId)
{
    std::string output;
    EventFilter exact;
    exact.feed(eventWithId(1) + eventWithId(2) + "id: 3\nda", output);
    exact.startNextRun();
    cr_assert_eq(exact.feed(eventWithId(3), output), EventFilter::Result::Valid);
    cr_assert_eq(output, eventWithId(1) + eventWithId(2) + eventWithId(3));
    EventFilter skipping;
    skipping.feed(eventWithId(1), output);
    skipping.startNextRun();
    cr_assert_eq(skipping.feed(eventWithId(3), output), EventFilter::Result::Broken);
    EventFilter repeating;
    repeating.feed(eventWithId(1), output);
    repeating.startNextRun();
    cr_assert_eq(repeating.feed(eventWithId(1), output), EventFilter::Result::Broken);
}
