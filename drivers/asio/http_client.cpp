#include "drivers/asio/http_client.h"

#include "core/overloaded.h"
#include "drivers/http_parser/answer_reader.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <deque>
#include <netinet/tcp.h>
#include <unordered_map>

namespace kumquat {

namespace {

    constexpr std::size_t readBufferBytes = 65536;
    // Idle connections beyond this number are closed, for each server.
    constexpr std::size_t maxIdleForServer = 24;
    // How long an idle connection stays reusable if the server sends no Keep-Alive timeout.
    constexpr auto defaultIdleTimeout = std::chrono::seconds(4);
    // An idle connection expires this much earlier than at the server, so that no request is written to a connection
    // that the server is closing.
    constexpr auto idleMargin = std::chrono::milliseconds(800);
    // TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes stay unacknowledged for this long.
    constexpr auto unacknowledgedTimeout = std::chrono::milliseconds(1500);
    // TCP keep-alive probes detect an unreachable server while no bytes are in transit.
    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;

    using tcp = asio::ip::tcp;

    void setOption(tcp::socket& socket, int level, int name, int value)
    {
        ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
    }

    // Returns the idle timeout that the server announces as "timeout=N", in seconds, in the Keep-Alive header.
    std::optional<duration> announcedIdleTimeout(const http_answer_head& head)
    {
        constexpr std::string_view key = "timeout=";
        const auto* value = findHeader(head.headers, "Keep-Alive");
        if (!value)
            return std::nullopt;
        const auto at = value->find(key);
        if (at == std::string::npos)
            return std::nullopt;
        int seconds = 0;
        const auto* first = value->data() + at + key.size();
        if (std::from_chars(first, value->data() + value->size(), seconds).ec != std::errc())
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

    // One TCP connection to a server and the call that it carries, if any.
    struct link {
        std::uint64_t id = 0;
        tcp::socket socket;
        endpoint target;
        answer_reader reader;
        // The call in progress; zero while the connection is idle.
        call_id call = 0;
        expected_header identity;
        // Bytes of the request that have not been written to the socket.
        std::string unsent;
        std::unique_ptr<asio::steady_timer> connectTimer;
        // When the idle connection expires.
        instant idleUntil;
        duration idleTimeout = defaultIdleTimeout;
        bool connected = false;
        // At least one byte of the request has been written to the socket.
        bool sent = false;
        // The connection may carry another call after the current one.
        bool reusable = true;
        // The answer being read belongs to an earlier call; its body is discarded.
        bool skipping = false;
        bool paused = false;
        bool readWaiting = false;
        bool writeWaiting = false;

        link(asio::io_context& context, endpoint target)
            : socket(context)
            , target(std::move(target))
        {
        }
    };

} // namespace

struct http_client::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& context, handlers callbacks)
        : context(context)
        , callbacks(std::move(callbacks))
    {
    }

    link* find(std::uint64_t id);
    link* findCall(call_id);
    link* takeIdle(const endpoint&);
    void connect(http_call);
    void onConnected(link&, const asio::error_code&);
    void begin(link&, http_call);
    void flush(link&);
    void awaitWritable(link&);
    void awaitReadable(link&);
    void readSome(link&);
    void onReadEnd(link&, const asio::error_code&);
    void consume(link&, std::string_view);
    void handle(link&, const answer_part&);
    void finish(link&);
    void fail(link&, const std::string& reason);
    void close(link&);

    asio::io_context& context;
    handlers callbacks;
    std::unordered_map<std::uint64_t, std::unique_ptr<link>> links;
    std::unordered_map<call_id, std::uint64_t> calls;
    std::unordered_map<std::string, std::deque<std::uint64_t>> idle;
    std::array<char, readBufferBytes> buffer {};
    std::vector<answer_part> parts;
    std::uint64_t lastId = 0;
};

link* http_client::implementation::find(std::uint64_t id)
{
    const auto found = links.find(id);
    return found == links.end() ? nullptr : found->second.get();
}

link* http_client::implementation::findCall(call_id id)
{
    const auto found = calls.find(id);
    return found == calls.end() ? nullptr : find(found->second);
}

// Returns the most recently used idle connection to the server, since the server is least likely to have closed that one;
// closes the expired connections that it finds. Returns null if there is none.
link* http_client::implementation::takeIdle(const endpoint& target)
{
    const auto found = idle.find(formatEndpoint(target));
    if (found == idle.end())
        return nullptr;
    const auto now = std::chrono::steady_clock::now();
    while (!found->second.empty()) {
        auto* candidate = find(found->second.back());
        found->second.pop_back();
        if (!candidate)
            continue;
        if (candidate->idleUntil > now)
            return candidate;
        close(*candidate);
    }
    return nullptr;
}

