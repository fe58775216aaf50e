#pragma once

#include "core/common_settings.h"
#include "core/instance.h"
#include "core/log_event.h"
#include "servers/config/document_effect.h"
#include "servers/config/document_event.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace kumquat {

// Key of the document's object in the object API.
constexpr const char* documentKey = "kumquatspring/document";

// Polls the platform's list of instances and, while the watch is enabled, watches the document in the object API. Works
// on its own threads and calls the handlers on them.
class platform_watcher {
public:
    struct handlers {
        std::function<void(store_document_read)> onDocument;
        // Empty when the process does not need the list.
        std::function<void(std::vector<instance>)> onInstances;
        std::function<void(log_event)> onLog;
    };

    platform_watcher(object_api_address, handlers);
    ~platform_watcher();

    // Starts or stops watching the document.
    void watch(bool enabled);
    // Writes a document back to a store that lost it. The next read of the watch returns the result.
    void repair(repair_store);

private:
    void watchDocument();
    // Reads the object once, or waits until it has a newer version than `after`. Returns the version after which the next
    // watch starts, or nothing after a failure.
    std::optional<std::uint64_t> readDocument(std::optional<std::uint64_t> after);
    void writePendingRepair();
    void pollInstances();
    // Waits for the given time. Returns false when the watcher is being destroyed.
    bool waitFor(std::chrono::milliseconds);
    // Waits until the watch is enabled. Returns false when the watcher is being destroyed.
    bool waitUntilEnabled();

    object_api_address m_address;
    handlers m_handlers;
    std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    bool m_stopping = false;
    bool m_watchEnabled = false;
    std::optional<repair_store> m_pendingRepair;
    std::thread m_documentThread;
    std::thread m_instanceThread;
};

} // namespace kumquat
