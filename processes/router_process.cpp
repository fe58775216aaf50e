#include "processes/router_process.h"

#include "core/memory_shares.h"
#include "core/overloaded.h"
#include "drivers/asio/connection_checker.h"
#include "drivers/asio/connection_guard.h"
#include "drivers/asio/datagram_port.h"
#include "drivers/asio/http_client.h"
#include "drivers/asio/http_server.h"
#include "drivers/asio/reactor.h"
#include "drivers/cbor/digest_codec.h"
#include "drivers/cbor/stream_codec.h"
#include "drivers/cbor/usage_codec.h"
#include "drivers/json/error_body.h"
#include "drivers/prometheus/metrics_registry.h"
#include "drivers/spdlog/bounded_sink.h"
#include "drivers/spdlog/event_log.h"
#include "platform/answer_codec.h"
#include "platform/report_codec.h"
#include "platform/request_codec.h"
#include "platform/settings_decoder.h"
#include "processes/duty_runner.h"
#include "processes/file_reader.h"
#include "processes/router_store_client.h"
#include "processes/usage_port.h"
#include "servers/router/router_reducer.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <malloc.h>
#include <random>

namespace kumquat {

namespace {

    // How often buffered log lines are flushed and the settings file is checked for changes.
    constexpr auto housekeepingInterval = std::chrono::milliseconds(500);

    // A suspension of the instance that is shorter than this is ignored.
    constexpr auto minSuspension = std::chrono::milliseconds(250);
    // A process that has processed no event for this long was not run: its housekeeping is due more often.
    constexpr auto minStall = 2 * housekeepingInterval;

    // The total time for which the instance has been suspended since it started, which the monotonic clock leaves out.
    duration measureSuspendedTime()
    {
        timespec withSuspension {};
        timespec monotonic {};
        ::clock_gettime(CLOCK_MONOTONIC, &monotonic);
        ::clock_gettime(CLOCK_BOOTTIME, &withSuspension);
        return std::chrono::seconds(withSuspension.tv_sec - monotonic.tv_sec) + std::chrono::nanoseconds(withSuspension.tv_nsec - monotonic.tv_nsec);
    }

    // Nothing if the routers report no usage.
    std::optional<usage_settings> usageSettings(const router_settings& settings)
    {
        if (!settings.duties || !settings.duties->reportsUsage)
            return std::nullopt;
        const auto toMilliseconds = [](duration time) { return std::chrono::ceil<std::chrono::milliseconds>(time); };
        return usage_settings { toMilliseconds(settings.duties->windowLength), toMilliseconds(settings.duties->leaseDuration), toMilliseconds(settings.duties->reportDeadline) };
    }

    // The allocator returns blocks of this size to the system at once. By default it raises the size as blocks are freed, and then keeps
    // the memory of large requests.
    constexpr int mappedBlockBytes = 131072;

    connection_bounds connectionBounds(const router_settings& settings)
    {
        const auto memory = settings.memoryBytes ? *settings.memoryBytes : readMachineMemory();
        const auto descriptors = readDescriptorLimit();
        return { settings.connectionBytes.value_or(divideMemory(memory).connectionBytes), std::min(descriptors, settings.maxDescriptors.value_or(descriptors)) };
    }

    // Connects the reducer to its network connections, timers and signals, and executes its effects.
    class router_process {
    public:
        router_process(std::string settingsFile, std::string settingsText, const router_settings& settings);
        std::optional<error> openServers();
        int run();

