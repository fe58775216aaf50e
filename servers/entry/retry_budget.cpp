#include "servers/entry/retry_budget.h"

#include <algorithm>

namespace kumquat {

void retry_budget::addSuccess(const std::string& service, instant now)
{
    auto& balance = refilledBalance(service, now);
    balance.tokens = std::min(m_options.maxBalance, balance.tokens + m_options.retriesPerSuccess);
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
    const auto [position, isNew] = m_balances.try_emplace(service, balance { m_options.maxBalance, now });
    auto& balance = position->second;
    const double elapsed = std::chrono::duration<double>(now - balance.refilledAt).count();
    balance.tokens = std::min(m_options.maxBalance, balance.tokens + elapsed * m_options.baseRetriesPerSecond);
    balance.refilledAt = now;
    return balance;
}

} // namespace kumquat
