#include "drivers/asio/http_client_connections.h"

namespace kumquat {

http_client::http_client(reactor& loop, connection_guard& guard, handlers callbacks)
    : m_implementation(std::make_shared<implementation>(loop.context(), guard, std::move(callbacks)))
{
}

http_client::~http_client()
{
    m_implementation->connections.clear();
}

void http_client::start(http_call call)
{
    if (auto* connection = m_implementation->takeIdle(call))
        return m_implementation->startCall(*connection, std::move(call));
    m_implementation->connect(std::move(call));
}

void http_client::cancel(call_id id)
{
    if (auto* connection = m_implementation->findConnectionOf(id))
        m_implementation->close(*connection);
}

void http_client::setPaused(call_id id, bool paused)
{
    auto* connection = m_implementation->findConnectionOf(id);
    if (!connection)
        return;
    connection->paused = paused;
    if (!paused)
        m_implementation->awaitReadable(*connection);
}

void http_client::recordPassedOn(call_id id)
{
    auto* connection = m_implementation->findConnectionOf(id);
    if (!connection || connection->keptAnswerBytes == 0)
        return;
    connection->keptAnswerBytes = 0;
    m_implementation->track(*connection);
}

void http_client::distrustIdleConnections()
{
    m_implementation->trust.distrust(std::chrono::steady_clock::now());
}

void http_client::closeIdleConnections(const endpoint& target)
{
    m_implementation->closeIdle(target);
}

std::size_t http_client::connectionCount() const
{
    return m_implementation->connections.size();
}

} // namespace kumquat
