#pragma once

#include "config/catalog.h"
#include "core/ids.h"
#include "core/time.h"
#include "net/httpmessage.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace jackdawlead::serving {

/// The pure filters at the head of the request path. Each takes the message of the one before it
/// and returns its own, or a refusal with step, outcome NotRun and, where it helps, the time after
/// which to come back. Thread safety: any thread.

/// What accept produces: a request as it was read from the caller's connection.
struct AcceptedCall
{
    core::RequestId id;
    net::HttpRequest request;
    core::TimePoint acceptedAt;
};

struct AuthenticatedCall
{
    AcceptedCall call;
    std::shared_ptr<const config::Catalog> catalog;
    core::CustomerId customer;
    core::TimePoint deadline;
};

/// An adapter call that the customer may make, at one generation of the configuration.
struct ResolvedAdapterCall
{
    AuthenticatedCall call;
    core::AdapterVersion adapter;
    std::string weightSource;
    core::PoolId pool;
    bool isStream = false;
};

/// A call of a plain service that the customer may make.
struct ResolvedServiceCall
{
    AuthenticatedCall call;
    core::ServiceId service;
    core::PoolId pool;
    std::string path; ///< The path below the service.
    bool isRepeatable = true;
    std::string idempotencyKey;
};

/// Errors: kUnavailable while no configuration is in force, kUnauthenticated, kInvalidArgument.
absl::StatusOr<AuthenticatedCall> authenticate(AcceptedCall call,
                                               std::shared_ptr<const config::Catalog> catalog,
                                               core::Duration defaultDeadline);

/// Errors: kInvalidArgument with the field, kPermissionDenied, kNotFound.
absl::StatusOr<ResolvedAdapterCall> resolveAdapterCall(AuthenticatedCall call);

/// Errors: kInvalidArgument with the header, kPermissionDenied, kNotFound.
absl::StatusOr<ResolvedServiceCall> resolveServiceCall(AuthenticatedCall call);

} // namespace jackdawlead::serving
