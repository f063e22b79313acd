#pragma once

namespace jackdawlead::net {

/// Keeps SIGTERM, SIGINT and SIGHUP pending while the process has no handlers for them, because
/// their default action ends it. Precondition: called before any other thread starts, which then
/// inherits that it never receives them. Thread safety: the main thread only.
void holdStartSignals();

/// Delivers the signals that are pending and all later ones. Precondition: the handlers are
/// installed. Thread safety: the main thread only.
void deliverStartSignals();

} // namespace jackdawlead::net
