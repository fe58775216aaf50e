// Clients of one deployment, with its mix and rates. They keep connections and reuse them, never close one themselves, send some bodies
// slowly or in chunks and a few requests ahead of the answers, and take up streams that break off. A line is noted of each request.

#include "tests/lost/lost_channel.h"
#include "tests/lost/lost_site.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <memory>

namespace {

using asio::ip::tcp;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr double reuseShare = 0.8;
constexpr double followUpShare = 0.3;
constexpr double slowShare = 0.1;
constexpr double chunkedShare = 0.15;
constexpr double pipelinedShare = 0.02;
// How long after its deadline a client still waits, to see how the request ends.
constexpr int patienceMs = 4000;
constexpr int maxTakeUps = 3;

struct router_state {
    std::uint16_t port = 0;
    std::uint16_t readyPort = 0;
    int missedProbes = 2;
    std::vector<std::shared_ptr<struct kept_connection>> idle;

    bool isInRotation() const { return missedProbes < 2; }
};

struct kept_connection {
    kept_connection(tcp::socket socket, std::uint16_t port)
        : channel(std::move(socket))
        , router(port)
    {
    }

    lost_channel channel;
    // The port of the router that it was opened to.
    std::uint16_t router;
    int requests = 0;
    steady::time_point idleSince;
};

struct request_note {
    std::string id;
    std::int64_t connectedAt = 0;
    std::int64_t firstSentAt = 0;
    // 0 if not all was sent.
    std::int64_t lastSentAt = 0;
    std::int64_t firstReadAt = 0;
    std::string end = "timeout";
    int status = 0;
    bool isReused = false;
    std::string form = "plain";
};

// A stream over the requests of its consumer.
struct stream_progress {
    std::string firstRequest;
    int lastEvent = 0;
    std::string unread;

    void take(const std::string& bytes, const std::string& id)
    {
        unread += bytes;
        for (auto end = unread.find("\n\n"); end != std::string::npos; end = unread.find("\n\n")) {
            lastEvent = std::atoi(unread.c_str() + 4);
            unread.erase(0, end + 2);
            if (firstRequest.empty())
                firstRequest = id;
        }
    }
};

class lost_clients {
public:
    lost_clients(asio::io_context& context, lost_site site, unsigned seed, double load, std::size_t connections, const std::string& notes)
        : m_context(context)
        , m_site(std::move(site))
        , m_idPrefix(std::to_string(seed) + "-")
        , m_load(load)
        , m_maxIdle(connections)
        , m_random(seed)
        , m_notes(notes)
    {
    }

    void addRouter(int port, int readyPort)
    {
        m_routers.push_back({ static_cast<std::uint16_t>(port), static_cast<std::uint16_t>(readyPort) });
        asio::co_spawn(m_context, probe(m_routers.size() - 1), asio::detached);
    }

    asio::awaitable<void> run(std::chrono::seconds duration)
    {
        const auto end = steady::now() + duration;
        std::exponential_distribution<double> interval(m_site.requestsPerSecond * m_load);
        while (steady::now() < end) {
            co_await sleep(std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(interval(m_random))));
            asio::co_spawn(m_context, consume(drawClass()), asio::detached);
        }
        while (m_consumers > 0)
            co_await sleep(milliseconds(50));
        m_context.stop();
    }

private:
    bool draw(double share) { return std::bernoulli_distribution(share)(m_random); }

