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
    auto& serviceWindow = m_services[service];
    evictExpired(serviceWindow, now);
    serviceWindow.requests.push_back(now);
}

bool retry_limiter::takeRetry(const std::string& service, instant now)
{
    auto& serviceWindow = m_services[service];
    evictExpired(serviceWindow, now);
    const auto allowed = m_options.ratio * static_cast<double>(serviceWindow.requests.size()) + m_options.allowance;
    if (static_cast<double>(serviceWindow.retries.size()) + 1 > allowed)
        return false;
    serviceWindow.retries.push_back(now);
    return true;
}

void retry_limiter::evictExpired(retry_window& serviceWindow, instant now) const
{
    const auto oldest = now - m_options.window;
    while (!serviceWindow.requests.empty() && serviceWindow.requests.front() < oldest)
        serviceWindow.requests.pop_front();
    while (!serviceWindow.retries.empty() && serviceWindow.retries.front() < oldest)
        serviceWindow.retries.pop_front();
}

} // namespace kumquat::router