void http_client::implementation::connect(http_call call)
{
    auto added = std::make_unique<link>(context, call.target);
    auto& opened = *added;
    opened.id = ++lastId;
    links.emplace(opened.id, std::move(added));
    opened.call = call.id;
    calls.emplace(call.id, opened.id);
    asio::error_code failure;
    const tcp::endpoint remote(asio::ip::make_address_v4(call.target.host, failure), call.target.port);
    if (!failure)
        opened.socket.open(tcp::v4(), failure);
    if (failure) {
        asio::post(context, [self = shared_from_this(), id = opened.id, reason = failure.message()] {
            if (auto* opened = self->find(id))
                self->fail(*opened, reason);
        });
        return;
    }
    opened.socket.non_blocking(true, failure);
    opened.connectTimer = std::make_unique<asio::steady_timer>(context, call.connectTimeout);
    opened.connectTimer->async_wait([self = shared_from_this(), id = opened.id](const asio::error_code& cancelled) {
        auto* opened = self->find(id);
        if (!cancelled && opened && !opened->connected)
            self->fail(*opened, "connect timeout");
    });
    opened.socket.async_connect(remote, [self = shared_from_this(), id = opened.id, call = std::move(call)](const asio::error_code& failure) mutable {
        auto* opened = self->find(id);
        if (!opened)
            return;
        self->onConnected(*opened, failure);
        if (self->find(id))
            self->begin(*opened, std::move(call));
    });
}

void http_client::implementation::onConnected(link& opened, const asio::error_code& failure)
{
    opened.connectTimer.reset();
    if (failure)
        return fail(opened, failure.message());
    opened.connected = true;
    asio::error_code ignored;
    opened.socket.set_option(tcp::no_delay(true), ignored);
    opened.socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setOption(opened.socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(opened.socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(opened.socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(opened.socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledgedTimeout.count()));
    callbacks.onConnected();
}

void http_client::implementation::begin(link& opened, http_call call)
{
    opened.call = call.id;
    calls[call.id] = opened.id;
    opened.identity = std::move(call.identity);
    opened.unsent = std::move(call.bytes);
    opened.sent = false;
    opened.reusable = true;
    opened.skipping = false;
    opened.paused = false;
    opened.reader.restart(call.toHeadRequest);
    const auto id = opened.id;
    flush(opened);
    if (auto* current = find(id))
        awaitReadable(*current);
}

void http_client::implementation::flush(link& opened)
{
    asio::error_code failure;
    const auto size = opened.socket.write_some(asio::buffer(opened.unsent), failure);
    if (failure && failure != asio::error::would_block && failure != asio::error::try_again) {
        // The server may have answered before it closed the connection, so read what it sent before failing the call.
        if (opened.sent)
            return awaitReadable(opened);
        asio::post(context, [self = shared_from_this(), id = opened.id, call = opened.call, reason = failure.message()] {
            auto* opened = self->find(id);
            if (opened && opened->call == call)
                self->fail(*opened, reason);
        });
        return;
    }
    opened.sent = opened.sent || size > 0;
    opened.unsent.erase(0, size);
    if (opened.unsent.empty()) {
        opened.unsent.shrink_to_fit();
        return;
    }
    awaitWritable(opened);
}

void http_client::implementation::awaitWritable(link& opened)
{
    if (opened.writeWaiting)
        return;
    opened.writeWaiting = true;
    opened.socket.async_wait(tcp::socket::wait_write, [self = shared_from_this(), id = opened.id](const asio::error_code& failure) {
        auto* opened = self->find(id);
        if (!opened)
            return;
        opened->writeWaiting = false;
        if (!failure && !opened->unsent.empty())
            self->flush(*opened);
    });
}

void http_client::implementation::awaitReadable(link& opened)
{
    if (opened.readWaiting || opened.paused)
        return;
    opened.readWaiting = true;
    opened.socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), id = opened.id](const asio::error_code& failure) {
        auto* opened = self->find(id);
        if (!opened)
            return;
        opened->readWaiting = false;
        if (!failure && !opened->paused)
            self->readSome(*opened);
    });
}

void http_client::implementation::readSome(link& opened)
{
    asio::error_code failure;
    const auto size = opened.socket.read_some(asio::buffer(buffer), failure);
    if (failure == asio::error::would_block || failure == asio::error::try_again)
        return awaitReadable(opened);
    if (failure)
        return onReadEnd(opened, failure);
    // Bytes on an idle connection answer no request, so the connection's framing cannot be trusted any more.
    if (opened.call == 0)
        return close(opened);
    const auto id = opened.id;
    consume(opened, { buffer.data(), size });
    if (auto* current = find(id))
        awaitReadable(*current);
}

