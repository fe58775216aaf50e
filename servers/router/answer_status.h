#pragma once

// The HTTP statuses by which a router decides.

namespace kumquat::router {

inline constexpr int statusOk = 200;
inline constexpr int statusMultipleChoices = 300;
inline constexpr int statusRequestTimeout = 408;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int statusInternalServerError = 500;
inline constexpr int statusServiceUnavailable = 503;

constexpr bool isSuccess(int status)
{
    return status >= statusOk && status < statusMultipleChoices;
}

// A caller concludes from these statuses that its request was not run.
constexpr bool impliesNotRun(int status)
{
    return status == statusTooManyRequests || status == statusServiceUnavailable || status == statusRequestTimeout;
}

} // namespace kumquat::router
