#include "gateway/peermessages.h"
#include "rpc/rpccodec.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::gateway;

namespace {

const core::TimePoint now {std::chrono::seconds(100)};

core::EndpointId endpointId(int index)
{
    return core::EndpointId("i-0123456" + std::to_string(100 + index));
}

fleet::AdapterKey adapterKey(int index)
{
    return {core::ModelId("voti367b5d"), core::AdapterId("a" + std::to_string(1000 + index))};
}

/// The report of a daemon after a busy quarter of a second.
PeerReport report(int endpoints)
{
    PeerReport report;
    report.host = core::HostId("front-muscat-a-14");
    report.domain = core::FailureDomainId("muscat-a");
    report.region = core::RegionId("muscat");
    report.peerAddress = "10.1.0.38:7020";
    for (int index = 0; index < endpoints / 4; ++index)
        report.load[endpointId(index)] = 1.3;
    report.demand[adapterKey(1)] = 1;
    report.demand[adapterKey(2)] = 2;
    return report;
}

PeerView view(int endpoints)
{
    PeerView view;
    view.isCoordinator = true;
    view.relayAddress = "10.1.0.38:7020";
    for (int index = 0; index < endpoints; ++index)
        view.load[endpointId(index)] = 7.4;
    // An order changes one adapter of an endpoint. Between two reports, a third of the endpoints
    // receive an order.
    for (int index = 0; index < endpoints / 3; ++index) {
        decisions::ContentsChange &change = view.contents[endpointId(index)];
        change.isSnapshot = false;
        change.contents.models[core::ModelId("voti367b5d")] = now;
        change.contents.adapters[adapterKey(index)] = {1, now};
    }
    return view;
}

/// Handling of a report by the coordinator: decodes the report and encodes the view.
void answerReport(benchmark::State &state)
{
    const int endpoints = static_cast<int>(state.range(0));
    rpc::RpcDispatcher dispatcher;
    const PeerView answer = view(endpoints);
    dispatcher.bind({"report"}, [&answer](const rpc::JsonText &params) {
        const auto report = decodePeerReport(params.text, now);
        benchmark::DoNotOptimize(report);
        return rpc::RpcResult {{}, {encode(answer, now)}};
    });
    const rpc::JsonText call = rpc::encodeCall({"report"}, {encode(report(endpoints), now)}).value;
    std::size_t bytes = 0;
    for (auto step : state)
        bytes = dispatcher.dispatch(call).text.size();
    state.counters["request"] = static_cast<double>(call.text.size());
    state.counters["reply"] = static_cast<double>(bytes);
}

} // namespace

// Shows how the time per report grows with the number of endpoints; the coordinator answers some
// hundred reports a second.
BENCHMARK(answerReport)->Arg(7)->Arg(21)->Arg(60)->Arg(120)->Arg(300);
BENCHMARK_MAIN();
