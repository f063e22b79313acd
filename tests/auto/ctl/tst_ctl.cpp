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

// The object API in a thread of its own, since the tool waits for each of its calls.
class ApiThread
{
public:
    ApiThread()
        : m_api(m_loop)
        , m_timers(m_loop)
    {
        cr_assert(m_api.listen());
    }
    ~ApiThread()
    {
        m_isEnding = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    ApiThread(const ApiThread &) = delete;
    ApiThread &operator=(const ApiThread &) = delete;

    // Precondition: the stand-in is set up.
    net::Address start()
    {
        m_thread = std::thread([this] {
            const auto check = m_timers.every(std::chrono::milliseconds(1), [this] {
                if (m_isEnding)
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
    std::atomic<bool> m_isEnding = false;
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

absl::Status useOf(const std::vector<std::string> &words)
{
    return tools::parseArguments(words).status();
}

json burnAnswer(std::uint64_t total, std::uint64_t good, double objective)
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

// Guards against a manifest that changes on its way into the object API and back.
Test(ctl, appliedManifestIsReadBackUnchanged)
{
    ApiThread thread;
    tools::SyncPlatform platform(thread.start());
    const auto result = tools::apply(platform, manifestOf(3, "r1"), std::nullopt);
    cr_assert(result.ok());
    cr_assert_eq(result->kind, tools::ApplyResult::Kind::Accepted);
    cr_assert_eq(result->generation, core::Generation(1));
    const auto stored = tools::readStored(platform);
    cr_assert(config::toJson(stored->manifest) == config::toJson(manifestOf(3, "r1")));
    const auto again = tools::apply(platform, manifestOf(3, "r1"), std::nullopt);
    cr_assert_eq(again->kind, tools::ApplyResult::Kind::Unchanged);
}

// Guards against a lost race that is taken for a success, or whose message hides what differs.
Test(ctl, lostRaceNamesBothGenerationsAndTheFields)
{
    ApiThread thread;
    tools::SyncPlatform platform(thread.start());
    cr_assert(tools::apply(platform, manifestOf(1, "r1"), std::nullopt).ok());
    cr_assert(tools::apply(platform, manifestOf(2, "r2"), std::nullopt).ok());
    const auto late = tools::apply(platform, manifestOf(1, "r3"), core::Generation(1));
    cr_assert(late.ok());
    cr_assert_eq(late->kind, tools::ApplyResult::Kind::Conflict);
    cr_assert_eq(late->expected, core::Generation(1));
    cr_assert_eq(late->generation, core::Generation(2));
    const std::vector<std::string> fields {"release: r2 -> r3", "adapters.adapter-1: removed"};
    cr_assert(late->changes == fields);
}

// Guards against telling an operator that a write failed although it took effect.
Test(ctl, lostAnswerIsSettledByReadingBack)
{
    ApiThread thread;
    thread.api().losesAnswersOf = objectapi::kinds::configRoots;
    tools::SyncPlatform platform(thread.start());
    const auto result = tools::apply(platform, manifestOf(1, "r1"), std::nullopt);
    cr_assert(result.ok());
    cr_assert_eq(result->kind, tools::ApplyResult::Kind::SettledByReadingBack);
}

// Guards against a lost answer to a part, which is harmless, ending the command.
Test(ctl, lostAnswerToAPartIsRepeated)
{
    ApiThread thread;
    thread.api().losesAnswersOf = objectapi::kinds::configParts;
    tools::SyncPlatform platform(thread.start());
    cr_assert(tools::apply(platform, manifestOf(1, "r1"), std::nullopt).ok());
}

// Guards against claiming any outcome when the answer is lost and nothing can be read back.
Test(ctl, outcomeIsUnknownWhenReadingBackFails)
{
    ApiThread thread;
    thread.api().losesAnswersOf = objectapi::kinds::configRoots;
    constexpr std::size_t untilRootIsWritten = 3; // Read the root, store one part, write the root.
    thread.api().callsUntilOut = untilRootIsWritten;
    tools::SyncPlatform platform(thread.start());
    const auto result = tools::apply(platform, manifestOf(1, "r1"), std::nullopt);
    cr_assert(not(result.ok()));
    cr_assert_eq(core::stepOf(result.status()), "settle");
    const std::string message(result.status().message());
    cr_assert_neq(message.find("outcome unknown"), std::string::npos);
    cr_assert_neq(message.find("jackdawctl get"), std::string::npos);
    cr_assert_eq(tools::exitCodeOf(result.status()), tools::ExitCode::OutOfReach);
}

// Guards against parts that the object API refuses for their size: a part is stored as a JSON
// string, in which each quotation mark takes two bytes.
Test(ctl, partsOfLargeManifestFitIntoObjects)
{
    constexpr std::size_t adapters = 21'000;
    constexpr std::size_t maxObjectBytes = 1'000'000;
    ApiThread thread;
    tools::SyncPlatform platform(thread.start());
    const config::Manifest manifest = manifestOf(adapters, "r1");
    const auto result = tools::apply(platform, manifest, std::nullopt);
    cr_assert(result.ok());
    cr_assert_geq(result->parts, 2);
    for (const config::ConfigPart &part : config::splitIntoParts(manifest))
        cr_assert_lt(json({{"content", part.content}}).dump().size(), maxObjectBytes);
    const auto stored = tools::readStored(platform);
    cr_assert(config::toJson(stored->manifest) == config::toJson(manifest));
}

// Guards against a wrong use that is taken for another command or ends without a usage text.
Test(ctl, wrongUseNamesTheFaultAndPrintsTheUsage)
{
    const std::vector<std::vector<std::string>> wrong {
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
    for (const auto &words : wrong) {
        const std::string message(useOf(words).message());
        cr_assert(not(useOf(words).ok()));
        cr_assert_neq(message.find("usage: jackdawctl"), std::string::npos, "%s", message.c_str());
    }
}

// Guards against options without effect, and against help for one command that names another.
Test(ctl, optionsAreRead)
{
    for (const std::string &name : tools::commandNames())
        cr_assert_neq(tools::usage(name).find("usage: jackdawctl " + name), std::string::npos);
    const auto arguments = tools::parseArguments({"report", "burn", "--admin", "127.0.0.1:1",
                                                  "--admin", "127.0.0.1:2", "--admin-credential",
                                                  "secret", "--output", "json"});
    cr_assert(arguments.ok());
    cr_assert_eq(arguments->command, "report burn");
    cr_assert_eq(arguments->admins.size(), 2);
    cr_assert_eq(arguments->adminCredential, "secret");
    cr_assert_eq(arguments->format, tools::OutputFormat::Json);
    const auto apply = tools::parseArguments({"apply", "m.yaml", "--expect-generation", "7"});
    cr_assert_eq(apply->file, "m.yaml");
    cr_assert_eq(*apply->expected, core::Generation(7));
    cr_assert(not(tools::parseArguments({"apply", "--help"})->helpText.empty()));
}

// Guards against averaging the burn of daemons instead of adding up their requests.
Test(ctl, burnOfSeveralDaemonsIsThatOfAllTheirRequests)
{
    const auto merged = tools::mergeBurn({burnAnswer(900, 900, 0.95), burnAnswer(100, 0, 0.95)});
    cr_assert(merged.ok());
    const json &row = merged->at("indicators").at(0);
    cr_assert_eq(row.at("total"), 1000);
    cr_assert_float_eq(row.at("burn").get<double>(), 2.0, 1e-9); // 10 in 100 bad, 5 allowed.
    cr_assert_neq(tools::burnTable(*merged).find("firstToken"), std::string::npos);
}

// Guards against adding up counts that were made against different objectives.
Test(ctl, daemonsWithOtherObjectivesAreNotMerged)
{
    cr_assert(not(tools::mergeBurn({burnAnswer(1, 1, 0.95), burnAnswer(1, 1, 0.99)}).ok()));
    cr_assert(not(tools::mergeBurn({json::object()}).ok()));
}
