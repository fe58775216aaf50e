#include "processes/platform_watcher.h"

#include "drivers/http/object_api_client.h"
#include "drivers/json/document_text.h"

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds watchTimeout { 5000 };
    constexpr std::chrono::milliseconds retryInterval { 500 };
    constexpr std::chrono::milliseconds instancePollInterval { 1000 };

} // namespace

platform_watcher::platform_watcher(object_api_address address, handlers callbacks)
    : m_address(std::move(address))
    , m_handlers(std::move(callbacks))
{
    m_documentThread = std::thread([this] { watchDocument(); });
    if (m_handlers.onInstances)
        m_instanceThread = std::thread([this] { pollInstances(); });
}

platform_watcher::~platform_watcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stateChanged.notify_all();
    m_documentThread.join();
    if (m_instanceThread.joinable())
        m_instanceThread.join();
}

void platform_watcher::watch(bool enabled)
{
    {
        const std::lock_guard lock(m_mutex);
        m_watchEnabled = enabled;
    }
    m_stateChanged.notify_all();
}

void platform_watcher::repair(repair_store request)
{
    const std::lock_guard lock(m_mutex);
    m_pendingRepair = std::move(request);
}

bool platform_watcher::waitFor(std::chrono::milliseconds time)
{
    std::unique_lock lock(m_mutex);
    m_stateChanged.wait_for(lock, time, [this] { return m_stopping; });
    return !m_stopping;
}

bool platform_watcher::waitUntilEnabled()
{
    std::unique_lock lock(m_mutex);
    m_stateChanged.wait(lock, [this] { return m_stopping || m_watchEnabled; });
    return !m_stopping;
}

void platform_watcher::watchDocument()
{
    std::optional<std::uint64_t> version;
    while (waitUntilEnabled()) {
        writePendingRepair();
        const auto read = readDocument(version);
        // The object API cannot watch an object that does not exist, so it is read again after an interval.
        if (!read || *read == 0)
            waitFor(retryInterval);
        if (read)
            version = *read;
    }
}

std::optional<std::uint64_t> platform_watcher::readDocument(std::optional<std::uint64_t> after)
{
    const object_api_client client({ .host = m_address.host, .port = m_address.port });
    const auto answer = after.value_or(0) == 0 ? client.read(documentKey) : client.watch(documentKey, *after, watchTimeout);
    if (const auto* failure = errorOf(answer)) {
        m_handlers.onLog({ log_level::warning, "document_watch_failed", { { "message", failure->message } } });
        return std::nullopt;
    }
    const auto& object = valueOf(answer);
    if (object.version == after)
        return after;
    if (object.version == 0) {
        m_handlers.onDocument({ .storeVersion = 0 });
        return object.version;
    }
    auto opened = openPublishedDocument("object '" + object.key + "'", object.value);
    if (const auto* failure = errorOf(opened)) {
        m_handlers.onLog({ log_level::error, "document_invalid", { { "message", failure->message } } });
        return object.version;
    }
    m_handlers.onDocument({ std::move(valueOf(opened)), object.version });
    return object.version;
}

void platform_watcher::writePendingRepair()
{
    std::optional<repair_store> request;
    {
        const std::lock_guard lock(m_mutex);
        request.swap(m_pendingRepair);
    }
    if (!request)
        return;
    const object_api_client client({ .host = m_address.host, .port = m_address.port });
    const auto outcome = client.update(documentKey, request->storeVersion, formatRepair(*request->document));
    const bool written = std::holds_alternative<stored_object>(outcome);
    m_handlers.onLog({ log_level::warning, "store_repair", { { "generation", std::to_string(request->document->version.generation) }, { "written", written ? "true" : "false" } } });
}

void platform_watcher::pollInstances()
{
    const object_api_client client({ .host = m_address.host, .port = m_address.port });
    do {
        auto answer = client.listInstances();
        if (const auto* failure = errorOf(answer))
            m_handlers.onLog({ log_level::warning, "instance_list_failed", { { "message", failure->message } } });
        else
            m_handlers.onInstances(std::move(valueOf(answer)));
    } while (waitFor(instancePollInterval));
}

} // namespace kumquat
