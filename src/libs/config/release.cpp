#include "config/release.h"

#include "core/error.h"

#include <openssl/evp.h>

#include <array>
#include <map>

namespace jackdawlead::config {

namespace {

using nlohmann::json;

constexpr const char *sections[] = {"models", "pools", "customers", "services", "adapters"};

ConfigPart makePart(const json &content)
{
    std::string text = content.dump();
    return {sha256Hex(text), std::move(text)};
}

std::string digestOfParts(const std::vector<std::string> &names)
{
    std::string all;
    for (const std::string &name : names)
        all += name + "\n";
    return sha256Hex(all);
}

std::string itemName(const json &item)
{
    return item.is_string() ? item.get<std::string>() : item.at("name").get<std::string>();
}

std::string formatChange(std::string path, const std::string &field, const json &from,
                         const json &to)
{
    path.append(".").append(field).append(": ");
    path.append(from.dump()).append(" -> ").append(to.dump());
    return path;
}

std::map<std::string, json> itemsByName(const json &items)
{
    std::map<std::string, json> result;
    for (const json &item : items)
        result.emplace(itemName(item), item);
    return result;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2UL * size);
    for (unsigned int index = 0; index < size; ++index) {
        text += digits[digest[index] >> 4U];
        text += digits[digest[index] & 15U];
    }
    return text;
}

std::size_t storedBytes(const json &item)
{
    // The content is stored as a JSON string, in which each quotation mark takes two bytes.
    return json(item.dump()).dump().size();
}

std::vector<ConfigPart> splitIntoParts(const Manifest &manifest)
{
    const json manifestJson = toJson(manifest);
    std::vector<ConfigPart> parts;
    json currentPart = json::object();
    std::size_t currentBytes = 0;
    for (const char *section : sections) {
        for (const json &item : manifestJson.at(section)) {
            const std::size_t bytes = storedBytes(item) + 1;
            if (currentBytes > 0 && currentBytes + bytes > maxPartBytes) {
                parts.push_back(makePart(currentPart));
                currentPart = json::object();
                currentBytes = 0;
            }
            currentPart[section].push_back(item);
            currentBytes += bytes;
        }
    }
    parts.push_back(makePart(currentPart));
    return parts;
}

ConfigRoot makeRoot(core::Generation generation, const std::string &release,
                    const std::vector<ConfigPart> &parts)
{
    ConfigRoot root {generation, release, {}, {}};
    for (const ConfigPart &part : parts)
        root.parts.push_back(part.name);
    root.digest = digestOfParts(root.parts);
    return root;
}

absl::StatusOr<Manifest> assemble(const ConfigRoot &root, const std::vector<ConfigPart> &parts)
{
    const auto dataLoss = [](const std::string &message) {
        return core::makeError(absl::StatusCode::kDataLoss, "assemble", "configuration", message);
    };
    if (digestOfParts(root.parts) != root.digest)
        return dataLoss("root digest does not match its list of parts");
    std::map<std::string, const ConfigPart *> partsByName;
    for (const ConfigPart &part : parts)
        partsByName.emplace(part.name, &part);
    json manifestJson {{"release", root.release}};
    for (const char *section : sections)
        manifestJson[section] = json::array();
    for (const std::string &name : root.parts) {
        const auto part = partsByName.find(name);
        if (part == partsByName.end())
            return dataLoss("part " + name + " is missing");
        if (sha256Hex(part->second->content) != name)
            return dataLoss("part " + name + " does not match its digest");
        const json content = json::parse(part->second->content, nullptr, false);
        if (!content.is_object())
            return dataLoss("part " + name + " is not a JSON object");
        for (const auto &[section, items] : content.items())
            manifestJson[section].insert(manifestJson[section].end(), items.begin(), items.end());
    }
    return manifestFromJson(manifestJson);
}

json toJson(const ConfigRoot &root)
{
    return {{"generation", root.generation.value()},
            {"release", root.release},
            {"digest", root.digest},
            {"parts", root.parts}};
}

absl::StatusOr<ConfigRoot> rootFromJson(const json &source)
{
    try {
        return ConfigRoot {core::Generation(source.at("generation").get<std::uint64_t>()),
                           source.at("release"), source.at("digest"), source.at("parts")};
    } catch (const json::exception &error) {
        return core::makeError(absl::StatusCode::kInvalidArgument, "decode", "root", error.what());
    }
}

std::vector<std::string> differences(const Manifest &from, const Manifest &to)
{
    const json before = toJson(from);
    const json after = toJson(to);
    std::vector<std::string> lines;
    if (from.release != to.release)
        lines.push_back("release: " + from.release + " -> " + to.release);
    for (const char *section : sections) {
        const auto oldItems = itemsByName(before.at(section));
        const auto newItems = itemsByName(after.at(section));
        for (const auto &[name, item] : oldItems)
            if (!newItems.contains(name))
                lines.push_back(std::string(section) + "." + name + ": removed");
        for (const auto &[name, item] : newItems) {
            std::string path = section;
            path.append(".").append(name);
            const auto oldItem = oldItems.find(name);
            if (oldItem == oldItems.end()) {
                lines.push_back(path + ": added");
                continue;
            }
            if (!item.is_object())
                continue;
            for (const auto &[field, value] : item.items())
                if (oldItem->second.at(field) != value)
                    lines.push_back(formatChange(path, field, oldItem->second.at(field), value));
        }
    }
    return lines;
}

} // namespace jackdawlead::config
