#include "processes/sidecar_process.h"

#include "core/overloaded.h"
#include "drivers/asio/reactor.h"
#include "drivers/http/admin_server.h"
#include "drivers/http/upstream_client.h"
#include "drivers/json/dump_codec.h"
#include "drivers/json/peer_codec.h"
#include "drivers/nng/peer_links.h"
#include "drivers/openssl/digest.h"
#include "drivers/prometheus/metrics_registry.h"
#include "drivers/spdlog/event_log.h"
#include "processes/document_loader.h"
#include "processes/document_worker.h"
#include "processes/inspect.h"
#include "processes/reducer_loop.h"
#include "servers/sidecar/sidecar_reducer.h"

#include <thread>

namespace kumquat {

namespace {

    using sidecar_loop = reducer_loop<sidecar_reducer, sidecar_event, sidecar_effect, timer_due>;

    // Maximum size of a peer message in addition to a request or answer body. A message with the full configuration document
    // is at most as large as a value of the object API.
    constexpr std::size_t peerMessageMarginBytes = 2 << 20;
    // Time for the last answers to be transmitted from the send queues before the process exits.
    constexpr std::chrono::milliseconds linkFlushTime { 200 };

    class sidecar_process {
    public:
        explicit sidecar_process(const sidecar_settings& settings)
            : m_settings(settings)
            , m_reducer(makeOptions(settings))
            , m_loop(m_reactor, m_reducer, [this](sidecar_effect& effect) { execute(effect); })
        {
        }

        result<int> run();

    private:
        static sidecar_options makeOptions(const sidecar_settings& settings)
        {
            auto options = settings.options;
            options.incarnation = randomNonZero();
            options.seed = randomNonZero();
            return options;
        }

        std::optional<error> openDrivers();
        std::optional<error> loadInitialState();
        void onPeerBytes(const std::string&);
        void execute(sidecar_effect&);

        sidecar_settings m_settings;
        reactor m_reactor;
        metrics_registry m_metrics;
        sidecar_reducer m_reducer;
        sidecar_loop m_loop;
        std::unique_ptr<admin_server> m_admin;
        std::unique_ptr<peer_links> m_links;
        std::unique_ptr<upstream_client> m_upstream;
        document_worker m_documents { [this](document_event event) { m_loop.post(sidecar_document_event { std::move(event) }); } };
    };

    std::optional<error> sidecar_process::openDrivers()
    {
        auto admin = admin_server::open(m_settings.common.admin.host, m_settings.common.admin.port,
            { .isReady = [this] { return inspect(m_loop, [](const sidecar_reducer& reducer) { return reducer.healthy() && !reducer.draining(); }); },
                .metricsText = [this] { return m_metrics.text(); },
                .dumpText = [this] { return inspect(m_loop, [](const sidecar_reducer& reducer) { return dumpSidecar(reducer, std::chrono::steady_clock::now()); }); } });
        if (const auto* failure = errorOf(admin))
            return *failure;
        m_admin = std::move(valueOf(admin));
        auto links = peer_links::open({ m_settings.options.address, m_settings.bodyLimitBytes + peerMessageMarginBytes, m_settings.common.networkKey }, [this](const std::string& bytes) { onPeerBytes(bytes); });
        if (const auto* failure = errorOf(links))
            return *failure;
        m_links = std::move(valueOf(links));
        upstream_client::options upstream;
        upstream.host = m_settings.upstream.host;
        upstream.port = m_settings.upstream.port;
        upstream.kind = m_settings.options.kind;
        upstream.maxRuns = m_settings.options.slots;
        m_upstream = std::make_unique<upstream_client>(upstream, [this](sidecar_event event) { m_loop.post(std::move(event)); });
        return std::nullopt;
    }

    std::optional<error> sidecar_process::loadInitialState()
    {
        const auto& common = m_settings.common;
        if (!common.documentFile.empty()) {
            auto loaded = loadDocument(common.documentFile);
            if (const auto* failure = errorOf(loaded))
                return *failure;
            m_loop.post(sidecar_document_event { document_loaded { valueOf(loaded) } });
        }
        return std::nullopt;
    }

    void sidecar_process::onPeerBytes(const std::string& bytes)
    {
        auto decoded = decodePeerMessage(bytes);
        if (const auto* failure = errorOf(decoded)) {
            writeLog({ log_level::warning, "peer_message_invalid", { { "message", failure->message } } });
            return;
        }
        m_loop.post(peer_received { std::move(valueOf(decoded)) });
    }

    void sidecar_process::execute(sidecar_effect& effect)
    {
        const auto visitor = overloaded {
            [this](const send_to_peer& send) { m_links->send(send.address, encodePeerMessage(send.message)); },
            [this](const start_run& run) { m_upstream->start(run); },
            [this](const cancel_run& run) { m_upstream->cancel(run.run); },
            [this](const stop_process&) { m_reactor.stop(); },
            [this](const assemble_document& job) { m_documents.assemble(job); },
            [this](const compute_step& job) { m_documents.computeStep(job); },
            [](const log_event& event) { writeLog(event); },
            [this](const count_metric& metric) { m_metrics.apply(metric); },
            [this](const gauge_metric& metric) { m_metrics.apply(metric); },
            [this](const observe_metric& metric) { m_metrics.apply(metric); },
        };
        std::visit(visitor, effect);
    }

    result<int> sidecar_process::run()
    {
        if (const auto failure = openDrivers())
            return *failure;
        if (const auto failure = loadInitialState())
            return *failure;
        m_reactor.onTerminate([this] { m_loop.post(drain_requested {}); });
        m_admin->start();
        writeLog({ log_level::info, "sidecar_started", { { "id", m_settings.options.id }, { "service", m_settings.options.service }, { "peer_address", m_settings.options.address } } });
        m_reactor.run();
        std::this_thread::sleep_for(linkFlushTime);
        return 0;
    }

} // namespace

result<int> runSidecar(const sidecar_settings& settings)
{
    sidecar_process process(settings);
    return process.run();
}

} // namespace kumquat
