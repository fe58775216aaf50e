#pragma once

#include "core/common_settings.h"
#include "core/instance.h"
#include "core/log_event.h"
#include "servers/config/keeper_effect.h"
#include "servers/config/keeper_event.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace kumquat {

// Key of the document's object.
constexpr const char* documentKey = "kumquatspring/document";

// Follows the list of instances and, while asked to, the document in the platform's service, on threads of its own.
class platform_watcher {
public:
    struct handlers {
        std::function<void(store_document_read)> onDocument;
        // Empty when the process needs no list.
        std::function<void(std::vector<instance>)> onInstances;
        std::function<void(log_event)> onLog;
    };

    platform_watcher(object_api_address, handlers);
    ~platform_watcher();

    // Starts or ends the watch on the document.
    void watch(bool enabled);
    // Writes a document back to a store that lost it. The next read of the watch shows the outcome.
    void repair(repair_store);

private:
    void watchDocument();
    // Reads the object once and returns the version that the next watch waits behind, or nothing after a failure.
    std::optional<std::uint64_t> readDocument(std::optional<std::uint64_t> after);
    void writePendingRepair();
    void pollInstances();
    // Returns false when the watcher ends.
    bool pause(std::chrono::milliseconds);
    // Waits until the watch is wanted; returns false when the watcher ends.
    bool awaitWanted();

    object_api_address m_address;
    handlers m_handlers;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_wanted = false;
    std::optional<repair_store> m_repair;
    std::thread m_documentThread;
    std::thread m_instanceThread;
};

} // namespace kumquat
