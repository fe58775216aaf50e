#include "drivers/http/caller_server.h"

#include "core/overloaded.h"
#include "drivers/http/caller_channel.h"
#include "drivers/http/connection_stream.h"
#include "drivers/http/worker_pool.h"
#include "drivers/json/completion_codec.h"
#include "drivers/openssl/digest.h"

#include <atomic>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>

namespace kumquat {

namespace {

    constexpr int readTimeoutMs = 10'000;
    constexpr int writeTimeoutMs = 30'000;
    constexpr int keepAliveTimeoutMs = 5'000;
    // An idle connection checks at this interval whether the server is closing.
    constexpr int keepAlivePollMs = 100;
    // A thread that waits for an answer checks at this interval whether its caller has disconnected.
    constexpr std::chrono::milliseconds callerCheckInterval { 100 };
    constexpr const char* requestIdHeader = "X-Kumquat-Request-Id";
    constexpr const char* jsonType = "application/json";
    constexpr const char* eventStreamType = "text/event-stream";
    constexpr std::string_view bearerPrefix = "Bearer ";

    // Socket of the connection that the current thread serves; used to detect that the caller has disconnected.
    thread_local socket_t currentSocket = INVALID_SOCKET;

    class pool_task_queue final : public httplib::TaskQueue {
    public:
        explicit pool_task_queue(std::size_t threads)
            : m_pool(threads)
        {
        }
        void enqueue(std::function<void()> task) override { m_pool.submit(std::move(task)); }
        void shutdown() override { m_pool.shutdown(); }

    private:
        worker_pool m_pool;
    };

    // Stores the socket of each connection in currentSocket while the connection is served, because the library does not
    // pass the socket to request handlers.
    class socket_aware_server final : public httplib::Server {
    public:
        // Stops accepting connections and lets active answers finish. The library's stop() would also abort answers that
        // are being streamed.
        void closeListener()
        {
            if (m_closing.exchange(true))
                return;
            ::shutdown(svr_sock_, SHUT_RDWR);
        }

    private:
        bool process_and_close_socket(socket_t socket) override
        {
            connection_stream stream(socket, readTimeoutMs, writeTimeoutMs);
            currentSocket = socket;
            bool succeeded = false;
            while (waitForRequest(socket)) {
                bool closed = false;
                succeeded = process_request(stream, false, closed, nullptr);
                if (!succeeded || closed)
                    break;
            }
            currentSocket = INVALID_SOCKET;
            ::shutdown(socket, SHUT_RDWR);
            ::close(socket);
            return succeeded;
        }

        bool waitForRequest(socket_t socket) const
        {
            for (int waitedMs = 0; waitedMs < keepAliveTimeoutMs; waitedMs += keepAlivePollMs) {
                if (m_closing)
                    return false;
                if (waitReadable(socket, keepAlivePollMs))
                    return true;
            }
            return false;
        }

        std::atomic<bool> m_closing { false };
    };

    // Returns the SHA-256 digest of the request's bearer token in hexadecimal, or an empty string without a token.
    std::string keyDigestOf(const httplib::Request& request)
    {
        const auto header = request.get_header_value("Authorization");
        if (!header.starts_with(bearerPrefix))
            return "";
        return sha256Hex(std::string_view(header).substr(bearerPrefix.size()));
    }

    caller_request toCallerRequest(const httplib::Request& from)
    {
        caller_request to;
        to.method = from.method;
        to.path = from.target.empty() ? from.path : from.target;
        to.contentType = from.get_header_value("Content-Type");
        to.keyDigest = keyDigestOf(from);
        to.className = from.get_header_value("X-Kumquat-Class");
        to.idempotencyKey = from.get_header_value("Idempotency-Key");
        to.body = from.body;
        if (from.path.starts_with("/v1/")) {
            to.path = from.path;
            to.completion = parseCompletion(from.path, from.body);
            const auto* summary = std::get_if<completion_summary>(&to.completion);
            to.format = completionFormat(from.path, summary && summary->streaming);
        }
        return to;
    }

    bool isStream(answer_format format)
    {
        return format == answer_format::chat_stream || format == answer_format::completion_stream;
    }

