#include "decisions/adapterplanner.h"
#include "decisions/contentshistory.h"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

const core::TimePoint usable {std::chrono::seconds(1)};
const core::ModelId model {"base"};

fleet::AdapterKey keyOf(int number)
{
    return {model, core::AdapterId("a" + std::to_string(number))};
}

core::EndpointId idOf(int number)
{
    return core::EndpointId("e" + std::to_string(number));
}

/// Contents of an endpoint with 18 adapters, numbered from `first`.
EndpointContents contentsFrom(int first)
{
    constexpr int adapters = 18;
    EndpointContents contents;
    contents.models[model] = usable;
    for (int number = first; number < first + adapters; ++number)
        contents.adapters[keyOf(number)] = {1, usable};
    return contents;
}

void applyChanges(PlacementView &view, const std::map<core::EndpointId, ContentsChange> &changes)
{
    for (const auto &[id, change] : changes)
        cr_assert(view.applyUpdate(id, change), "%s", id.value().c_str());
}

} // namespace

// Guards against sending all adapters of an endpoint to 85 daemons because one of them changed: the
// views took 2 MB a second between regions and the CPU share of the coordinator.
Test(contentshistory, oneOrderIsSentAsOneAdapter)
{
    ContentsHistory history;
    for (int number = 0; number < 60; ++number)
        history.update(idOf(number), contentsFrom(0), static_cast<std::uint64_t>(number) + 1);
    EndpointContents changed = contentsFrom(0);
    changed.adapters.erase(keyOf(3));
    changed.adapters[keyOf(99)] = {1, usable};
    history.update(idOf(7), changed, 61);
    const auto changes = history.changesSince(60);
    cr_assert_eq(changes.size(), 1U);
    const ContentsChange &change = changes.at(idOf(7));
    cr_assert_not(change.isSnapshot);
    cr_assert_eq(change.contents.adapters.size(), 1U);
    cr_assert(change.contents.adapters.contains(keyOf(99)));
    cr_assert_eq(change.removals.size(), 1U);
    cr_assert(history.changesSince(61).empty());
}

// Guards against a daemon that sends requests to adapters which were removed, or does not find
// present ones, because it receives updates at other times than the changes occurred.
Test(contentshistory, infrequentUpdatesGiveCompleteView)
{
    constexpr unsigned seed = 11;
    std::mt19937 random(seed);
    ContentsHistory history;
    std::map<core::EndpointId, EndpointContents> expected;
    PlacementView frequentView;
    PlacementView infrequentView;
    std::uint64_t frequentRevision = 0;
    std::uint64_t infrequentRevision = 0;
    std::uint64_t revision = 0;
    for (int step = 0; step < 4000; ++step) {
        const core::EndpointId id = idOf(static_cast<int>(random() % 5));
        EndpointContents &contents = expected[id];
        if (random() % 200 == 0) {
            contents.startTime += std::chrono::milliseconds(1);
            contents.adapters.clear();
        }
        const fleet::AdapterKey key = keyOf(static_cast<int>(random() % 40));
        if (random() % 2 == 0)
            contents.adapters[key] = {static_cast<int>(random() % 3), usable};
        else
            contents.adapters.erase(key);
        history.update(id, contents, ++revision);
        if (random() % 3 == 0) {
            applyChanges(frequentView, history.changesSince(frequentRevision));
            frequentRevision = revision;
        }
        if (random() % 300 == 0) {
            applyChanges(infrequentView, history.changesSince(infrequentRevision));
            infrequentRevision = revision;
        }
    }
    applyChanges(frequentView, history.changesSince(frequentRevision));
    applyChanges(infrequentView, history.changesSince(infrequentRevision));
    for (const auto &[id, contents] : expected) {
        for (int number = 0; number < 40; ++number) {
            constexpr int none = -1;
            const auto held = contents.adapters.find(keyOf(number));
            const int version = held == contents.adapters.end() ? none : held->second.version;
            cr_assert_eq(frequentView.heldVersion(id, keyOf(number), usable).value_or(none),
                         version, "seed %u", seed);
            cr_assert_eq(infrequentView.heldVersion(id, keyOf(number), usable).value_or(none),
                         version, "seed %u", seed);
        }
    }
}

