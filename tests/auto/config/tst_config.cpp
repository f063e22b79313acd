#include "config/release.h"
#include "config/settings.h"

#include <criterion/criterion.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace jackdawlead;

namespace {

const std::string digest(64, 'a');

// Line 1 is apiVersion, 4 the first pool, 8 the adapter, 10 the first service.
std::string manifestText(const std::string &service)
{
    return "apiVersion: jackdawlead/v1\nrelease: r1\nmodels: [{ name: base }, { name: other }]\n"
           "pools:\n"
           "  - { name: assistants, kind: engine, model: base, slots: 4 }\n"
           "  - { name: orders, kind: plain }\n"
           "customers: [{ name: shop, tokenDigests: ["
        + digest
        + "] }]\n"
          "adapters: [{ name: a1, model: base, versions: [{ version: \"1\", source: s }] },\n"
          "           { name: o1, model: other, versions: [{ version: \"1\", source: s }] }]\n"
          "services: ["
        + service + "]\n";
}

std::string errorsOf(const std::string &yaml)
{
    return std::string(config::parseManifest(yaml, "m.yaml").status().message());
}

void checkError(const std::string &service, const std::string &expected)
{
    const std::string errors = errorsOf(manifestText(service));
    cr_assert_neq(errors.find("m.yaml:10: manifest.services[0]." + expected), std::string::npos,
                  "%s", errors.c_str());
}

config::Manifest manifestOf(std::size_t adapters)
{
    config::Manifest manifest;
    manifest.release = "r1";
    manifest.models = {core::ModelId("base")};
    for (std::size_t index = 0; index < adapters; ++index) {
        const std::string name = "adapter-" + std::to_string(index);
        manifest.adapters.push_back(
            {core::AdapterId(name), core::ModelId("base"), {{"1", name + "/1"}}});
    }
    return manifest;
}

using KeySet = std::set<std::string>;

// Returns the keys that the parser accepts, taken from its errors for an unknown key.
KeySet acceptedKeys(const std::string &errors)
{
    const std::string marker = "unknown key; allowed are ";
    KeySet keys;
    for (std::size_t at = errors.find(marker); at != std::string::npos;
         at = errors.find(marker, at + 1)) {
        const std::size_t line = errors.rfind('\n', at) + 1;
        // FILE:LINE: settings.SECTION[INDEX].nokey: unknown key
        std::string path = errors.substr(line, errors.rfind(".nokey", at) - line);
        path = path.substr(path.rfind(' ') + 1);
        path = path.substr(path.rfind('.') + 1);
        const std::string section = path.substr(0, path.find('['));
        std::istringstream names(
            errors.substr(at + marker.size(), errors.find('\n', at) - at - marker.size()));
        for (std::string name; std::getline(names, name, ',');)
            keys.insert(section + "." + name.substr(name.find_first_not_of(' ')));
    }
    return keys;
}

// Returns the keys in the table rows `| section | `key` | ...` of the page.
KeySet documentedKeys()
{
    std::ifstream page(DOCS_FOLDER "/configuration.md");
    KeySet keys;
    for (std::string line; std::getline(page, line);) {
        const std::size_t open = line.find(" | `");
        if (line.starts_with("| ") && open != std::string::npos) {
            const std::size_t begin = open + 4;
            keys.insert(line.substr(2, open - 2) + "."
                        + line.substr(begin, line.find('`', begin) - begin));
        }
    }
    return keys;
}

} // namespace

// Guards against rejecting a valid manifest.
Test(config, validManifestIsAccepted)
{
    cr_assert_eq(errorsOf(manifestText("{ name: d, pool: assistants, callers: [shop], "
                                       "adapters: [a1] }, { name: o, pool: orders, "
                                       "callers: [shop], repeatable: false }")),
                 "");
}

// Guards against accepting a configuration with services that its pools cannot serve.
Test(config, servicesWithUnusableAdaptersAreRejected)
{
    checkError("{ name: d, pool: assistants, callers: [shop], adapters: [o1] }",
               "adapters: adapter 'o1' is of model 'other', but pool 'assistants' serves model "
               "'base'");
    checkError("{ name: d, pool: orders, callers: [shop], adapters: [a1] }",
               "adapters: must be empty, since pool 'orders' is plain");
    checkError("{ name: d, pool: assistants, callers: [shop] }",
               "adapters: must list at least one adapter");
}

