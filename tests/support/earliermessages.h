#pragma once

/// Messages that daemons of earlier releases sent, as recorded: the CBOR of each in Base64.
namespace jackdawlead::testsupport::earlier {

/// Commit e304079, which does not send requests for other daemons: the report of a daemon "h2".
inline constexpr char reportOfE304079[]
    = "uBpnYWRkcmVzc28xMjcuMC4wLjE6NDA3MjluY29udHJhZGljdGlvbnOgbWNyYXNoRXZpZGVuY2WAZ2NyYXNo"
      "ZXOAZmRlbWFuZKBmZG9tYWluYnoyaWVuZHBvaW50cxt/3TEPJJjLkmRob3N0YmgyZWluVXNloGlpc0luVG91"
      "Y2j1Z2xlYXZpbmegZmxpbWl0c6BkbG9hZGBqcGFydFN0YXRlc4BscGVybWl0RGVtYW5koGZwaW5uZWSAbnBy"
      "b2Nlc3NvclNoYXJl+j+AAABmcmVnaW9uYnIxbnJlcXVlc3RlZFBhcnRzgGdyZXN0aW5ngGhyZXZpc2lvbgBq"
      "c291bmRQYXJ0c4BldG9rZW4bAAABAAAAAABrdW5yZWFjaGFibGWAZ3dhaXRpbmegaXdhbnRzVmlld/U=";
/// The view with which a coordinator of that commit answered; two daemons, two endpoints.
inline constexpr char viewOfE304079[]
    = "t2hjb250ZW50c6BnY3Jhc2hlc4BnZGFlbW9ucwJrZGVtYW5kUGF1c2UCaWVuZHBvaW50cxt/3TEPJJjLknBl"
      "eHBsYWluZWRDcmFzaGVzgGZncmFudHOgZ2hhc0xvYWT1bWlzQ29vcmRpbmF0b3L1aWlzQ291bnRlZPVtaXNz"
      "dWVzUGVybWl0c/VnbGVhdmluZ6BmbGltaXRzoGRsb2FkYGVsb2Fkc2QhISEhanBhcnRTdGF0ZXOAZXJlbGF5"
      "YGxyZXBvcnRQZXJpb2QY+mhyZXZpc2lvbgBlc2luY2UAZXNwYXJlYGxzdXNwZWN0UGFydHOAZXRva2VuGwAA"
      "AQAAAAAA";

} // namespace jackdawlead::testsupport::earlier