    void writeError(httplib::Response& response, const std::string& requestId, const caller_error& failure)
    {
        response.status = httpStatus(failure.code);
        if (!requestId.empty())
            response.set_header(requestIdHeader, requestId);
        if (failure.retryAfter) {
            const auto wait = std::chrono::ceil<std::chrono::seconds>(*failure.retryAfter);
            response.set_header("Retry-After", std::to_string(wait.count()));
        }
        response.set_content(formatError(requestId, failure), jsonType);
    }

} // namespace

struct caller_server::implementation {
    options settings;
    handlers callbacks;
    socket_aware_server server;
    std::thread thread;
    std::mutex mutex;
    std::unordered_map<channel_id, std::shared_ptr<caller_channel>> channels;
    channel_id nextChannel = 1;

    std::pair<channel_id, std::shared_ptr<caller_channel>> openChannel()
    {
        const std::lock_guard lock(mutex);
        const auto id = nextChannel++;
        auto channel = std::make_shared<caller_channel>();
        channels.emplace(id, channel);
        return { id, channel };
    }

    void closeChannel(channel_id id)
    {
        const std::lock_guard lock(mutex);
        channels.erase(id);
    }

    void push(channel_id id, channel_item item)
    {
        std::shared_ptr<caller_channel> channel;
        {
            const std::lock_guard lock(mutex);
            const auto found = channels.find(id);
            if (found == channels.end())
                return;
            channel = found->second;
        }
        channel->push(std::move(item));
    }

    void serve(const httplib::Request&, httplib::Response&);
    void writeComplete(channel_id, const std::shared_ptr<caller_channel>&, const begin_answer&, httplib::Response&);
    void writeStream(channel_id, const std::shared_ptr<caller_channel>&, const begin_answer&, httplib::Response&);
    std::optional<channel_item> awaitItem(channel_id, caller_channel&);
    void setRoutes();
};

// Waits for the next item of the answer. If the caller disconnects first, reports that to the handler and returns nothing.
std::optional<channel_item> caller_server::implementation::awaitItem(channel_id id, caller_channel& channel)
{
    while (true) {
        if (auto item = channel.pop(callerCheckInterval))
            return item;
        if (isClosedByPeer(currentSocket)) {
            callbacks.onDisconnected(id);
            return std::nullopt;
        }
    }
}

void caller_server::implementation::serve(const httplib::Request& request, httplib::Response& response)
{
    const auto [id, channel] = openChannel();
    callbacks.onRequest(id, toCallerRequest(request));
    const auto firstItem = awaitItem(id, *channel);
    if (!firstItem) {
        closeChannel(id);
        return;
    }
    if (const auto* failure = std::get_if<fail_answer>(&*firstItem)) {
        writeError(response, failure->requestId, failure->error);
        closeChannel(id);
        return;
    }
    const auto answerStart = std::get<begin_answer>(*firstItem);
    response.set_header(requestIdHeader, answerStart.requestId);
    if (isStream(answerStart.format))
        writeStream(id, channel, answerStart, response);
    else
        writeComplete(id, channel, answerStart, response);
}

void caller_server::implementation::writeComplete(channel_id id, const std::shared_ptr<caller_channel>& channel, const begin_answer& answerStart, httplib::Response& response)
{
    std::string text;
    bool ended = false;
    while (!ended) {
        const auto item = awaitItem(id, *channel);
        if (!item)
            break;
        const auto visitor = overloaded {
            [](const begin_answer&) {},
            [&](const append_answer& chunk) { text += chunk.text; },
            [&](const finish_answer& end) {
                response.status = answerStart.status;
                if (answerStart.format == answer_format::raw)
                    response.set_content(text, answerStart.contentType.empty() ? "application/octet-stream" : answerStart.contentType);
                else
                    response.set_content(formatCompleteAnswer({ answerStart.requestId, answerStart.model, answerStart.format }, text, end.finishReason, end.promptTokens, end.outputTokens), jsonType);
                ended = true;
            },
            [&](const fail_answer& failure) {
                writeError(response, failure.requestId, failure.error);
                ended = true;
            },
        };
        std::visit(visitor, *item);
    }
    closeChannel(id);
}

void caller_server::implementation::writeStream(channel_id id, const std::shared_ptr<caller_channel>& channel, const begin_answer& answerStart, httplib::Response& response)
{
    const answer_identity identity { answerStart.requestId, answerStart.model, answerStart.format };
    response.set_header("Cache-Control", "no-cache");
    const auto writeNextItem = [this, id = id, channel, identity](size_t, httplib::DataSink& sink) {
        const auto item = awaitItem(id, *channel);
        if (!item)
            return false;
        bool ended = false;
        const auto visitor = overloaded {
            [](const begin_answer&) { return std::string(); },
            [&](const append_answer& chunk) { return formatStreamText(identity, chunk.text); },
            [&](const finish_answer& end) {
                ended = true;
                return formatStreamEnd(identity, end.finishReason, end.promptTokens, end.outputTokens);
            },
            [&](const fail_answer& failure) {
                ended = true;
                return formatStreamError(failure.requestId, failure.error);
            },
        };
        const auto bytes = std::visit(visitor, *item);
        if (!bytes.empty() && !sink.write(bytes.data(), bytes.size())) {
            callbacks.onDisconnected(id);
            return false;
        }
        if (ended)
            sink.done();
        return true;
    };
    response.set_chunked_content_provider(eventStreamType, writeNextItem, [this, id = id](bool) { closeChannel(id); });
}

void caller_server::implementation::setRoutes()
{
    const auto handler = [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); };
    server.Post("/v1/chat/completions", handler);
    server.Post("/v1/completions", handler);
    server.Get("/services/.*", handler);
    server.Post("/services/.*", handler);
    server.Put("/services/.*", handler);
    server.Patch("/services/.*", handler);
    server.Delete("/services/.*", handler);
    server.set_payload_max_length(settings.bodyLimitBytes);
    server.new_task_queue = [this] { return new pool_task_queue(settings.maxThreads); };
    server.set_error_handler([this](const httplib::Request& request, httplib::Response& response) {
        if (!response.body.empty())
            return;
        if (response.status == 413)
            writeError(response, "", { .code = error_code::body_too_large, .message = "the request body exceeds the limit of " + std::to_string(settings.bodyLimitBytes) + " bytes" });
        else if (response.status == 404)
            response.set_content(formatError("", { .code = error_code::unknown_service, .message = "path '" + request.path + "' does not exist" }), jsonType);
        else if (response.status >= 400)
            response.set_content(formatError("", { .code = error_code::malformed_request, .message = "the HTTP request is malformed" }), jsonType);
    });
}

