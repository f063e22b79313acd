#include "gateway/eventfilter.h"

#include <criterion/criterion.h>

using namespace jackdawlead::gateway;

namespace {

std::string eventOf(int id)
{
    return "id: " + std::to_string(id) + "\ndata: text\n\n";
}

} // namespace

// Guards against a torn event that reaches the caller before a later run sends it whole.
Test(eventfilter, passesOnlyWholeEvents)
{
    EventFilter filter;
    std::string output;
    const std::string event = eventOf(1);
    filter.feed(event.substr(0, 5), output);
    cr_assert(output.empty());
    filter.feed(event.substr(5) + "id: 2", output);
    cr_assert_eq(output, event);
    cr_assert_eq(filter.incompleteEvent(), "id: 2");
    cr_assert_eq(filter.lastId(), 1U);
}

// Guards against an event that comes twice or out of order.
Test(eventfilter, idsRise)
{
    EventFilter filter;
    std::string output;
    cr_assert_eq(filter.feed(eventOf(1) + eventOf(2), output), EventFilter::Result::Valid);
    cr_assert_eq(filter.feed(eventOf(2), output), EventFilter::Result::Broken);
    cr_assert_eq(output, eventOf(1) + eventOf(2));
}

// Guards against a later run that repeats events or leaves some out.
Test(eventfilter, laterRunGoesOnExactly)
{
    std::string output;
    EventFilter exact;
    exact.feed(eventOf(1) + eventOf(2) + "id: 3\nda", output);
    exact.startNextRun();
    cr_assert_eq(exact.feed(eventOf(3), output), EventFilter::Result::Valid);
    cr_assert_eq(output, eventOf(1) + eventOf(2) + eventOf(3));
    EventFilter skipping;
    skipping.feed(eventOf(1), output);
    skipping.startNextRun();
    cr_assert_eq(skipping.feed(eventOf(3), output), EventFilter::Result::Broken);
    EventFilter repeating;
    repeating.feed(eventOf(1), output);
    repeating.startNextRun();
    cr_assert_eq(repeating.feed(eventOf(1), output), EventFilter::Result::Broken);
}