// Guards against an adapter that a daemon removed from its view after a placement miss and never
// uses again, although the report of the endpoint lists it.
Test(contentshistory, missedAdapterIsResent)
{
    ContentsHistory history;
    PlacementView view;
    history.update(idOf(1), contentsFrom(0), 1);
    applyChanges(view, history.changesSince(0));
    view.recordPlacementMiss(idOf(1), keyOf(4));
    cr_assert_not(view.heldVersion(idOf(1), keyOf(4), usable).has_value());
    history.scheduleResend(idOf(1), keyOf(4));
    history.update(idOf(1), contentsFrom(0), 2);
    applyChanges(view, history.changesSince(1));
    cr_assert(view.heldVersion(idOf(1), keyOf(4), usable).has_value());
}

// Guards against the same failure for a model.
Test(contentshistory, missedModelIsResent)
{
    ContentsHistory history;
    PlacementView view;
    history.update(idOf(1), contentsFrom(0), 1);
    applyChanges(view, history.changesSince(0));
    const fleet::AdapterKey base {model, core::AdapterId()};
    view.recordPlacementMiss(idOf(1), base);
    cr_assert_not(view.holdsModel(idOf(1), model, usable));
    history.scheduleResend(idOf(1), base);
    history.update(idOf(1), contentsFrom(0), 2);
    applyChanges(view, history.changesSince(1));
    cr_assert(view.holdsModel(idOf(1), model, usable));
}

// Guards against sending the contents of endpoints whose reports only confirm the known state to
// all daemons: such updates were three times as many as those by orders on a deployment of 195
// daemons.
Test(contentshistory, confirmedContentsAreNotResent)
{
    ContentsHistory history;
    history.update(idOf(1), contentsFrom(0), 1);
    history.update(idOf(1), contentsFrom(0), 2);
    cr_assert_eq(history.revisionOf(idOf(1)), 2U);
    cr_assert(history.changesSince(1).empty());
    history.update(idOf(1), contentsFrom(1), 3);
    cr_assert_eq(history.changesSince(1).size(), 1U);
    cr_assert_eq(history.changesSince(0).at(idOf(1)).contents.adapters.size(), 18U);
}

// Guards against reports that give everything an endpoint holds a new time of use, which counted as
// a change of every adapter.
Test(contentshistory, confirmingReportChangesNothing)
{
    AdapterPlanner planner {AdapterPlannerParameters {}};
    fleet::Endpoint endpoint;
    endpoint.id = idOf(1);
    endpoint.slots = 12;
    fleet::EngineSpec engine;
    engine.adapterSlots = 11;
    engine.weightsMegabytes = 75000;
    engine.models.push_back({model, 72700, 66, std::chrono::seconds(2)});
    planner.setEndpoint(endpoint, core::RegionId("near"), engine);
    fleet::EndpointReport report;
    report.models.push_back({model, 1, {"a1@1", "a2@3"}});
    const core::TimePoint first {std::chrono::seconds(100)};
    planner.applyReport(endpoint.id, report, first);
    planner.applyReport(endpoint.id, report, first + std::chrono::seconds(4));
    const EndpointState &state = planner.endpoints().at(endpoint.id);
    cr_assert_eq(state.adapters.size(), 2U);
    for (const auto &[key, placed] : state.adapters)
        cr_assert(placed.usableAt == first);
    cr_assert(state.models.at(model) == first);
}

// Guards against a delta that is applied to the contents of another incarnation, or to none.
Test(contentshistory, deltaWithoutBaseIsRejected)
{
    ContentsHistory history;
    history.update(idOf(1), contentsFrom(0), 1);
    history.update(idOf(1), contentsFrom(1), 2);
    PlacementView view;
    cr_assert_not(view.applyUpdate(idOf(1), history.changesSince(1).at(idOf(1))));
    cr_assert(view.applyUpdate(idOf(1), history.changesSince(0).at(idOf(1))));
    cr_assert(view.heldVersion(idOf(1), keyOf(18), usable).has_value());
}
