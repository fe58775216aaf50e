#include "drivers/asio/http_server.h"

#include "drivers/asio/http_server_connections.h"

#include <algorithm>
#include <utility>

namespace kumquat {

http_server::http_server(std::shared_ptr<implementation> opened)
    : m_implementation(std::move(opened))
{
}

http_server::~http_server()
{
    m_implementation->acceptor->close();
    m_implementation->timeoutCheckTimer.cancel();
    m_implementation->connections.clear();
}

result<std::unique_ptr<http_server>> http_server::open(reactor& loop, connection_guard& guard, const endpoint& address, handlers callbacks)
{
    auto opened = std::make_shared<implementation>(loop.context(), guard, std::move(callbacks));
    if (const auto failure = opened->listen(address))
        return *failure;
    opened->scheduleTimeoutCheck();
    return std::unique_ptr<http_server>(new http_server(std::move(opened)));
}

void http_server::setLimits(const caller_limits& limits)
{
    m_implementation->limits = limits;
}

void http_server::beginAnswer(connection_id id, const http_answer_head& head)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return;
    connection->state.beginAnswer(head, m_implementation->mayStayOpen(*connection));
    m_implementation->flush(*connection);
}

bool http_server::appendAnswer(connection_id id, std::string_view bytes)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return true;
    connection->state.appendAnswer(bytes);
    m_implementation->flush(*connection);
    m_implementation->track(*connection);
    connection->throttled = connection->state.unsent().size() > m_implementation->guard.budget().maxUnsentBytes();
    return !connection->throttled;
}

void http_server::finishAnswer(connection_id id)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return;
    connection->state.finishAnswer(std::chrono::steady_clock::now());
    m_implementation->endAnswer(*connection);
}

void http_server::answer(connection_id id, const http_answer_head& head, std::string_view body)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return;
    connection->state.beginAnswer(head, m_implementation->mayStayOpen(*connection));
    connection->state.appendAnswer(body);
    connection->state.finishAnswer(std::chrono::steady_clock::now());
    m_implementation->endAnswer(*connection);
}

void http_server::abortAnswer(connection_id id)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return;
    connection->state.abortAnswer(std::chrono::steady_clock::now());
    m_implementation->endAnswer(*connection);
}

void http_server::closeAfterAnswers()
{
    m_implementation->closingAfterAnswers = true;
}

bool http_server::hasUnsentAnswers() const
{
    const auto& connections = m_implementation->connections;
    return std::any_of(connections.begin(), connections.end(), [](const auto& item) { return !item.second->state.unsent().empty(); });
}

void http_server::closeListenerAndIdleConnections()
{
    // What waits at a bound is accepted by a later call, as places become free.
    if (m_implementation->acceptor->acceptWaiting())
        m_implementation->acceptor->close();
    for (const auto id : m_implementation->connectionIds())
        m_implementation->closeQuiet(id);
}

bool http_server::hasOpenConnections() const
{
    return !m_implementation->connections.empty();
}

void http_server::refuseUnreadRequests()
{
    m_implementation->acceptor->close();
    for (const auto id : m_implementation->connectionIds())
        m_implementation->refuseUnread(id);
}

void http_server::endConnections()
{
    m_implementation->isEnding = true;
    for (const auto id : m_implementation->connectionIds())
        m_implementation->end(id);
}

connection_census http_server::census() const
{
    connection_census counts;
    for (const auto& [id, connection] : m_implementation->connections) {
        switch (connection->state.current()) {
        case server_connection::phase::idle:
            ++counts.idle;
            break;
        case server_connection::phase::reading:
            ++counts.reading;
            break;
        case server_connection::phase::answering:
            ++counts.answering;
            break;
        case server_connection::phase::sending:
            ++counts.sending;
            break;
        case server_connection::phase::closing:
            ++counts.closing;
            break;
        }
        counts.unread += connection->hasUnreadBytes() ? 1 : 0;
    }
    return counts;
}

} // namespace kumquat
