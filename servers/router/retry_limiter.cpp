#include "servers/router/retry_limiter.h"

namespace kumquat::router {

retry_limiter::retry_limiter(retry_limiter_options options)
    : m_options(options)
{
}

void retry_limiter::setOptions(retry_limiter_options options)
{
    m_options = options;
}

void retry_limiter::recordRequest(const std::string& service, instant now)
{
    auto& current = m_services[service];
    evictExpired(current, now);
    current.requests.push_back(now);
}

bool retry_limiter::takeRetry(const std::string& service, instant now)
{
    auto& current = m_services[service];
    evictExpired(current, now);
    const auto allowed = m_options.ratio * static_cast<double>(current.requests.size()) + m_options.allowance;
    if (static_cast<double>(current.retries.size()) + 1 > allowed)
        return false;
    current.retries.push_back(now);
    return true;
}

void retry_limiter::evictExpired(retry_window& current, instant now) const
{
    const auto oldest = now - m_options.window;
    while (!current.requests.empty() && current.requests.front() < oldest)
        current.requests.pop_front();
    while (!current.retries.empty() && current.retries.front() < oldest)
        current.retries.pop_front();
}

} // namespace kumquat::router
