#include "processes/entry_process.h"

#include "core/overloaded.h"
#include "drivers/asio/reactor.h"
#include "drivers/http/admin_server.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/claim_store.h"
#include "drivers/json/dump_codec.h"
#include "drivers/json/peer_codec.h"
#include "drivers/nng/peer_links.h"
#include "drivers/openssl/digest.h"
#include "drivers/prometheus/metrics_registry.h"
#include "drivers/spdlog/event_log.h"
#include "processes/document_loader.h"
#include "processes/document_worker.h"
#include "processes/inspect.h"
#include "processes/platform_watcher.h"
#include "processes/reducer_loop.h"
#include "servers/entry/entry_reducer.h"

#include <thread>

namespace kumquat {

namespace {

    using entry_loop = reducer_loop<entry_reducer, entry_event, entry_effect, entry_timer_due>;

    // Added to the body limit to bound the size of a peer message. A peer message may also carry a full document, which is at
    // most as large as a value of the object API.
    constexpr std::size_t peerMessageMarginBytes = 2 << 20;

    class entry_process {
    public:
        explicit entry_process(const entry_settings& settings)
            : m_settings(settings)
            , m_reducer(makeOptions(settings))
            , m_loop(m_reactor, m_reducer, [this](entry_effect& effect) { execute(effect); })
        {
        }

        result<int> run();

    private:
        static entry_options makeOptions(const entry_settings& settings)
        {
            auto options = settings.options;
            options.incarnation = randomNonZero();
            options.seed = randomNonZero();
            return options;
        }

        std::optional<error> openDrivers();
        std::optional<error> loadInitialState();
        void onPeerBytes(const std::string&);
        void watchStore(bool enabled);
        void execute(entry_effect&);

        entry_settings m_settings;
        reactor m_reactor;
        metrics_registry m_metrics;
        entry_reducer m_reducer;
        entry_loop m_loop;
        std::unique_ptr<caller_server> m_callers;
        std::unique_ptr<admin_server> m_admin;
        std::unique_ptr<peer_links> m_links;
        std::unique_ptr<platform_watcher> m_watcher;
        std::unique_ptr<claim_store> m_claims;
        document_worker m_documents { [this](document_event event) { m_loop.post(entry_document_event { std::move(event) }); } };
    };

    std::optional<error> entry_process::openDrivers()
    {
        auto callers = caller_server::open({ m_settings.callers.host, m_settings.callers.port, m_settings.bodyLimitBytes, m_settings.callerThreads },
            { .onRequest = [this](channel_id channel, caller_request request) { m_loop.post(caller_arrived { channel, std::move(request) }); },
                .onDisconnected = [this](channel_id channel) { m_loop.post(caller_disconnected { channel }); } });
        if (const auto* failure = errorOf(callers))
            return *failure;
        m_callers = std::move(valueOf(callers));
        auto admin = admin_server::open(m_settings.common.admin.host, m_settings.common.admin.port,
            { .isReady = [this] { return inspect(m_loop, [](const entry_reducer& reducer) { return reducer.ready(); }); },
                .metricsText = [this] { return m_metrics.text(); },
                .dumpText = [this] { return inspect(m_loop, [](const entry_reducer& reducer) { return dumpEntry(reducer, std::chrono::steady_clock::now()); }); } });
        if (const auto* failure = errorOf(admin))
            return *failure;
        m_admin = std::move(valueOf(admin));
        auto links = peer_links::open({ m_settings.options.address, m_settings.bodyLimitBytes + peerMessageMarginBytes, m_settings.common.networkKey }, [this](const std::string& bytes) { onPeerBytes(bytes); });
        if (const auto* failure = errorOf(links))
            return *failure;
        m_links = std::move(valueOf(links));
        const auto& claims = m_settings.options.claims;
        const auto& store = m_settings.common.objectApi;
        m_claims = std::make_unique<claim_store>(object_api_client::options { store.host, store.port, claims.claimTimeout }, claims.shards,
            [this](claim_event answer) { m_loop.post(entry_claim_event { std::move(answer) }); });
        return std::nullopt;
    }

    std::optional<error> entry_process::loadInitialState()
    {
        const auto& common = m_settings.common;
        if (!common.documentFile.empty()) {
            auto loaded = loadDocument(common.documentFile);
            if (const auto* failure = errorOf(loaded))
                return *failure;
            m_loop.post(entry_document_event { document_loaded { valueOf(loaded) } });
        }
        // The static list; if it is empty, this entry is the only instance that it knows, and it watches the document store.
        m_loop.post(instances_listed { m_settings.upstreams });
        if (common.objectApi.host.empty())
            return std::nullopt;
        platform_watcher::handlers handlers;
        handlers.onDocument = [this](store_document_read update) { m_loop.post(entry_document_event { std::move(update) }); };
        if (m_settings.upstreams.empty())
            handlers.onInstances = [this](std::vector<instance> instances) { m_loop.post(instances_listed { std::move(instances) }); };
        handlers.onLog = [](const log_event& event) { writeLog(event); };
        m_watcher = std::make_unique<platform_watcher>(common.objectApi, std::move(handlers));
        return std::nullopt;
    }

    void entry_process::onPeerBytes(const std::string& bytes)
    {
        auto decoded = decodePeerMessage(bytes);
        if (const auto* failure = errorOf(decoded)) {
            writeLog({ log_level::warning, "peer_message_invalid", { { "message", failure->message } } });
            return;
        }
        m_loop.post(entry_peer_received { std::move(valueOf(decoded)) });
    }

    void entry_process::watchStore(bool enabled)
    {
        if (m_watcher)
            m_watcher->watch(enabled);
    }

    void entry_process::execute(entry_effect& effect)
    {
        const auto visitor = overloaded {
            [this](const send_to_sidecar& send) { m_links->send(send.address, encodePeerMessage(send.message)); },
            [this](const claim_store_call& call) { m_claims->execute(call); },
            [this](const send_to_entry& send) { m_links->send(send.address, encodePeerMessage(send.message)); },
            [this](const stop_listening&) { m_callers->stopListening(); },
            [this](const stop_entry&) { m_reactor.stop(); },
            [this](const assemble_document& job) { m_documents.assemble(job); },
            [this](const compute_step& job) { m_documents.computeStep(job); },
            [this](const watch_store& request) { watchStore(request.enabled); },
            [this](const repair_store& request) { m_watcher->repair(request); },
            [](const log_event& event) { writeLog(event); },
            [this](const count_metric& metric) { m_metrics.apply(metric); },
            [this](const gauge_metric& metric) { m_metrics.apply(metric); },
            [this](const observe_metric& metric) { m_metrics.apply(metric); },
            [this](const auto& answer) { m_callers->deliver(answer); },
        };
        std::visit(visitor, effect);
    }

    result<int> entry_process::run()
    {
        if (const auto failure = openDrivers())
            return *failure;
        if (const auto failure = loadInitialState())
            return *failure;
        m_reactor.onTerminate([this] { m_loop.post(entry_drain_requested {}); });
        m_callers->start();
        m_admin->start();
        writeLog({ log_level::info, "entry_started", { { "id", m_settings.options.id }, { "callers", m_settings.callers.host + ":" + std::to_string(m_settings.callers.port) } } });
        m_reactor.run();
        // Waits for the answers that are complete in the reducer but are still being written to slow callers.
        m_callers->stopListening();
        m_callers->join();
        m_watcher.reset();
        m_claims->shutdown();
        return 0;
    }

} // namespace

result<int> runEntry(const entry_settings& settings)
{
    entry_process process(settings);
    return process.run();
}

} // namespace kumquat
