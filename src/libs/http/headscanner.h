#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace jackdawlead::http {

/// Checks what http_parser does not report of a response's head: the form of its status line, and
/// lines that begin with a blank, which http_parser adds to the value of the field before them.
/// Thread safety: one thread at a time.
class HeadScanner
{
public:
    /// Reads bytes of the message up to the end of its head, in parts of any size.
    void feed(std::string_view bytes);
    /// Whether the version is HTTP/1 and the status has three digits, from 100 to 599.
    /// Precondition: the head is complete.
    bool isStatusLineValid() const;
    /// Whether a line of the head so far begins with a blank.
    bool hasFoldedLine() const { return m_hasFoldedLine; }

private:
    std::string m_statusLineBegin; ///< Up to the byte behind the status.
    bool m_isStatusLineOver = false;
    bool m_isHeadOver = false;
    bool m_isLineEmpty = true;
    bool m_hasFoldedLine = false;
};

} // namespace jackdawlead::http