    const lost_class& drawClass()
    {
        std::vector<double> weights;
        for (const auto& kind : m_site.classes)
            weights.push_back(kind.weight);
        return m_site.classes[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random)];
    }

    asio::awaitable<void> sleep(steady::duration span)
    {
        asio::steady_timer timer(m_context, span);
        co_await timer.async_wait(lostAwait);
    }

    static void cancelAfter(asio::steady_timer& timer, milliseconds span, const std::shared_ptr<kept_connection>& connection)
    {
        timer.expires_after(span);
        timer.async_wait([connection](const asio::error_code& cancelled) {
            if (!cancelled)
                connection->channel.socket().cancel();
        });
    }

    // Asks a router once a second whether it is ready, as the platform does.
    asio::awaitable<void> probe(std::size_t number)
    {
        while (true) {
            tcp::socket socket(m_context);
            const auto [failure] = co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), m_routers[number].readyPort }, lostAwait);
            const auto connection = std::make_shared<kept_connection>(std::move(socket), m_routers[number].readyPort);
            asio::steady_timer limit(m_context);
            cancelAfter(limit, std::chrono::seconds(1), connection);
            bool isReady = false;
            if (!failure && co_await connection->channel.send("GET /readyz HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n")) {
                const auto head = co_await connection->channel.readHead();
                isReady = head && head->status() == 200;
            }
            limit.cancel();
            m_routers[number].missedProbes = isReady ? 0 : m_routers[number].missedProbes + 1;
            co_await sleep(std::chrono::seconds(1));
        }
    }

    // Serves one consumer: a request, its take-ups if it is a stream that breaks off, and at times another one at once.
    asio::awaitable<void> consume(const lost_class& kind)
    {
        const lost_class* next = &kind;
        std::shared_ptr<kept_connection> connection;
        const std::shared_ptr<void> counted(nullptr, [this](void*) { --m_consumers; });
        ++m_consumers;
        while (next != nullptr) {
            stream_progress progress;
            const auto prompt = drawPrompt(*next);
            for (int tries = 0; tries <= maxTakeUps; ++tries) {
                if (!connection)
                    connection = co_await obtain(tries > 0);
                if (!connection)
                    co_return;
                request_note note;
                note.isReused = connection->requests++ > 0;
                co_await sendOne(connection, *next, prompt, progress, note);
                const bool isReusable = note.end == "answer";
                if (!isReusable)
                    connection.reset();
                if (note.end == "answer" || note.end == "answer_closing" || progress.lastEvent == 0 || !next->isResumable)
                    break;
            }
            next = connection && draw(followUpShare) ? &drawClass() : nullptr;
        }
        if (connection)
            keep(connection);
    }

    void keep(const std::shared_ptr<kept_connection>& connection)
    {
        connection->idleSince = steady::now();
        for (auto& router : m_routers) {
            if (router.port == connection->router)
                router.idle.push_back(connection);
        }
    }

    // Returns a kept connection or a new one to a router that is in rotation, or nothing if none can be opened.
    asio::awaitable<std::shared_ptr<kept_connection>> obtain(bool mustBeNew)
    {
        auto& chosen = m_routers[m_random() % m_routers.size()];
        while (!mustBeNew && !chosen.idle.empty() && (draw(reuseShare) || chosen.idle.size() >= m_maxIdle)) {
            const auto position = chosen.idle.begin() + static_cast<std::ptrdiff_t>(m_random() % chosen.idle.size());
            auto connection = *position;
            chosen.idle.erase(position);
            if (steady::now() - connection->idleSince < milliseconds(idleTimeoutMs * 4 / 5) && !connection->channel.isReadable())
                co_return connection;
        }
        std::vector<std::uint16_t> ports;
        for (const auto& router : m_routers) {
            if (router.isInRotation())
                ports.push_back(router.port);
        }
        // If fewer than half are in rotation, the platform uses all.
        if (ports.size() * 2 < m_routers.size()) {
            ports.clear();
            for (const auto& router : m_routers)
                ports.push_back(router.port);
        }
        const auto port = ports[m_random() % ports.size()];
        tcp::socket socket(m_context);
        const auto [failure] = co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, lostAwait);
        if (failure)
            co_return nullptr;
        socket.set_option(tcp::no_delay(true));
        co_return std::make_shared<kept_connection>(std::move(socket), port);
    }

    // The fields of the request that describe its prompt.
    std::string drawPrompt(const lost_class& kind)
    {
        if (!kind.isStream())
            return {};
        const auto part = m_random() % static_cast<unsigned>(kind.sharedParts);
        // The length of a shared part depends on the part alone.
        std::mt19937 partRandom(part);
        const int shared = static_cast<int>(kind.sharedTokens.draw(partRandom));
        const int own = 1 + static_cast<int>(kind.ownTokens.draw(m_random));
        const int output = m_site.stride * (1 + static_cast<int>(kind.pieces.draw(m_random)));
        return "X-Model: m\r\nX-Token-Usage: " + std::to_string(shared + own) + "," + std::to_string(output) + "\r\nX-Prompt-Prefix: a" + std::to_string(part) + kind.name.substr(0, 1) + ":" + std::to_string(shared) + ",b" + std::to_string(m_random()) + ":" + std::to_string(own) + "\r\nX-Length-Hint: " + std::to_string(output) + "\r\n";
    }

    std::string headOf(const lost_class& kind, const std::string& id, const std::string& fields) const
    {
        return (kind.kind == "idempotent" ? "GET " : "POST ") + kind.path() + "x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + (id.back() % 5 == 0 ? "second-key" : "key") + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(kind.deadlineMs) + "\r\n" + fields + "\r\n";
    }

    asio::awaitable<void> sendOne(std::shared_ptr<kept_connection> connection, const lost_class& kind, std::string fields, stream_progress& progress, request_note& note)
    {
        note.id = m_idPrefix + std::to_string(m_requestCount++);
        note.connectedAt = unixMicroseconds();
        if (progress.lastEvent > 0) {
            fields += "Last-Event-Id: " + std::to_string(progress.lastEvent) + "\r\nResumes: " + progress.firstRequest + "\r\n";
            note.form = "take_up";
        }
        const bool hasBody = kind.kind != "idempotent";
        const std::string body(hasBody ? static_cast<std::size_t>(kind.bodyBytes.draw(m_random)) : 0, 'x');
        const bool isChunked = hasBody && draw(chunkedShare);
        const bool isSlow = hasBody && draw(slowShare);
        const bool isPipelined = !hasBody && draw(pipelinedShare);
        if (isChunked)
            fields += "Transfer-Encoding: chunked\r\n";
        else if (hasBody)
            fields += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (note.form == "plain")
            note.form = isPipelined ? "pipelined" : isSlow ? "slow"
                : isChunked                                ? "chunked"
                                                           : "plain";
        auto text = headOf(kind, note.id, fields) + (isChunked ? chunked(body) : body);
        const auto secondId = note.id + "p";
        if (isPipelined)
            text += headOf(kind, secondId, fields);
        asio::steady_timer limit(m_context);
        cancelAfter(limit, milliseconds(kind.deadlineMs + patienceMs), connection);
        auto& channel = connection->channel;
        note.firstSentAt = unixMicroseconds();
        bool isSent = true;
        if (isSlow) {
            const auto half = text.size() - body.size() / 2;
            isSent = co_await channel.send(text.substr(0, half));
            co_await sleep(milliseconds(200 + m_random() % 2400));
            text.erase(0, half);
        }
        // A client whose request is answered or closed early reads that and sends nothing more.
        if (isSent && (!isSlow || !channel.isReadable()) && co_await channel.send(text))
            note.lastSentAt = unixMicroseconds();
        co_await readAnswer(channel, progress, note);
        writeNote(kind, *connection, note);
        if (isPipelined) {
            request_note second = note;
            second.id = secondId;
            second.status = 0;
            second.firstReadAt = 0;
            if (note.end == "answer")
                co_await readAnswer(channel, progress, second);
            else if (note.end == "answer_closing")
                second.end = "not_read";
            writeNote(kind, *connection, second);
            note.end = second.end;
        }
        limit.cancel();
        // The client leaves a connection open until the router closes it.
        if (note.end == "answer_closing")
            asio::co_spawn(m_context, awaitClose(std::move(channel.socket())), asio::detached);
    }

    static std::string chunked(const std::string& body)
    {
        std::ostringstream text;
        constexpr std::size_t chunkBytes = 3000;
        for (std::size_t begin = 0; begin < body.size(); begin += chunkBytes)
            text << std::hex << std::min(chunkBytes, body.size() - begin) << "\r\n"
                 << body.substr(begin, chunkBytes) << "\r\n";
        text << "0\r\n\r\n";
        return text.str();
    }

    static asio::awaitable<void> awaitClose(tcp::socket socket)
    {
        lost_channel channel(std::move(socket));
        while (co_await channel.fill()) { }
    }

    static asio::awaitable<void> readAnswer(lost_channel& channel, stream_progress& progress, request_note& note)
    {
        progress.unread.clear();
        const auto head = co_await channel.readHead();
        if (head) {
            note.firstReadAt = unixMicroseconds();
            note.status = head->status();
        }
        const bool isStream = head && note.status == 200 && head->value("Content-Type").starts_with("text/event-stream");
        const bool isComplete = head && co_await channel.readBody(*head, [&progress, &note, isStream](const std::string& bytes) {
            if (isStream)
                progress.take(bytes, note.id);
        });
        if (isComplete)
            note.end = head->closes() ? "answer_closing" : "answer";
        else if (channel.failure() == asio::error::eof)
            note.end = "close";
        else if (channel.failure() != asio::error::operation_aborted)
            note.end = "reset";
    }

    void writeNote(const lost_class& kind, const kept_connection& connection, const request_note& note)
    {
        m_notes << note.id << ' ' << connection.router << ' ' << kind.name << ' ' << (kind.isIdempotent() ? "repeatable" : "once") << ' ' << (kind.isStream() ? "stream" : "plain") << ' ' << note.form << ' ' << (note.isReused ? "kept" : "new") << ' '
                << std::min(kind.deadlineMs, kind.timeoutMs) << ' ' << note.connectedAt << ' ' << note.firstSentAt << ' ' << note.lastSentAt << ' ' << note.firstReadAt << ' ' << unixMicroseconds() << ' ' << note.end << ' ' << note.status << std::endl;
    }

    asio::io_context& m_context;
    lost_site m_site;
    std::string m_idPrefix;
    double m_load;
    std::size_t m_maxIdle;
    std::mt19937 m_random;
    std::ofstream m_notes;
    int m_requestCount = 0;
    int m_consumers = 0;
    std::vector<router_state> m_routers;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 9 || argumentCount % 2 != 1) {
        std::cerr << "usage: lost-clients SITE SEED SECONDS LOAD KEPT_CONNECTIONS NOTES ROUTER_PORT READY_PORT...\n";
        return 2;
    }
    asio::io_context context;
    lost_clients clients(context, lostSite(arguments[1]), static_cast<unsigned>(std::atoi(arguments[2])), std::atof(arguments[4]), static_cast<std::size_t>(std::atoi(arguments[5])), arguments[6]);
    for (int index = 7; index + 1 < argumentCount; index += 2)
        clients.addRouter(std::atoi(arguments[index]), std::atoi(arguments[index + 1]));
    asio::co_spawn(context, clients.run(std::chrono::seconds(std::atoi(arguments[3]))), asio::detached);
    context.run();
    return 0;
}
