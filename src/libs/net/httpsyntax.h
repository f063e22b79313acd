#pragma once

#include "net/httpmessage.h"

#include <string_view>

namespace jackdawlead::net {

/// Whether a header field may have this name (RFC 9110, 5.6.2). Parsers that are less strict may
/// read another field, or none, than the sender wrote. Thread safety: any thread.
bool isFieldName(std::string_view name);

/// Whether a header field may have this value, and a receiver reads the same one (RFC 9110, 5.5):
/// it is not empty, has no control character but tabs, and no blank or tab at its ends. Thread
/// safety: any thread.
bool isFieldValue(std::string_view value);

/// Whether the body is sent as it is or in chunks. With other transfer codings the bytes that a
/// parser returns are not the body. Thread safety: any thread.
bool isTransferCodingKnown(const Headers &headers);

} // namespace jackdawlead::net
