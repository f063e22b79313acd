#include "core/error.h"
#include "support/objectapi.h"
#include "tools/applycommand.h"
#include "tools/arguments.h"
#include "tools/burnreport.h"
#include "tools/exitcode.h"

#include <criterion/criterion.h>

#include <atomic>
#include <thread>

using namespace jackdawlead;
using nlohmann::json;

namespace {

// Runs the fake object API in its own thread, because the tool blocks during each call.
class ObjectApiThread
{
public:
    ObjectApiThread()
        : m_api(m_loop)
        , m_timers(m_loop)
    {
        cr_assert(m_api.listen());
    }
    ~ObjectApiThread()
    {
        m_isStopRequested = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    ObjectApiThread(const ObjectApiThread &) = delete;
    ObjectApiThread &operator=(const ObjectApiThread &) = delete;

    // Precondition: the fake is configured.
    net::Address start()
    {
        m_thread = std::thread([this] {
            const auto check = m_timers.every(std::chrono::milliseconds(1), [this] {
                if (m_isStopRequested)
                    m_loop.stop();
            });
            m_loop.run();
        });
        return {"127.0.0.1", m_api.port()};
    }
    testsupport::ObjectApi &api() { return m_api; }

private:
    net::EventLoop m_loop;
    testsupport::ObjectApi m_api;
    net::TimerService m_timers;
    std::atomic<bool> m_isStopRequested = false;
    std::thread m_thread;
};

config::Manifest manifestOf(std::size_t adapters, const std::string &release)
{
    config::Manifest manifest;
    manifest.release = release;
    manifest.models = {core::ModelId("base")};
    for (std::size_t index = 0; index < adapters; ++index) {
        const std::string name = "adapter-" + std::to_string(index);
        manifest.adapters.push_back(
            {core::AdapterId(name), core::ModelId("base"), {{"1", name + "/1"}}});
    }
    return manifest;
}

absl::Status parseStatus(const std::vector<std::string> &args)
{
    return tools::parseArguments(args).status();
}

json burnResponse(std::uint64_t total, std::uint64_t good, double objective)
{
    return {{"host", "daemon"},
            {"indicators",
             {{{"name", "firstToken"},
               {"windowSeconds", 300},
               {"coveredSeconds", 300.0},
               {"limitMs", 440},
               {"objective", objective},
               {"total", total},
               {"good", good}}}}};
}

} // namespace

// Guards against a manifest that changes when it is stored in the object API and read back.
Test(ctl, appliedManifestIsReadBackUnchanged)
{
    ObjectApiThread thread;
    tools::SyncClient client(thread.start());
    const auto result = tools::apply(client, manifestOf(3, "r1"), std::nullopt);
    cr_assert(result.ok());
    cr_assert_eq(result->kind, tools::ApplyResult::Kind::Accepted);
    cr_assert_eq(result->generation, core::Generation(1));
    const auto stored = tools::readStoredConfig(client);
    cr_assert(config::toJson(stored->manifest) == config::toJson(manifestOf(3, "r1")));
    const auto secondResult = tools::apply(client, manifestOf(3, "r1"), std::nullopt);
    cr_assert_eq(secondResult->kind, tools::ApplyResult::Kind::Unchanged);
}

// Guards against reporting a conflict as success, or without the fields that differ.
Test(ctl, conflictReportsBothGenerationsAndChangedFields)
{
    ObjectApiThread thread;
    tools::SyncClient client(thread.start());
    cr_assert(tools::apply(client, manifestOf(1, "r1"), std::nullopt).ok());
    cr_assert(tools::apply(client, manifestOf(2, "r2"), std::nullopt).ok());
    const auto conflict = tools::apply(client, manifestOf(1, "r3"), core::Generation(1));
    cr_assert(conflict.ok());
    cr_assert_eq(conflict->kind, tools::ApplyResult::Kind::Conflict);
    cr_assert_eq(conflict->expectedGeneration, core::Generation(1));
    cr_assert_eq(conflict->generation, core::Generation(2));
    const std::vector<std::string> fields {"release: r2 -> r3", "adapters.adapter-1: removed"};
    cr_assert(conflict->changes == fields);
}

// Guards against reporting a failure although the write took effect.
Test(ctl, lostRootResponseIsConfirmedByReadBack)
{
    ObjectApiThread thread;
    thread.api().losesAnswersOf = objectapi::kinds::configRoots;
    tools::SyncClient client(thread.start());
    const auto result = tools::apply(client, manifestOf(1, "r1"), std::nullopt);
    cr_assert(result.ok());
    cr_assert_eq(result->kind, tools::ApplyResult::Kind::ConfirmedByReadBack);
}

// Guards against failing the command on a lost response to a stored part, which is harmless.
Test(ctl, lostPartResponseDoesNotFailApply)
{
    ObjectApiThread thread;
    thread.api().losesAnswersOf = objectapi::kinds::configParts;
    tools::SyncClient client(thread.start());
    cr_assert(tools::apply(client, manifestOf(1, "r1"), std::nullopt).ok());
}

// Guards against reporting an outcome when the response is lost and the root cannot be read back.
Test(ctl, outcomeIsUnknownWhenReadBackFails)
{
    ObjectApiThread thread;
    thread.api().losesAnswersOf = objectapi::kinds::configRoots;
    constexpr std::size_t callsUntilRootWrite = 3; // Read the root, store one part, write the root.
    thread.api().callsUntilOut = callsUntilRootWrite;
    tools::SyncClient client(thread.start());
    const auto result = tools::apply(client, manifestOf(1, "r1"), std::nullopt);
    cr_assert(not(result.ok()));
    cr_assert_eq(core::stepOf(result.status()), "settle");
    const std::string message(result.status().message());
    cr_assert_neq(message.find("outcome unknown"), std::string::npos);
    cr_assert_neq(message.find("jackdawctl get"), std::string::npos);
    cr_assert_eq(tools::exitCodeOf(result.status()), tools::ExitCode::Unreachable);
}

// Guards against parts that the object API rejects for their size: a part is stored as a JSON
// string, in which each quotation mark takes two bytes.
Test(ctl, partsOfLargeManifestFitIntoObjects)
{
    constexpr std::size_t adapters = 21'000;
    constexpr std::size_t maxObjectBytes = 1'000'000;
    ObjectApiThread thread;
    tools::SyncClient client(thread.start());
    const config::Manifest manifest = manifestOf(adapters, "r1");
    const auto result = tools::apply(client, manifest, std::nullopt);
    cr_assert(result.ok());
    cr_assert_geq(result->parts, 2);
    for (const config::ConfigPart &part : config::splitIntoParts(manifest))
        cr_assert_lt(json({{"content", part.content}}).dump().size(), maxObjectBytes);
    const auto stored = tools::readStoredConfig(client);
    cr_assert(config::toJson(stored->manifest) == config::toJson(manifest));
}

// Guards against accepting an invalid command line, or rejecting it without the usage text.
Test(ctl, invalidCommandLinePrintsUsage)
{
    const std::vector<std::vector<std::string>> invalidCommandLines {
        {},
        {"remove"},
        {"report"},
        {"apply"},
        {"apply", "m.yaml", "--output", "xml"},
        {"apply", "m.yaml", "--expect-generation", "none"},
        {"get", "--object-api", "127.0.0.1"},
        {"get", "--object-api", "127.0.0.1:70000"},
        {"status", "--admin", "127.0.0.1:1", "--admin", "127.0.0.1:2"},
        {"status", "--unknown", "1"},
        {"get", "surplus"},
    };
    for (const auto &args : invalidCommandLines) {
        const std::string message(parseStatus(args).message());
        cr_assert(not(parseStatus(args).ok()));
        cr_assert_neq(message.find("usage: jackdawctl"), std::string::npos, "%s", message.c_str());
    }
}

// Guards against options without effect, and against usage text of the wrong command.
Test(ctl, optionsAreParsed)
{
    for (const std::string &name : tools::commandNames())
        cr_assert_neq(tools::usage(name).find("usage: jackdawctl " + name), std::string::npos);
    const auto arguments = tools::parseArguments({"report", "burn", "--admin", "127.0.0.1:1",
                                                  "--admin", "127.0.0.1:2", "--admin-credential",
                                                  "secret", "--output", "json"});
    cr_assert(arguments.ok());
    cr_assert_eq(arguments->command, "report burn");
    cr_assert_eq(arguments->adminAddresses.size(), 2);
    cr_assert_eq(arguments->adminCredential, "secret");
    cr_assert_eq(arguments->format, tools::OutputFormat::Json);
    const auto apply = tools::parseArguments({"apply", "m.yaml", "--expect-generation", "7"});
    cr_assert_eq(apply->operand, "m.yaml");
    cr_assert_eq(*apply->expectedGeneration, core::Generation(7));
    cr_assert(not(tools::parseArguments({"apply", "--help"})->helpText.empty()));
}

// Guards against averaging the burn of daemons instead of summing their requests.
Test(ctl, mergedBurnIsComputedFromSummedRequests)
{
    const auto merged
        = tools::mergeBurn({burnResponse(900, 900, 0.95), burnResponse(100, 0, 0.95)});
    cr_assert(merged.ok());
    const json &row = merged->at("indicators").at(0);
    cr_assert_eq(row.at("total"), 1000);
    cr_assert_float_eq(row.at("burn").get<double>(), 2.0, 1e-9); // 10 in 100 bad, 5 allowed.
    cr_assert_neq(tools::burnTable(*merged).find("firstToken"), std::string::npos);
}

// Guards against summing counts that were measured against different objectives.
Test(ctl, daemonsWithDifferentObjectivesAreNotMerged)
{
    cr_assert(not(tools::mergeBurn({burnResponse(1, 1, 0.95), burnResponse(1, 1, 0.99)}).ok()));
    cr_assert(not(tools::mergeBurn({json::object()}).ok()));
}