    private:
        // Passes an event to the reducer, or queues it while another event is being processed.
        void post(router::router_event);
        void step(router::router_event);
        void execute(router::router_effect&);
        void armTimer();
        void runHousekeeping();
        void reloadSettings();
        void onCallerRequest(connection_id, http_request&&);
        void onAdminRequest(connection_id, const http_request&);
        // How the upstream of an attempt is asked for its start.
        static identity_check identityCheckOf(const router::start_attempt&);
        void refuse(const router::refuse_reply&);
        void stop(const router::stop_router&);
        // Ends the connections and the process.
        void end();
        void closeIdleCallers();
        void onStreamMessage(const std::string& host, const std::string& bytes);
        void onDatagram(const std::string& host, const std::string& bytes);
        void detectSuspension();
        void detectStall();
        // Starts the duties of the fleet if the settings name them.
        void openDuties();
        void publishDuties();
        void exchangeDuties();
        // How often the process was interrupted, with an interruption that is not detected yet.
        std::uint64_t countInterruptions() const;
        http_client::handlers upstreamHandlers();
        void reportClosing(const connection_guard::closing&);
        void reportRefusal(int status);
        void reportClose(const server_close&);
        // Logs the connections of callers at a point of the stop.
        void reportStopPhase(const char* phase);

        std::string m_settingsFile;
        std::string m_settingsText;
        router_settings m_settings;
        std::uint64_t m_incarnation = std::random_device {}();
        reactor m_reactor;
        metrics_registry m_metrics;
        router::router_reducer m_reducer;
        connection_guard m_connectionGuard;
        http_client m_upstreams;
        router_store_client m_store;
        usage_port m_usage;
        connection_checker m_connectionChecker;
        std::unique_ptr<duty_runner> m_duties;
        std::unique_ptr<http_server> m_callers;
        std::unique_ptr<http_server> m_admin;
        std::unique_ptr<datagram_port> m_peers;
        duration m_suspendedTime = measureSuspendedTime();
        instant m_lastEventAt = std::chrono::steady_clock::now();
        std::uint64_t m_interruptions = 0;
        // Events that arrived while m_stepping was set.
        std::deque<router::router_event> m_queuedEvents;
        bool m_stepping = false;
        bool m_listenerClosed = false;
        // The router has stopped and only gives up the lease of the duties.
        bool m_stopsAfterRelease = false;
        // The time for which the reactor's timer is set.
        std::optional<instant> m_timerDeadline;
        instant m_housekeepingAt;
    };

    router_process::router_process(std::string settingsFile, std::string settingsText, const router_settings& settings)
        : m_settingsFile(std::move(settingsFile))
        , m_settingsText(std::move(settingsText))
        , m_settings(settings)
        , m_reducer({ .settings = settings, .incarnation = m_incarnation })
        , m_connectionGuard([this](const connection_guard::closing& closed) { reportClosing(closed); })
        , m_upstreams(m_reactor, m_connectionGuard, upstreamHandlers())
        , m_store(m_reactor, m_connectionGuard, m_metrics, [this](router::router_event event) { post(std::move(event)); })
        , m_usage(m_metrics, { .incarnation = m_incarnation, .host = settings.address, .settings = usageSettings(settings) }, [this](const std::string& address, const std::string& bytes) { m_peers->send({ address, m_settings.peerPort }, bytes); })
        , m_connectionChecker(m_reactor)
    {
        openDuties();
    }

    void router_process::openDuties()
    {
        if (!m_settings.duties || !m_settings.duties->reportsUsage)
            return;
        m_duties = std::make_unique<duty_runner>(m_reactor, m_connectionGuard, m_metrics, m_settings,
            duty_runner::callbacks {
                .countsOf = [this](std::uint64_t window) { return m_usage.exchange().countsOf(window); },
                .onCollectors = [this](const std::vector<std::string>&) { publishDuties(); },
                .interruptions = [this] { return countInterruptions(); },
                .beforeEvent = [this] {
                    detectSuspension();
                    detectStall(); },
                .afterEvent = [this] {
                    if (m_stopsAfterRelease && !m_duties->isReleasing())
                        end();
                    armTimer(); } });
        exchangeDuties();
    }

    // Makes the announcement of this router known if it is the holder.
    void router_process::publishDuties()
    {
        const auto now = std::chrono::steady_clock::now();
        if (m_duties && m_duties->isHolder(now))
            m_usage.publish(*m_duties->announcement(now));
    }

