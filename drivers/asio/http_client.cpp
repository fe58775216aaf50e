#include "drivers/asio/http_client_connections.h"

namespace kumquat {

http_client::http_client(reactor& loop, connection_guard& guard, handlers callbacks, connection_side side)
    : m_implementation(std::make_shared<implementation>(loop.context(), guard, std::move(callbacks), side))
{
    m_implementation->owner = guard.addOwner([weak = std::weak_ptr(m_implementation)](std::uint64_t id) {
        if (const auto self = weak.lock())
            self->endAtMemoryBound(id);
    });
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

void http_client::recordPartialEvent(call_id id, std::size_t keptBytes)
{
    auto* connection = m_implementation->findConnectionOf(id);
    if (!connection || (connection->keptBodyBytes == keptBytes && connection->partialEventBytes == keptBytes))
        return;
    connection->keptBodyBytes = keptBytes;
    connection->partialEventBytes = keptBytes;
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