void http_client::implementation::onReadEnd(link& opened, const asio::error_code& failure)
{
    if (opened.call == 0)
        return close(opened);
    const auto id = opened.id;
    if (failure == asio::error::eof && !opened.skipping) {
        opened.reusable = false;
        parts.clear();
        opened.reader.feedEnd(parts);
        const auto ended = std::move(parts);
        parts = {};
        for (const auto& part : ended) {
            if (!find(id))
                return;
            handle(opened, part);
        }
    }
    if (auto* current = find(id))
        fail(*current, failure.message());
}

void http_client::implementation::consume(link& opened, std::string_view bytes)
{
    const auto id = opened.id;
    const auto call = opened.call;
    while (!bytes.empty()) {
        parts.clear();
        const auto taken = opened.reader.feed(bytes, parts);
        bytes.remove_prefix(taken);
        // Bytes after the complete answer belong to no request, so the connection must not be reused.
        if (opened.reader.complete() && !opened.skipping && !bytes.empty())
            opened.reusable = false;
        const auto read = std::move(parts);
        parts = {};
        for (const auto& part : read) {
            handle(opened, part);
            const auto* current = find(id);
            if (!current || current->call != call)
                return;
        }
        if (opened.reader.malformed())
            return fail(opened, "malformed answer");
    }
}

void http_client::implementation::handle(link& opened, const answer_part& part)
{
    const auto visitor = overloaded {
        [&](const http_answer_head& head) {
            const auto* identity = opened.identity.header.empty() ? nullptr : findHeader(head.headers, opened.identity.header);
            opened.skipping = identity && *identity != opened.identity.value;
            if (const auto announced = announcedIdleTimeout(head))
                opened.idleTimeout = *announced;
            opened.reusable = opened.reusable && head.keepAlive;
            if (!opened.skipping)
                callbacks.onHead(opened.call, head);
        },
        [&](const answer_body_bytes& body) {
            if (!opened.skipping)
                callbacks.onBody(opened.call, body.bytes);
        },
        [&](const answer_body_end&) {
            if (!opened.skipping)
                return finish(opened);
            opened.reader.restart(false);
        },
    };
    std::visit(visitor, part);
}

void http_client::implementation::finish(link& opened)
{
    const auto call = opened.call;
    calls.erase(call);
    opened.call = 0;
    auto& kept = idle[formatEndpoint(opened.target)];
    // If the server answered before it read the complete request, it still expects the remaining bytes: the connection is
    // reusable only when all of the request was written.
    const bool keep = opened.reusable && opened.unsent.empty() && opened.idleTimeout > idleMargin && kept.size() < maxIdleForServer;
    if (keep) {
        opened.idleUntil = std::chrono::steady_clock::now() + opened.idleTimeout - idleMargin;
        kept.push_back(opened.id);
    } else
        close(opened);
    callbacks.onEnd(call);
}

void http_client::implementation::fail(link& opened, const std::string& reason)
{
    const auto call = opened.call;
    const bool sent = opened.sent;
    close(opened);
    if (call != 0)
        callbacks.onFailed(call, { sent, reason });
}

void http_client::implementation::close(link& opened)
{
    asio::error_code ignored;
    opened.socket.close(ignored);
    if (opened.call != 0)
        calls.erase(opened.call);
    const auto kept = idle.find(formatEndpoint(opened.target));
    if (kept != idle.end())
        std::erase(kept->second, opened.id);
    links.erase(opened.id);
}

http_client::http_client(reactor& owner, handlers callbacks)
    : m_implementation(std::make_shared<implementation>(owner.context(), std::move(callbacks)))
{
}

http_client::~http_client()
{
    m_implementation->links.clear();
}

void http_client::start(http_call call)
{
    if (auto* kept = m_implementation->takeIdle(call.target))
        return m_implementation->begin(*kept, std::move(call));
    m_implementation->connect(std::move(call));
}

void http_client::cancel(call_id id)
{
    if (auto* busy = m_implementation->findCall(id))
        m_implementation->close(*busy);
}

void http_client::pause(call_id id, bool paused)
{
    auto* busy = m_implementation->findCall(id);
    if (!busy)
        return;
    busy->paused = paused;
    if (!paused)
        m_implementation->awaitReadable(*busy);
}

void http_client::forget(const endpoint& target)
{
    const auto found = m_implementation->idle.find(formatEndpoint(target));
    if (found == m_implementation->idle.end())
        return;
    const auto kept = std::move(found->second);
    m_implementation->idle.erase(found);
    for (const auto id : kept) {
        if (auto* idleLink = m_implementation->find(id))
            m_implementation->close(*idleLink);
    }
}

std::size_t http_client::connectionCount() const
{
    return m_implementation->links.size();
}

} // namespace kumquat
