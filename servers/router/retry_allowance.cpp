#include "servers/router/retry_allowance.h"

namespace kumquat::router {

retry_allowance::retry_allowance(retry_allowance_options options)
    : m_options(options)
{
}

void retry_allowance::setOptions(retry_allowance_options options)
{
    m_options = options;
}

void retry_allowance::recordFirst(const std::string& service, instant now)
{
    auto& used = m_services[service];
    forgetOld(used, now);
    used.first.push_back(now);
}

bool retry_allowance::take(const std::string& service, instant now)
{
    auto& used = m_services[service];
    forgetOld(used, now);
    const auto allowed = m_options.ratio * static_cast<double>(used.first.size()) + m_options.allowance;
    if (static_cast<double>(used.again.size()) + 1 > allowed)
        return false;
    used.again.push_back(now);
    return true;
}

void retry_allowance::forgetOld(usage& used, instant now) const
{
    const auto oldest = now - m_options.window;
    while (!used.first.empty() && used.first.front() < oldest)
        used.first.pop_front();
    while (!used.again.empty() && used.again.front() < oldest)
        used.again.pop_front();
}

} // namespace kumquat::router
