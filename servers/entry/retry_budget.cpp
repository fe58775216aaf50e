#include "servers/entry/retry_budget.h"

#include <algorithm>

namespace kumquat {

void retry_budget::addSuccess(const std::string& service, instant now)
{
    auto& balance = refilledBalance(service, now);
    balance.tokens = std::min(m_options.limit, balance.tokens + m_options.shareOfSuccesses);
}

bool retry_budget::take(const std::string& service, instant now)
{
    auto& balance = refilledBalance(service, now);
    if (balance.tokens < 1)
        return false;
    balance.tokens -= 1;
    return true;
}

retry_budget::balance& retry_budget::refilledBalance(const std::string& service, instant now)
{
    const auto [position, isNew] = m_balances.try_emplace(service, balance { m_options.limit, now });
    auto& balance = position->second;
    const double elapsed = std::chrono::duration<double>(now - balance.refilledAt).count();
    balance.tokens = std::min(m_options.limit, balance.tokens + elapsed * m_options.floorPerSecond);
    balance.refilledAt = now;
    return balance;
}

} // namespace kumquat