    // Passes on between duties and usage counts who the holder is, the time of day by all routers' clocks, and who may be a deputy.
    void router_process::exchangeDuties()
    {
        if (!m_duties)
            return;
        publishDuties();
        const auto now = std::chrono::steady_clock::now();
        const auto heard = m_duties->isHolder(now) ? std::nullopt : m_usage.exchange().announcement(now);
        if (heard)
            m_duties->post(duties::announcement_heard { *heard });
        m_duties->refresh(m_usage.exchange().timeAt(now), m_reducer.peers().neighbourAddresses());
    }

    std::uint64_t router_process::countInterruptions() const
    {
        const bool isSuspended = measureSuspendedTime() - m_suspendedTime >= minSuspension;
        const bool isStalled = std::chrono::steady_clock::now() - m_lastEventAt >= minStall;
        return m_interruptions + (isSuspended || isStalled ? 1 : 0);
    }

    http_client::handlers router_process::upstreamHandlers()
    {
        return {
            .onHead = [this](call_id call, http_answer_head head) { post(router::answer_started { call, platform::decodeAnswer(std::move(head)) }); },
            .onBody = [this](call_id call, std::string_view bytes) { post(router::answer_continued { call, std::string(bytes), m_connectionGuard.budget().memoryIsShort() }); },
            .onEnd = [this](call_id call) { post(router::answer_ended { call }); },
            .onFailed = [this](call_id call, http_call_failure failure) { post(router::attempt_aborted { call, failure.anyBytesSent, std::move(failure.reason), failure.connection, failure.connectionDropped, failure.endedAtMemoryBound }); },
            .onUnidentified = [this](call_id call) { post(router::upstream_unidentified { call }); },
            .onConnected = [this] { m_metrics.apply(count_metric { "kumquat_router_connections_total", { { "to", "upstream" } } }); },
            .onDropped = [](const endpoint& upstream, duration rested, duration distrustTime) { writeLog({ log_level::warning, "connection_dropped", { { "address", formatEndpoint(upstream) }, { "rested_ms", formatMilliseconds(rested) }, { "distrusted_for_ms", formatMilliseconds(distrustTime) } } }); },
        };
    }

    std::optional<error> router_process::openServers()
    {
        m_connectionGuard.budget().setBounds(connectionBounds(m_settings));
        auto callers = http_server::open(m_reactor, m_connectionGuard, m_settings.callers,
            { .onRequest = [this](connection_id id, http_request request) { onCallerRequest(id, std::move(request)); },
                .onDisconnected = [this](connection_id id) { post(router::caller_left { id }); },
                .onWritable = [this](connection_id id) { post(router::caller_ready { id }); },
                .onRefused = [this](int status) { reportRefusal(status); },
                .onEvicted = [this](connection_id id) { post(router::caller_evicted { id }); },
                .onClosed = [this](const server_close& closed) { reportClose(closed); } });
        if (const auto* failure = errorOf(callers))
            return *failure;
        m_callers = std::move(valueOf(callers));
        auto admin = http_server::open(m_reactor, m_connectionGuard, m_settings.admin,
            { .onRequest = [this](connection_id id, const http_request& request) { onAdminRequest(id, request); },
                .onDisconnected = [](connection_id) {},
                .onWritable = [](connection_id) {},
                .onRefused = [this](int status) { reportRefusal(status); } });
        if (const auto* failure = errorOf(admin))
            return *failure;
        m_admin = std::move(valueOf(admin));
        auto peers = datagram_port::open(m_reactor, { m_settings.address, m_settings.peerPort }, [this](const std::string& host, const std::string& bytes) { onDatagram(host, bytes); });
        if (const auto* failure = errorOf(peers))
            return *failure;
        m_peers = std::move(valueOf(peers));
        return std::nullopt;
    }

