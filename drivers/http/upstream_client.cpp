#include "drivers/http/upstream_client.h"

#include "drivers/http/event_splitter.h"
#include "drivers/http/worker_pool.h"
#include "drivers/json/completion_codec.h"

#include <atomic>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace kumquat {

namespace {

    constexpr std::chrono::seconds connectTimeout { 2 };
    constexpr std::chrono::seconds probeTimeout { 2 };
    // Data of the event that ends a stream of an OpenAI-compatible engine.
    constexpr std::string_view endMarker = "[DONE]";
    constexpr std::size_t maxErrorBodyBytes = 300;

} // namespace

struct upstream_client::implementation {
    options settings;
    std::function<void(sidecar_event)> onEvent;
    worker_pool pool;
    std::mutex mutex;
    std::condition_variable stopCondition;
    std::unordered_map<run_id, std::shared_ptr<httplib::Client>> runs;
    bool stopping = false;
    std::thread probeThread;

    implementation(options clientOptions, std::function<void(sidecar_event)> handler)
        : settings(std::move(clientOptions))
        , onEvent(std::move(handler))
        , pool(settings.maxRuns * 2)
    {
    }

    std::shared_ptr<httplib::Client> makeClient(std::chrono::seconds readTimeout) const
    {
        auto client = std::make_shared<httplib::Client>(settings.host, settings.port);
        client->set_connection_timeout(connectTimeout);
        client->set_read_timeout(readTimeout);
        client->set_tcp_nodelay(true);
        return client;
    }

    bool isActive(run_id run)
    {
        const std::lock_guard lock(mutex);
        return runs.contains(run);
    }

    // Passes the event to the handler unless the run has been cancelled.
    void report(run_id run, sidecar_event event)
    {
        if (isActive(run))
            onEvent(std::move(event));
    }

    void execute(const start_run& run, const std::shared_ptr<httplib::Client>& client);
    void executeEngine(const start_run& run, httplib::Client& client);
    void executePlain(const start_run& run, httplib::Client& client);
    void probeLoop();
};

void upstream_client::implementation::execute(const start_run& run, const std::shared_ptr<httplib::Client>& client)
{
    if (!isActive(run.run))
        return;
    if (run.job.kind == service_kind::engine)
        executeEngine(run, *client);
    else
        executePlain(run, *client);
    const std::lock_guard lock(mutex);
    runs.erase(run.run);
}

void upstream_client::implementation::executeEngine(const start_run& run, httplib::Client& client)
{
    event_splitter splitter;
    int status = 0;
    bool ended = false;
    std::string errorBody;
    run_finished finished { .run = run.run };
    std::optional<std::string> streamError;
    const auto consume = [&](const std::string& data) {
        if (data == endMarker) {
            ended = true;
            return;
        }
        auto parsed = parseEngineChunk(data);
        if (const auto* invalidChunk = errorOf(parsed)) {
            streamError = invalidChunk->message;
            return;
        }
        auto& chunk = valueOf(parsed);
        if (!chunk.finishReason.empty())
            finished.finishReason = chunk.finishReason;
        if (chunk.promptTokens > 0)
            finished.promptTokens = chunk.promptTokens;
        if (!chunk.text.empty())
            report(run.run, run_output { run.run, chunk.text, chunk.tokens });
    };
    httplib::Request request;
    request.method = "POST";
    request.path = run.job.path;
    request.body = formatEngineRequest(run);
    request.headers = { { "Content-Type", "application/json" }, { "Accept", "text/event-stream" } };
    request.response_handler = [&](const httplib::Response& response) {
        status = response.status;
        if (status == 200)
            report(run.run, run_head { run.run, status, "text/event-stream" });
        return true;
    };
    request.content_receiver = [&](const char* bytes, size_t size, uint64_t, uint64_t) {
        if (status == 200)
            splitter.feed(bytes, size, consume);
        else if (errorBody.size() < maxErrorBodyBytes)
            errorBody.append(bytes, std::min(size, maxErrorBodyBytes - errorBody.size()));
        return !streamError && isActive(run.run);
    };
    httplib::Response response;
    httplib::Error transportError = httplib::Error::Success;
    client.send(request, response, transportError);
    if (ended && !streamError) {
        report(run.run, finished);
        return;
    }
    const bool neverConnected = transportError == httplib::Error::Connection || transportError == httplib::Error::ConnectionTimeout;
    run_failed failed { .run = run.run, .started = !neverConnected, .connectionBroke = false, .status = status == 200 ? 0 : status };
    if (streamError) {
        failed.message = *streamError;
    } else if (status != 0 && status != 200) {
        failed.message = "the engine answered with status " + std::to_string(status) + ": " + errorBody;
    } else {
        failed.connectionBroke = !neverConnected;
        failed.message = "the connection to the engine failed: " + httplib::to_string(transportError);
    }
    report(run.run, failed);
}

