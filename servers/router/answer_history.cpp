#include "servers/router/answer_history.h"

#include <utility>

namespace kumquat::router {

namespace {

    constexpr std::size_t maxAnswersPerGeneration = 4096;

} // namespace

void answer_history::record(const crash_suspect& suspect, observed_answer answer)
{
    ++m_recordedCount;
    if (m_recent.size() >= maxAnswersPerGeneration)
        m_older = std::exchange(m_recent, {});
    auto& latest = m_recent[suspect];
    if (latest.at < answer.at)
        latest = answer;
}

std::optional<observed_answer> answer_history::find(const crash_suspect& suspect) const
{
    const auto recent = m_recent.find(suspect);
    if (recent != m_recent.end())
        return recent->second;
    const auto older = m_older.find(suspect);
    return older == m_older.end() ? std::nullopt : std::optional(older->second);
}

} // namespace kumquat::router
