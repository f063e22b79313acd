#include "serving/answercheck.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jackdawlead::serving {

namespace {

constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view streamEnd = "data: [DONE]\n\n";

} // namespace

AnswerCheck::AnswerCheck(core::AdapterVersion expected, bool isStream)
    : m_expected(std::move(expected))
    , m_isStream(isStream)
{ }

absl::Status AnswerCheck::checkModel(const std::string &json) const
{
    const auto body = nlohmann::json::parse(json, nullptr, false);
    if (!body.is_object())
        return core::makeError(absl::StatusCode::kDataLoss, "relay", "engine",
                               "answer is not a JSON object");
    const auto model = body.find("model");
    const std::string served
        = model != body.end() && model->is_string() ? model->get<std::string>() : std::string();
    if (served == m_expected.toString())
        return absl::OkStatus();
    return core::makeError(absl::StatusCode::kInternal, "relay", "engine",
                           "answer is from model '" + served + "', asked for '"
                               + m_expected.toString() + "'");
}

absl::StatusOr<std::string> AnswerCheck::accept(std::string_view data)
{
    if (!m_isStream) {
        m_held += data;
        return std::string();
    }
    m_tail += data;
    if (m_tail.size() > streamEnd.size())
        m_tail.erase(0, m_tail.size() - streamEnd.size());
    if (m_isVerified)
        return std::string(data);
    m_held += data;
    const std::size_t end = m_held.find(eventEnd);
    if (end == std::string::npos)
        return std::string();
    const std::string event = m_held.substr(0, end);
    if (!event.starts_with(eventPrefix))
        return core::makeError(absl::StatusCode::kDataLoss, "relay", "engine",
                               "stream does not start with a data event");
    const absl::Status status = checkModel(event.substr(eventPrefix.size()));
    if (!status.ok())
        return status;
    m_isVerified = true;
    return std::exchange(m_held, {});
}

absl::StatusOr<std::string> AnswerCheck::finish()
{
    if (m_isStream) {
        if (m_isVerified && m_tail == streamEnd)
            return std::string();
        return core::makeError(absl::StatusCode::kDataLoss, "relay", "engine",
                               "stream ended without its end mark");
    }
    const absl::Status status = checkModel(m_held);
    if (!status.ok())
        return status;
    return std::exchange(m_held, {});
}

} // namespace jackdawlead::serving
