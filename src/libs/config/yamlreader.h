#pragma once

#include <absl/status/statusor.h>

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawlead::config {

/// Collects every fault of one input, each with its line and field.
class FaultList
{
public:
    explicit FaultList(std::string source)
        : m_source(std::move(source))
    { }

    void add(int line, const std::string &field, const std::string &message);
    bool isEmpty() const { return m_faults.empty(); }
    std::string toString() const;

private:
    std::string m_source;
    std::vector<std::string> m_faults;
};

/// Parses YAML text. Errors: kInvalidArgument with the line and column of the syntax error.
absl::StatusOr<YAML::Node> loadYaml(const std::string &text, const FaultList &faults);

/// Reads the fields of one mapping and records faults instead of throwing.
/// Thread safety: one thread at a time.
class YamlReader
{
public:
    YamlReader(const YAML::Node &node, std::string path, FaultList &faults);

    /// Records a fault for each key that is not in `keys`.
    void allowKeys(std::initializer_list<std::string_view> keys) const;
    bool contains(const char *key) const;

    std::string text(const char *key) const;
    std::string text(const char *key, const std::string &fallback) const;
    bool boolean(const char *key, bool fallback) const;
    std::int64_t integer(const char *key, std::int64_t least, std::int64_t most) const;
    std::int64_t integer(const char *key, std::int64_t least, std::int64_t most,
                         std::int64_t fallback) const;
    double number(const char *key, double least, double most, double fallback) const;
    std::vector<std::string> texts(const char *key) const;
    std::vector<std::string> optionalTexts(const char *key) const;
    std::vector<YamlReader> items(const char *key) const;
    YamlReader section(const char *key) const;

    /// Records a fault of the field `key`.
    void fault(const char *key, const std::string &message) const;

private:
    std::optional<std::string> scalar(const char *key, bool isRequired) const;
    std::string fieldPath(const char *key) const;

    YAML::Node m_node;
    std::string m_path;
    FaultList *m_faults;
};

} // namespace jackdawlead::config