    void router_process::reportClosing(const connection_guard::closing& closed)
    {
        static constexpr const char* sideNames[] = { "caller", "upstream", "store" };
        const std::string side = sideNames[static_cast<int>(closed.side)];
        m_metrics.apply(count_metric { "kumquat_router_closed_connections_total", { { "bound", closed.bound }, { "side", side } }, static_cast<double>(closed.connections) });
        writeLog({ log_level::warning, "connections_closed", { { "bound", closed.bound }, { "side", side }, { "connections", std::to_string(closed.connections) }, { "held_bytes", std::to_string(closed.heldBytes) }, { "closed_bytes", std::to_string(closed.closedBytes) }, { "largest_bytes", std::to_string(closed.largestBytes) } } });
    }

    void router_process::reportRefusal(int status)
    {
        m_metrics.apply(count_metric { "kumquat_router_unreadable_requests_total", { { "status", std::to_string(status) } } });
        writeLog({ log_level::info, "request_not_read", { { "status", std::to_string(status) } } });
    }

    void router_process::reportClose(const server_close& closed)
    {
        m_metrics.apply(count_metric { "kumquat_router_connection_ends_total", { { "cause", closed.cause }, { "phase", closed.phase }, { "unread", closed.hadUnreadBytes ? "yes" : "no" } } });
    }

    void router_process::reportStopPhase(const char* phase)
    {
        const auto counts = m_callers->census();
        writeLog({ log_level::info, "stop_phase", { { "phase", phase }, { "requests", std::to_string(m_reducer.requestCount()) }, { "idle", std::to_string(counts.idle) }, { "reading", std::to_string(counts.reading) }, { "answering", std::to_string(counts.answering) }, { "sending", std::to_string(counts.sending) }, { "closing", std::to_string(counts.closing) }, { "unread", std::to_string(counts.unread) }, { "releasing", m_duties && m_duties->isReleasing() ? "yes" : "no" } } });
    }

    void router_process::closeIdleCallers()
    {
        if (!std::exchange(m_listenerClosed, true))
            reportStopPhase("listener_closes");
        m_callers->closeListenerAndIdleConnections();
    }

    void router_process::onDatagram(const std::string& host, const std::string& bytes)
    {
        if (isStreamMessage(bytes))
            return onStreamMessage(host, bytes);
        if (isUsageMessage(bytes))
            return m_usage.receive(host, bytes);
        auto decoded = decodeDigest(bytes);
        if (const auto* failure = errorOf(decoded)) {
            writeLog({ log_level::warning, "digest_unreadable", { { "from", host }, { "reason", failure->message } } });
            return;
        }
        m_usage.receive(valueOf(decoded));
        post(router::digest_received { host, std::move(valueOf(decoded)) });
    }

    void router_process::onStreamMessage(const std::string& host, const std::string& bytes)
    {
        auto decoded = decodeStreamMessage(bytes);
        if (const auto* failure = errorOf(decoded)) {
            writeLog({ log_level::warning, "stream_message_unreadable", { { "from", host }, { "reason", failure->message } } });
            return;
        }
        post(router::stream_message_received { host, std::move(valueOf(decoded)) });
    }

    // Runs before each event, so that the reducer does not act on confirmations that have become out of date while the
    // instance was suspended.
    void router_process::detectSuspension()
    {
        const auto suspendedTime = measureSuspendedTime();
        const auto gap = suspendedTime - m_suspendedTime;
        if (gap < minSuspension)
            return;
        m_suspendedTime = suspendedTime;
        m_usage.resumeAfterSuspension(gap);
        ++m_interruptions;
        if (m_duties)
            m_duties->post(duties::execution_interrupted { gap });
        step(router::clock_jumped { gap });
    }

