#include "processes/platform_watcher.h"

#include "drivers/http/object_api_client.h"
#include "drivers/json/document_text.h"

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds watchTime { 5000 };
    constexpr std::chrono::milliseconds pauseAfterFailure { 500 };
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
    m_wake.notify_all();
    m_documentThread.join();
    if (m_instanceThread.joinable())
        m_instanceThread.join();
}

void platform_watcher::watch(bool enabled)
{
    {
        const std::lock_guard lock(m_mutex);
        m_wanted = enabled;
    }
    m_wake.notify_all();
}

void platform_watcher::repair(repair_store order)
{
    const std::lock_guard lock(m_mutex);
    m_repair = std::move(order);
}

bool platform_watcher::pause(std::chrono::milliseconds time)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, time, [this] { return m_stopping; });
    return !m_stopping;
}

bool platform_watcher::awaitWanted()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return m_stopping || m_wanted; });
    return !m_stopping;
}

void platform_watcher::watchDocument()
{
    std::optional<std::uint64_t> version;
    while (awaitWanted()) {
        writePendingRepair();
        const auto read = readDocument(version);
        // The object API cannot watch an object that does not exist, so it is read again after an interval.
        if (!read || *read == 0)
            pause(pauseAfterFailure);
        if (read)
            version = *read;
    }
}

std::optional<std::uint64_t> platform_watcher::readDocument(std::optional<std::uint64_t> after)
{
    const object_api_client client({ .host = m_address.host, .port = m_address.port });
    const auto answer = after.value_or(0) == 0 ? client.read(documentKey) : client.watch(documentKey, *after, watchTime);
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
    std::optional<repair_store> order;
    {
        const std::lock_guard lock(m_mutex);
        order.swap(m_repair);
    }
    if (!order)
        return;
    const object_api_client client({ .host = m_address.host, .port = m_address.port });
    const auto outcome = client.update(documentKey, order->storeVersion, formatRepair(*order->document));
    const bool written = std::holds_alternative<stored_object>(outcome);
    m_handlers.onLog({ log_level::warning, "store_repair", { { "generation", std::to_string(order->document->version.generation) }, { "written", written ? "true" : "false" } } });
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
    } while (pause(instancePollInterval));
}

} // namespace kumquat