void upstream_client::implementation::executePlain(const start_run& run, httplib::Client& client)
{
    httplib::Request request;
    request.method = run.job.method;
    request.path = run.job.path;
    request.body = run.job.body;
    if (!run.job.contentType.empty())
        request.headers.emplace("Content-Type", run.job.contentType);
    httplib::Response response;
    httplib::Error transportError = httplib::Error::Success;
    if (client.send(request, response, transportError)) {
        report(run.run, run_head { run.run, response.status, response.get_header_value("Content-Type") });
        if (!response.body.empty())
            report(run.run, run_output { run.run, response.body, 0 });
        report(run.run, run_finished { .run = run.run, .finishReason = "stop" });
        return;
    }
    const bool neverConnected = transportError == httplib::Error::Connection || transportError == httplib::Error::ConnectionTimeout;
    report(run.run, run_failed { .run = run.run, .started = !neverConnected, .connectionBroke = !neverConnected, .message = "the request to the service failed: " + httplib::to_string(transportError) });
}

void upstream_client::implementation::probeLoop()
{
    const auto client = makeClient(probeTimeout);
    std::unique_lock lock(mutex);
    while (!stopping) {
        lock.unlock();
        const auto answer = client->Get("/health");
        // A plain service may not implement /health, so any HTTP answer counts as healthy.
        const bool healthy = answer && (answer->status == 200 || settings.kind == service_kind::plain);
        onEvent(upstream_probed { .healthy = healthy });
        lock.lock();
        stopCondition.wait_for(lock, settings.probeInterval, [this] { return stopping; });
    }
}

upstream_client::upstream_client(options settings, std::function<void(sidecar_event)> onEvent)
    : m_implementation(std::make_unique<implementation>(std::move(settings), std::move(onEvent)))
{
    m_implementation->probeThread = std::thread([raw = m_implementation.get()] { raw->probeLoop(); });
}

upstream_client::~upstream_client()
{
    std::vector<std::shared_ptr<httplib::Client>> activeClients;
    {
        const std::lock_guard lock(m_implementation->mutex);
        m_implementation->stopping = true;
        for (const auto& [run, client] : m_implementation->runs)
            activeClients.push_back(client);
        m_implementation->runs.clear();
    }
    m_implementation->stopCondition.notify_all();
    for (const auto& client : activeClients)
        client->stop();
    m_implementation->probeThread.join();
    m_implementation->pool.shutdown();
}

void upstream_client::start(const start_run& run)
{
    const auto client = m_implementation->makeClient(m_implementation->settings.readTimeout);
    {
        const std::lock_guard lock(m_implementation->mutex);
        m_implementation->runs.emplace(run.run, client);
    }
    m_implementation->pool.submit([raw = m_implementation.get(), run, client] { raw->execute(run, client); });
}

void upstream_client::cancel(run_id run)
{
    std::shared_ptr<httplib::Client> client;
    {
        const std::lock_guard lock(m_implementation->mutex);
        const auto found = m_implementation->runs.find(run);
        if (found == m_implementation->runs.end())
            return;
        client = found->second;
        m_implementation->runs.erase(found);
    }
    client->stop();
}

} // namespace kumquat