    // Runs before each event, for stops that the clock goes on in: a paused process, or an instance without processor time.
    void router_process::detectStall()
    {
        const auto now = std::chrono::steady_clock::now();
        const auto gap = now - m_lastEventAt;
        m_lastEventAt = now;
        if (gap < minStall)
            return;
        m_usage.resumeAfterStall();
        ++m_interruptions;
        if (m_duties)
            m_duties->post(duties::execution_interrupted { gap });
        step(router::process_stalled { gap });
    }

    void router_process::onCallerRequest(connection_id id, http_request&& received)
    {
        auto decoded = platform::decodeRequest(std::move(received));
        if (const auto* failure = errorOf(decoded)) {
            writeLog({ log_level::warning, "request_unreadable", { { "reason", failure->message } } });
            m_callers->answer(id, { 400, { { "Content-Type", "text/plain" } }, failure->message.size(), true }, failure->message);
            return;
        }
        post(router::request_arrived { id, std::make_shared<const proxied_request>(std::move(valueOf(decoded))) });
    }

    void router_process::onAdminRequest(connection_id id, const http_request& request)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto reply = [&](int status, const std::string& text) { m_admin->answer(id, { status, { { "Content-Type", "text/plain" } }, text.size(), true }, text); };
        if (request.target == "/readyz")
            return m_reducer.ready(now) ? reply(200, "ready\n") : reply(503, "not ready\n");
        if (request.target == "/healthz")
            return reply(200, "ok\n");
        if (request.target == "/metrics")
            return reply(200, m_metrics.text());
        reply(404, "no such page\n");
    }

    void router_process::post(router::router_event event)
    {
        if (m_stepping) {
            m_queuedEvents.push_back(std::move(event));
            return;
        }
        detectSuspension();
        detectStall();
        step(std::move(event));
        while (!m_queuedEvents.empty()) {
            auto next = std::move(m_queuedEvents.front());
            m_queuedEvents.pop_front();
            step(std::move(next));
        }
        armTimer();
    }

    void router_process::step(router::router_event event)
    {
        m_stepping = true;
        router::router_effects effects;
        m_reducer.step(std::move(event), std::chrono::steady_clock::now(), effects);
        for (auto& effect : effects)
            execute(effect);
        m_stepping = false;
    }

    void router_process::armTimer()
    {
        auto next = m_housekeepingAt;
        if (const auto deadline = m_reducer.nextDeadline())
            next = std::min(next, *deadline);
        if (const auto deadline = m_usage.nextDeadline())
            next = std::min(next, *deadline);
        if (const auto deadline = m_duties ? m_duties->nextDeadline() : std::nullopt)
            next = std::min(next, *deadline);
        if (m_timerDeadline == next)
            return;
        m_timerDeadline = next;
        m_reactor.setTimer(next, [this] {
            m_timerDeadline.reset();
            if (std::chrono::steady_clock::now() >= m_housekeepingAt)
                runHousekeeping();
            m_usage.passTime();
            post(router::router_timer_due {});
            if (m_duties) {
                m_duties->runTimer(std::chrono::steady_clock::now());
                armTimer();
            }
        });
    }

    void router_process::runHousekeeping()
    {
        m_housekeepingAt = std::chrono::steady_clock::now() + housekeepingInterval;
        reloadSettings();
        exchangeDuties();
        m_metrics.apply(gauge_metric { "kumquat_router_connection_bytes", {}, static_cast<double>(m_connectionGuard.budget().heldBytes()) });
        m_metrics.apply(gauge_metric { "kumquat_router_open_connections", {}, static_cast<double>(m_connectionGuard.budget().connectionCount()) });
        for (const auto kind : router::knowledgeKinds) {
            const auto age = m_reducer.knowledgeAge(kind, std::chrono::steady_clock::now()).age;
            if (age)
                m_metrics.apply(gauge_metric { "kumquat_router_knowledge_age_seconds", { { "kind", router::toString(kind) } }, std::chrono::duration<double>(*age).count() });
        }
        m_metrics.apply(gauge_metric { "kumquat_router_dropped_log_lines", {}, static_cast<double>(droppedLogLines()) });
        flushBoundedLog();
    }

