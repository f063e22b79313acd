#include "config/yamlreader.h"

#include "core/error.h"

#include <algorithm>
#include <charconv>

namespace jackdawlead::config {

void ValidationErrors::add(int line, const std::string &field, const std::string &message)
{
    m_errors.push_back(m_source + ":" + std::to_string(line) + ": " + field + ": " + message);
}

std::string ValidationErrors::toString() const
{
    std::string text;
    for (const std::string &error : m_errors)
        text += (text.empty() ? "" : "\n") + error;
    return text;
}

absl::StatusOr<YAML::Node> loadYaml(const std::string &text, const ValidationErrors &errors)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &error) {
        ValidationErrors copy = errors;
        copy.add(error.mark.line + 1, "syntax", error.msg);
        return core::makeError(absl::StatusCode::kInvalidArgument, "parse", "yaml",
                               copy.toString());
    }
}

YamlReader::YamlReader(const YAML::Node &node, std::string path, ValidationErrors &errors)
    : m_node(node)
    , m_path(std::move(path))
    , m_errors(&errors)
{
    if (!m_node.IsMap())
        m_errors->add(m_node.Mark().line + 1, m_path, "must be a mapping");
}

void YamlReader::allowKeys(std::initializer_list<std::string_view> keys) const
{
    if (!m_node.IsMap())
        return;
    std::vector<std::string> seen;
    std::string allowed;
    for (const std::string_view key : keys)
        allowed.append(allowed.empty() ? "" : ", ").append(key);
    for (const auto &entry : m_node) {
        const auto key = entry.first.Scalar();
        if (std::ranges::find(keys, key) == keys.end())
            m_errors->add(entry.first.Mark().line + 1, fieldPath(key.c_str()),
                          "unknown key; allowed are " + allowed);
        if (std::ranges::find(seen, key) != seen.end())
            m_errors->add(entry.first.Mark().line + 1, fieldPath(key.c_str()), "duplicate key");
        seen.push_back(key);
    }
}

bool YamlReader::contains(const char *key) const
{
    return m_node.IsMap() && m_node[key].IsDefined();
}

std::string YamlReader::fieldPath(const char *key) const
{
    return m_path + "." + key;
}

void YamlReader::addError(const char *key, const std::string &message) const
{
    const YAML::Node field = contains(key) ? m_node[key] : m_node;
    m_errors->add(field.Mark().line + 1, fieldPath(key), message);
}

std::optional<std::string> YamlReader::scalar(const char *key, bool isRequired) const
{
    if (!contains(key)) {
        if (isRequired)
            addError(key, "missing");
        return std::nullopt;
    }
    if (!m_node[key].IsScalar() || m_node[key].Scalar().empty()) {
        addError(key, "must be a non-empty scalar");
        return std::nullopt;
    }
    return m_node[key].Scalar();
}

std::string YamlReader::text(const char *key) const
{
    return scalar(key, true).value_or(std::string());
}

std::string YamlReader::text(const char *key, const std::string &fallback) const
{
    return scalar(key, false).value_or(fallback);
}

bool YamlReader::boolean(const char *key, bool fallback) const
{
    const auto value = scalar(key, false);
    if (!value)
        return fallback;
    if (*value != "true" && *value != "false")
        addError(key, "must be true or false, got '" + *value + "'");
    return *value == "true";
}

std::int64_t YamlReader::integer(const char *key, std::int64_t min, std::int64_t max) const
{
    if (!contains(key)) {
        addError(key, "missing");
        return min;
    }
    return integer(key, min, max, min);
}

std::int64_t YamlReader::integer(const char *key, std::int64_t min, std::int64_t max,
                                 std::int64_t fallback) const
{
    const auto value = scalar(key, false);
    if (!value)
        return fallback;
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
    const bool isNumber = error == std::errc() && end == value->data() + value->size();
    if (isNumber && number >= min && number <= max)
        return number;
    addError(key,
             "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max)
                 + ", got '" + *value + "'");
    return fallback;
}

double YamlReader::number(const char *key, double min, double max, double fallback) const
{
    const auto value = scalar(key, false);
    if (!value)
        return fallback;
    double number = 0;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
    const bool isNumber = error == std::errc() && end == value->data() + value->size();
    if (isNumber && number >= min && number <= max)
        return number;
    addError(key,
             "must be a number from " + std::to_string(min) + " to " + std::to_string(max)
                 + ", got '" + *value + "'");
    return fallback;
}

std::vector<std::string> YamlReader::texts(const char *key) const
{
    if (!contains(key))
        addError(key, "missing");
    return optionalTexts(key);
}

std::vector<std::string> YamlReader::optionalTexts(const char *key) const
{
    std::vector<std::string> result;
    if (!contains(key))
        return result;
    if (!m_node[key].IsSequence()) {
        addError(key, "must be a list");
        return result;
    }
    for (const YAML::Node &item : m_node[key]) {
        if (item.IsScalar())
            result.push_back(item.Scalar());
        else
            m_errors->add(item.Mark().line + 1, fieldPath(key), "must be a list of scalars");
    }
    return result;
}

std::vector<YamlReader> YamlReader::items(const char *key) const
{
    std::vector<YamlReader> result;
    if (!contains(key))
        return result;
    if (!m_node[key].IsSequence()) {
        addError(key, "must be a list");
        return result;
    }
    int index = 0;
    for (const YAML::Node &item : m_node[key])
        result.emplace_back(item, fieldPath(key) + "[" + std::to_string(index++) + "]", *m_errors);
    return result;
}

YamlReader YamlReader::section(const char *key) const
{
    const YAML::Node node = contains(key) ? m_node[key] : YAML::Node(YAML::NodeType::Map);
    return {node, fieldPath(key), *m_errors};
}

} // namespace jackdawlead::config