// Guards against validation that stops at the first error, and against messages that lack the
// location, the actual value or the allowed values.
Test(config, allErrorsAreReportedInOneRun)
{
    const std::string service = "{ name: d/x, pool: missing, callers: [nobody], adapters: [gone], "
                                "repeatable: maybe, colour: red }";
    checkError(service, "name: must not contain '@', '/' or a space, got 'd/x'");
    checkError(service, "pool: unknown reference 'missing'");
    checkError(service, "callers: unknown reference 'nobody'");
    checkError(service, "adapters: unknown reference 'gone'");
    checkError(service, "repeatable: must be true or false, got 'maybe'");
    checkError(service, "colour: unknown key; allowed are name, pool");
    checkError("{ name: d, pool: orders, callers: shop }", "callers: must be a list");
    const std::string twice = "{ name: d, pool: orders, callers: [shop] }";
    cr_assert_neq(errorsOf(manifestText(twice + ", " + twice)).find("duplicate name 'd'"),
                  std::string::npos);
}

// Guards against an entry that does not fit into a part: the object API would reject it after some
// parts of the manifest were stored.
Test(config, entryOverPartSizeLimitIsRejected)
{
    std::string customers;
    constexpr int digestCount = 15'000; // Of 68 bytes each.
    for (int index = 0; index < digestCount; ++index) {
        const std::string number = std::to_string(index);
        customers += std::string(index == 0 ? "" : ", ") + "'"
            + std::string(64 - number.size(), '0') + number + "'";
    }
    const std::string errors
        = errorsOf("apiVersion: jackdawlead/v1\nrelease: r1\ncustomers:\n  - name: shop\n"
                   "    tokenDigests: ["
                   + customers + "]\n");
    cr_assert_neq(errors.find("m.yaml:5: manifest.customers[0].tokenDigests: the entry takes"),
                  std::string::npos, "%.300s", errors.c_str());
}

// Guards against a manifest that changes when it is split, at sizes of one and of several parts.
Test(config, splitManifestIsReassembledUnchanged)
{
    for (const std::size_t adapters : {0UL, 1UL, 5'000UL, 9'000UL, 21'000UL}) {
        const config::Manifest manifest = manifestOf(adapters);
        const auto parts = config::splitIntoParts(manifest);
        const auto root = config::makeRoot(core::Generation(1), manifest.release, parts);
        const auto assembled = config::assemble(root, parts);
        cr_assert(assembled.ok());
        cr_assert(config::toJson(*assembled) == config::toJson(manifest));
        const auto resplitParts = config::splitIntoParts(*assembled);
        cr_assert_eq(config::makeRoot(core::Generation(1), "r1", resplitParts).digest, root.digest);
    }
}

// Guards against settings errors that lack the location, the actual value or the allowed values.
Test(config, settingsErrorsContainLineKeyAndLimits)
{
    const std::string yaml
        = "host: h\nregion: r\nfailureDomain: f\n"
          "listen: { ip: nowhere, callerPort: 70000, peerPort: 2, adminPort: 3 }\n"
          "credentials: { peer: p, admin: a }\n"
          "platform: { objectApiIp: 127.0.0.1, objectApiPort: 1,\n"
          "            hostListIp: 127.0.0.1, hostListPort: 1 }\n"
          "objectives: { firstTokenShare: 1.5 }\nlog: { level: LOUD }\n";
    const std::string errors(config::parseSettings(yaml, "s.yaml").status().message());
    for (const char *expected :
         {"s.yaml:4: settings.listen.ip: must be an IP address, got 'nowhere'",
          "s.yaml:4: settings.listen.callerPort: must be a whole number from 1 to 65535, got "
          "'70000'",
          "s.yaml:8: settings.objectives.firstTokenShare: must be a number from",
          "s.yaml:9: settings.log.level: must be TRACE"})
        cr_assert_neq(errors.find(expected), std::string::npos, "%s", errors.c_str());
}

// Guards against a page that lacks an accepted key or lists a rejected one.
Test(config, pageListsExactlyTheAcceptedKeys)
{
    const std::string unknownKey = "{ nokey: 1 }";
    std::string settings = "nokey: 1\n";
    for (const char *section :
         {"listen", "credentials", "platform", "lease", "limits", "log", "objectives"})
        settings += std::string(section) + ": " + unknownKey + "\n";
    std::string manifest = "nokey: 1\nadapters: [{ nokey: 1, versions: [" + unknownKey + "] }]\n";
    for (const char *section : {"models", "pools", "customers", "services"})
        manifest += std::string(section) + ": [" + unknownKey + "]\n";
    KeySet accepted
        = acceptedKeys(std::string(config::parseSettings(settings, "s.yaml").status().message()));
    accepted.merge(acceptedKeys(errorsOf(manifest)));
    for (const char *section :
         {"listen", "credentials", "platform", "lease", "limits", "log", "objectives"})
        accepted.erase(std::string("settings.") + section);
    const KeySet documented = documentedKeys();
    for (const std::string &key : accepted)
        cr_assert(documented.contains(key), "%s is not on the page", key.c_str());
    for (const std::string &key : documented)
        cr_assert(accepted.contains(key), "%s is not accepted", key.c_str());
    cr_assert_geq(documented.size(), 50);
}