    void router_process::reloadSettings()
    {
        const auto text = readFile(m_settingsFile);
        if (errorOf(text) || valueOf(text) == m_settingsText)
            return;
        const auto decoded = platform::decodeSettings("settings '" + m_settingsFile + "'", valueOf(text));
        m_settingsText = valueOf(text);
        if (const auto* failure = errorOf(decoded)) {
            writeLog({ log_level::error, "settings_unusable", { { "reason", failure->message } } });
            return;
        }
        if (valueOf(decoded) == m_settings)
            return;
        m_settings = valueOf(decoded);
        m_usage.setSettings(usageSettings(m_settings));
        m_connectionGuard.budget().setBounds(connectionBounds(m_settings));
        post(router::settings_changed { m_settings });
    }

    void router_process::refuse(const router::refuse_reply& reply)
    {
        const auto& refusal = reply.refusal;
        const auto body = formatErrorBody(reply.requestId, refusal);
        http_answer_head head { httpStatus(refusal.code), { { "Content-Type", "application/json" } }, body.size(), true };
        // The platform's callers accept a Retry-After header with fractions of a second.
        if (refusal.retryAfter)
            head.headers.push_back({ "Retry-After", std::to_string(std::chrono::duration<double>(*refusal.retryAfter).count()) });
        m_callers->answer(reply.caller, head, body);
    }

    void router_process::stop(const router::stop_router& order)
    {
        const bool graceEnds = !order.unlessConnectionsAreOpen;
        if (!graceEnds && m_callers->hasOpenConnections())
            return;
        if (graceEnds || !m_stopsAfterRelease)
            reportStopPhase(graceEnds ? "grace_ends" : "requests_ended");
        // A lease that is not given up expires by itself, so the end of the grace does not wait for the store.
        m_stopsAfterRelease = !graceEnds && m_duties && m_duties->isReleasing();
        if (m_stopsAfterRelease)
            return;
        end();
    }

    void router_process::end()
    {
        m_callers->endConnections();
        m_admin->endConnections();
        m_reactor.stop();
    }

    identity_check router_process::identityCheckOf(const router::start_attempt& attempt)
    {
        identity_check check;
        check.bytes = platform::encodeReportRequest(attempt.target);
        check.identity = std::to_string(*attempt.requiredStartUnixMs);
        check.accepts = [start = *attempt.requiredStartUnixMs](int status, const std::string& body) { return platform::isReportOf(start, status, body); };
        if (attempt.mayBeUnidentified)
            check.identifies = platform::isReportHead;
        return check;
    }