caller_server::caller_server(std::unique_ptr<implementation> opened)
    : m_implementation(std::move(opened))
{
}

result<std::unique_ptr<caller_server>> caller_server::open(const options& settings, handlers callbacks)
{
    auto opened = std::make_unique<implementation>();
    opened->settings = settings;
    opened->callbacks = std::move(callbacks);
    opened->setRoutes();
    opened->server.set_socket_options([](socket_t socket) {
        const int enabled = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    });
    if (!opened->server.bind_to_port(settings.host, settings.port))
        return error { "cannot listen for callers at " + settings.host + ":" + std::to_string(settings.port) + ": the address is in use or not available" };
    return std::unique_ptr<caller_server>(new caller_server(std::move(opened)));
}

caller_server::~caller_server()
{
    stopListening();
    join();
}

void caller_server::start()
{
    m_implementation->thread = std::thread([raw = m_implementation.get()] { raw->server.listen_after_bind(); });
}

void caller_server::deliver(const begin_answer& item)
{
    m_implementation->push(item.channel, item);
}

void caller_server::deliver(const append_answer& item)
{
    m_implementation->push(item.channel, item);
}

void caller_server::deliver(const finish_answer& item)
{
    m_implementation->push(item.channel, item);
}

void caller_server::deliver(const fail_answer& item)
{
    m_implementation->push(item.channel, item);
}

void caller_server::stopListening()
{
    m_implementation->server.closeListener();
}

void caller_server::join()
{
    if (m_implementation->thread.joinable())
        m_implementation->thread.join();
}

} // namespace kumquat
