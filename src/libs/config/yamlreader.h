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

/// Collects the validation errors of one input, each with its line and field.
class ValidationErrors
{
public:
    explicit ValidationErrors(std::string source)
        : m_source(std::move(source))
    { }

    void add(int line, const std::string &field, const std::string &message);
    bool isEmpty() const { return m_errors.empty(); }
    std::string toString() const;

private:
    std::string m_source;
    std::vector<std::string> m_errors;
};

/// Parses YAML text. Errors: kInvalidArgument with the line and column of the syntax error.
absl::StatusOr<YAML::Node> loadYaml(const std::string &text, const ValidationErrors &errors);

/// Reads the fields of one mapping and records validation errors instead of throwing.
/// Thread safety: one thread at a time.
class YamlReader
{
public:
    YamlReader(const YAML::Node &node, std::string path, ValidationErrors &errors);

    /// Records an error for each key that is not in `keys` and for each duplicate key.
    void allowKeys(std::initializer_list<std::string_view> keys) const;
    bool contains(const char *key) const;

    std::string text(const char *key) const;
    std::string text(const char *key, const std::string &fallback) const;
    bool boolean(const char *key, bool fallback) const;
    std::int64_t integer(const char *key, std::int64_t min, std::int64_t max) const;
    std::int64_t integer(const char *key, std::int64_t min, std::int64_t max,
                         std::int64_t fallback) const;
    double number(const char *key, double min, double max, double fallback) const;
    std::vector<std::string> texts(const char *key) const;
    std::vector<std::string> optionalTexts(const char *key) const;
    std::vector<YamlReader> items(const char *key) const;
    YamlReader section(const char *key) const;

    /// Records an error of the field `key`.
    void addError(const char *key, const std::string &message) const;

private:
    std::optional<std::string> scalar(const char *key, bool isRequired) const;
    std::string fieldPath(const char *key) const;

    YAML::Node m_node;
    std::string m_path;
    ValidationErrors *m_errors;
};

} // namespace jackdawlead::config