    void router_process::execute(router::router_effect& effect)
    {
        const auto visitor = overloaded {
            [this](const router::start_attempt& attempt) {
                http_call call;
                call.id = attempt.attemptNumber;
                call.target = attempt.target;
                call.bytes = platform::encodeRequest(*attempt.request, attempt);
                call.isHeadRequest = attempt.request->method == "HEAD";
                call.expectedHeader = { platform::requestIdHeader, attempt.request->requestId };
                call.mayBeLost = attempt.mayBeLost;
                if (attempt.requiredStartUnixMs)
                    call.identityCheck = identityCheckOf(attempt);
                m_upstreams.start(std::move(call));
            },
            [this](const router::cancel_attempt& cancel) { m_upstreams.cancel(cancel.attemptNumber); },
            [this](const router::check_connection& check) {
                m_metrics.apply(count_metric { "kumquat_router_connection_checks_total", {} });
                m_connectionChecker.start(check.target, check.timeout, [this, id = check.check](connection_outcome outcome) { post(router::connection_checked { id, outcome }); });
            },
            [this](const router::throttle_attempt& throttle) { m_upstreams.setPaused(throttle.attemptNumber, throttle.paused); },
            [this](const router::distrust_connections&) { m_upstreams.distrustIdleConnections(); },
            [this](const router::close_upstream_connections& removed) { m_upstreams.closeIdleConnections(removed.target); },
            [this](const router::start_reply& reply) { m_callers->beginAnswer(reply.caller, reply.head); },
            [this](const router::append_reply& reply) {
                m_upstreams.recordPartialEvent(reply.sourceAttempt, reply.partialEventBytes);
                if (!m_callers->appendAnswer(reply.caller, reply.bytes))
                    m_upstreams.setPaused(reply.sourceAttempt, true);
            },
            [this](const router::keep_partial_event& kept) { m_upstreams.recordPartialEvent(kept.attemptNumber, kept.bytes); },
            [this](const router::end_reply& reply) { m_callers->finishAnswer(reply.caller); },
            [this](const router::send_reply& reply) { m_callers->answer(reply.caller, reply.head, reply.body); },
            [this](const router::refuse_reply& reply) { refuse(reply); },
            [this](const router::abort_reply& reply) { m_callers->abortAnswer(reply.caller); },
            [this](const router::read_store& read) { m_store.start(read, m_settings.store); },
            [this](const router::cancel_store_read& cancelled) { m_store.cancel(cancelled); },
            [this](const router::call_refusal_store& call) { m_store.start(call, m_settings.store); },
            [this](router::send_digest& message) {
                exchangeDuties();
                m_usage.addTo(message.digest);
                const auto bytes = encodeDigest(message.digest);
                for (const auto& address : message.addresses)
                    m_peers->send({ address, m_settings.peerPort }, bytes);
            },
            [this](const router::send_stream_message& message) {
                const auto bytes = encodeStreamMessage(message.message);
                for (const auto& address : message.addresses)
                    m_peers->send({ address, m_settings.peerPort }, bytes);
            },
            [this](const router::record_run& run) { m_usage.recordRun(run.organisation, run.startedAt); },
            [this](const router::apply_caller_limits& apply) { m_callers->setLimits(apply.limits); },
            [this](const router::close_callers_after_answers&) { m_callers->closeAfterAnswers(); },
            [this](const router::close_idle_callers&) { closeIdleCallers(); },
            [this](const router::refuse_unread_requests&) { m_callers->refuseUnreadRequests(); },
            [this](const router::stop_router& order) { stop(order); },
            [](const log_event& event) { writeLog(event); },
            [this](const auto& metric) { m_metrics.apply(metric); },
        };
        std::visit(visitor, effect);
    }

    int router_process::run()
    {
        m_reactor.onTerminate([this] {
            if (m_duties)
                m_duties->post(duties::duties_terminated {});
            post(router::termination_requested {});
        });
        m_reactor.onHangup([this] {
            writeLog({ log_level::info, "hangup_received", {} });
            reloadSettings();
        });
        writeLog({ log_level::info, "router_started", { { "instance", m_settings.instance }, { "callers", formatEndpoint(m_settings.callers) }, { "admin", formatEndpoint(m_settings.admin) }, { "store", formatEndpoint(m_settings.store) } } });
        m_housekeepingAt = std::chrono::steady_clock::now() + housekeepingInterval;
        post(router::router_timer_due {});
        m_reactor.run();
        writeLog({ log_level::info, "router_stopped", {} });
        flushBoundedLog();
        return 0;
    }

} // namespace

result<int> runRouter(const std::string& settingsFile)
{
    const auto text = readFile(settingsFile);
    if (const auto* failure = errorOf(text))
        return *failure;
    const auto settings = platform::decodeSettings("settings '" + settingsFile + "'", valueOf(text));
    if (const auto* failure = errorOf(settings))
        return *failure;
    openBoundedLog();
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    router_process process(settingsFile, valueOf(text), valueOf(settings));
    if (const auto failure = process.openServers())
        return *failure;
    return process.run();
}

} // namespace kumquat
