#include "http/headscanner.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace jackdawlead::http {

namespace {

constexpr std::string_view versionBegin = "HTTP/1.";
constexpr std::size_t statusOffset = versionBegin.size() + 2; ///< Behind a digit and a blank.
constexpr std::size_t statusDigits = 3;
constexpr std::size_t checkedSize = statusOffset + statusDigits + 1;

bool isDigit(char character)
{
    return absl::ascii_isdigit(static_cast<unsigned char>(character));
}

} // namespace

// Line breaks before the status line are skipped, as http_parser does.
void HeadScanner::feed(std::string_view bytes)
{
    for (const char character : bytes) {
        if (m_isHeadOver)
            return;
        if (!m_isStatusLineOver && m_statusLineBegin.size() < checkedSize
            && !(m_statusLineBegin.empty() && (character == '\r' || character == '\n')))
            m_statusLineBegin += character;
        if (character == '\n') {
            m_isHeadOver = m_isStatusLineOver && m_isLineEmpty;
            m_isStatusLineOver = !m_statusLineBegin.empty();
            m_isLineEmpty = true;
        } else if (character != '\r') {
            m_hasFoldedLine
                |= m_isStatusLineOver && m_isLineEmpty && (character == ' ' || character == '\t');
            m_isLineEmpty = false;
        }
    }
}

bool HeadScanner::isStatusLineValid() const
{
    if (m_statusLineBegin.size() != checkedSize || !m_statusLineBegin.starts_with(versionBegin))
        return false;
    const auto status = std::string_view(m_statusLineBegin).substr(statusOffset, statusDigits);
    const char next = m_statusLineBegin.back();
    return isDigit(m_statusLineBegin[versionBegin.size()])
        && m_statusLineBegin[statusOffset - 1] == ' ' && std::ranges::all_of(status, isDigit)
        && status.front() >= '1' && status.front() <= '5'
        && (next == ' ' || next == '\r' || next == '\n');
}

} // namespace jackdawlead::http
