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

/// Contents of an endpoint with 18 adapters from `first` on.
EndpointContents contentsFrom(int first)
{
    constexpr int adapters = 18;
    EndpointContents contents;
    contents.models[model] = usable;
    for (int number = first; number < first + adapters; ++number)
        contents.adapters[keyOf(number)] = {1, usable};
    return contents;
}

void tellAll(PlacementView &view, const std::map<core::EndpointId, ContentsChange> &changes)
{
    for (const auto &[id, change] : changes)
        cr_assert(view.applyUpdate(id, change), "%s", id.value().c_str());
}

} // namespace

// Guards against all adapters of an endpoint being told to 85 daemons because one of them changed:
// the views took 2 MB a second between regions and the coordinator's processor share.
Test(contentshistory, oneOrderIsToldAsOneAdapter)
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

// Guards against a daemon that sends to adapters which are gone, or does not find those that are
// there, because changes were told in other portions than they were made.
Test(contentshistory, daemonsThatAreToldAtTimesKnowEverything)
{
    constexpr unsigned seed = 11;
    std::mt19937 random(seed);
    ContentsHistory history;
    std::map<core::EndpointId, EndpointContents> truth;
    PlacementView often;
    PlacementView seldom;
    std::uint64_t knownOften = 0;
    std::uint64_t knownSeldom = 0;
    std::uint64_t revision = 0;
    for (int step = 0; step < 4000; ++step) {
        const core::EndpointId id = idOf(static_cast<int>(random() % 5));
        EndpointContents &contents = truth[id];
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
            tellAll(often, history.changesSince(knownOften));
            knownOften = revision;
        }
        if (random() % 300 == 0) {
            tellAll(seldom, history.changesSince(knownSeldom));
            knownSeldom = revision;
        }
    }
    tellAll(often, history.changesSince(knownOften));
    tellAll(seldom, history.changesSince(knownSeldom));
    for (const auto &[id, contents] : truth) {
        for (int number = 0; number < 40; ++number) {
            constexpr int none = -1;
            const auto held = contents.adapters.find(keyOf(number));
            const int version = held == contents.adapters.end() ? none : held->second.version;
            cr_assert_eq(often.heldVersion(id, keyOf(number), usable).value_or(none), version,
                         "seed %u", seed);
            cr_assert_eq(seldom.heldVersion(id, keyOf(number), usable).value_or(none), version,
                         "seed %u", seed);
        }
    }
}

// Guards against an adapter that a daemon dropped after an endpoint's denial, and never uses
// there again although the endpoint's report says that it is held.
Test(contentshistory, deniedAdapterIsToldAgain)
{
    ContentsHistory history;
    PlacementView view;
    history.update(idOf(1), contentsFrom(0), 1);
    tellAll(view, history.changesSince(0));
    view.recordPlacementMiss(idOf(1), keyOf(4));
    cr_assert_not(view.heldVersion(idOf(1), keyOf(4), usable).has_value());
    history.scheduleResend(idOf(1), keyOf(4));
    history.update(idOf(1), contentsFrom(0), 2);
    tellAll(view, history.changesSince(1));
    cr_assert(view.heldVersion(idOf(1), keyOf(4), usable).has_value());
}

// Guards against the same for a model.
Test(contentshistory, deniedModelIsToldAgain)
{
    ContentsHistory history;
    PlacementView view;
    history.update(idOf(1), contentsFrom(0), 1);
    tellAll(view, history.changesSince(0));
    const fleet::AdapterKey base {model, core::AdapterId()};
    view.recordPlacementMiss(idOf(1), base);
    cr_assert_not(view.holdsModel(idOf(1), model, usable));
    history.scheduleResend(idOf(1), base);
    history.update(idOf(1), contentsFrom(0), 2);
    tellAll(view, history.changesSince(1));
    cr_assert(view.holdsModel(idOf(1), model, usable));
}

// Guards against endpoints whose reports only confirm what is known being told to all daemons:
// such changes were three times as many as those by orders on a deployment of 195 daemons.
Test(contentshistory, confirmedContentsAreNotToldAgain)
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

// Guards against each report of an endpoint giving all that it holds a new time from which it can
// be used, which counted as a change of every adapter.
Test(contentshistory, reportThatConfirmsAnEndpointChangesNothing)
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

// Guards against a change that is added to contents of another life, or to none.
Test(contentshistory, changeWithoutItsBasisIsNotTaken)
{
    ContentsHistory history;
    history.update(idOf(1), contentsFrom(0), 1);
    history.update(idOf(1), contentsFrom(1), 2);
    PlacementView view;
    cr_assert_not(view.applyUpdate(idOf(1), history.changesSince(1).at(idOf(1))));
    cr_assert(view.applyUpdate(idOf(1), history.changesSince(0).at(idOf(1))));
    cr_assert(view.heldVersion(idOf(1), keyOf(18), usable).has_value());
}
