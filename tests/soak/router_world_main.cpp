// Simulates everything around the routers under soak: a store, workers that inject faults determined by a seed, an operator,
// and callers that check every answer. Prints one line of counts and exits with 1 if a guarantee of the router was violated.

#include "tests/soak/soak_platform_api.h"
#include "tests/soak/soak_process_events.h"
#include "tests/soak/soak_record.h"
#include "tests/soak/soak_repeating_caller.h"
#include "tests/soak/soak_silences.h"
#include "tests/soak/soak_store.h"
#include "tests/soak/soak_stream_caller.h"
#include "tests/soak/soak_usage_judge.h"
#include "tests/soak/soak_worker.h"

#include <cstdlib>
#include <memory>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

constexpr int workerCount = 4;
constexpr int callerCount = 12;
constexpr int streamCallerCount = 40;
constexpr int requestDeadlineMs = 1500;
// One in so many streams has the prompt part that crashes workers.
constexpr unsigned badRequestOneIn = 60;
// Equal to RevokeMs and DrainMs under Bounds in the routers' settings (router_soak_test.sh), and the maximum time until a
// router acts on a new configuration.
constexpr auto revocationDeadline = milliseconds(5000);
constexpr auto configDeadline = milliseconds(2000);
constexpr auto drainDeadline = milliseconds(2000);
// A router that is suspended when a worker states that it is leaving learns of it this much later.
constexpr auto maxSuspension = milliseconds(1000);
// After a restore of the store, the operator and the workers write again within this time.
constexpr auto maxRewriteDelay = milliseconds(1300);
// No injected fault separates a router from the store for longer.
constexpr auto maxStaleness = milliseconds(12000);

// One in so many requests is of the other organisation.
constexpr int otherOrganisationOneIn = 3;
// After a restore of the store, reports begin again within this time (docs/OPERATIONS.md).
constexpr auto maxReportPauseAfterRestore = seconds(12);

struct soak_options {
    int storePort = 0;
    int platformApiPort = 0;
    int workerPort = 0;
    int advertisedWorkerPort = 0;
    unsigned seed = 0;
    // How long faults are injected, and how long the callers go on after that.
    seconds duration { 0 };
    seconds calmDuration { 0 };
    // What the script does to the processes of the routers.
    std::string processEvents;
    // Routers are only terminated and reloaded, as an operator does, and no fault is injected. No request may then be cut off.
    bool plannedWorkOnly = false;
    // The store is restored from older copies, and workers state only in their answers that they are leaving. Routers run on,
    // so that each one keeps what it knows.
    bool restoresStore = false;
    // Some requests have a prompt part that crashes the worker, and the routers reach workers directly.
    bool crashesWorkers = false;
    // As with crashesWorkers, but it is one request, which its caller repeats.
    bool repeatsCrashingRequest = false;
    // Workers of two and three versions serve side by side, crash and start again with another version, and all callers follow
    // streams over several requests.
    bool changesVersions = false;
    // The store is silent right after changes, and workers leave a while later.
    bool silencesStore = false;
    // The UDP port at which the proxy takes requests for silences.
    int silencePort = 0;
    std::vector<int> routers;
};

// Returns whether the status guarantees that the request was not executed.
bool guaranteesNotExecuted(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

httplib::Headers requestHeaders(const std::string& id, const std::string& key)
{
    return { { "Host", "h" }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", std::to_string(requestDeadlineMs) }, { "Authorization", "Bearer " + key } };
}

std::unique_ptr<httplib::Client> connect(int port)
{
    auto client = std::make_unique<httplib::Client>("127.0.0.1", port);
    client->set_keep_alive(true);
    client->set_read_timeout(seconds(3));
    return client;
}

// Sends requests of all kinds, reuses its connections at random, and checks every answer.
class soak_caller {
public:
    soak_caller(int number, const soak_options& options, soak_record& record)
        : m_idPrefix(std::to_string(options.seed) + "-" + std::to_string(number) + "-")
        , m_options(options)
        , m_record(record)
        , m_random(options.seed + static_cast<unsigned>(number))
    {
    }

    void run()
    {
        const auto end = steady::now() + m_options.duration + m_options.calmDuration;
        while (steady::now() < end) {
            sendRequest();
            std::this_thread::sleep_for(milliseconds(m_random() % 30));
        }
    }

private:
    void sendRequest()
    {
        static const std::vector<std::string> kinds { "once", "read", "stream" };
        const auto& kind = kinds[m_random() % kinds.size()];
        const auto id = m_idPrefix + std::to_string(m_requestCount++);
        const int port = m_options.routers[m_random() % m_options.routers.size()];
        auto& client = m_clients[port];
        if (!client || m_random() % 8 == 0)
            client = connect(port);
        m_record.recordRouter(id, port);
        const auto path = "/" + kind + "/x";
        const bool isOfOther = m_requestCount % otherOrganisationOneIn == 0;
        if (isOfOther)
            m_record.recordOrganisation(id, soakOtherOrganisation);
        auto headers = requestHeaders(id, isOfOther ? "other-key" : "key");
        const bool isBad = m_options.crashesWorkers && !m_options.repeatsCrashingRequest && kind == "stream" && m_random() % badRequestOneIn == 0;
        headers.emplace("X-Prompt-Prefix", std::string("c0:1000,") + (isBad ? soakBadPart : "a" + std::to_string(m_random() % 4) + ":") + "500," + std::to_string(m_requestCount) + ":100");
        checkResult(kind, id, kind == "once" ? client->Post(path, headers, id, "text/plain") : client->Get(path, headers));
        if (kind == "once" && m_record.executionCount(id) > 1)
            m_record.recordViolation("executed twice:", id);
    }

    void checkResult(const std::string& kind, const std::string& id, const httplib::Result& result)
    {
        if (!result) {
            ++m_record.failed;
            if (m_options.plannedWorkOnly && kind == "once" && m_record.executionCount(id) > 0)
                m_record.recordViolation("cut off by planned work:", id);
            return;
        }
        if (guaranteesNotExecuted(result->status))
            return m_record.recordRefusal(id);
        if (result->status != 200) {
            ++m_record.failed;
            return;
        }
        ++m_record.answered;
        std::string expected = kind == "stream" ? std::string() : soakBody(id);
        for (int number = 1; kind == "stream" && number <= soakEventCount; ++number)
            expected += soakEvent(id, number);
        if (result->body != expected)
            m_record.recordViolation(kind + " of " + std::to_string(result->body.size()) + " bytes instead of " + std::to_string(expected.size()) + " to", id);
    }

    std::string m_idPrefix;
    const soak_options& m_options;
    soak_record& m_record;
    std::mt19937 m_random;
    int m_requestCount = 0;
    std::map<int, std::unique_ptr<httplib::Client>> m_clients;
};

// Drains a worker and makes it ready again, injects faults into the store, and probes which configuration version each
// router has in force.
class soak_operator {
public:
    soak_operator(const soak_options& options, soak_store& store, soak_platform_api& platformApi, soak_worker& drainingWorker, soak_record& record)
        : m_options(options)
        , m_store(store)
        , m_platformApi(platformApi)
        , m_drainingWorker(drainingWorker)
        , m_record(record)
        , m_random(options.seed + 500)
    {
    }

    void run()
    {
        const auto end = steady::now() + m_options.duration;
        while (steady::now() < end) {
            const auto action = m_random() % 8;
            if (action == 1)
                m_store.injectFaults();
            if (action == 2 && !m_options.crashesWorkers && !m_options.silencesStore)
                toggleDraining();
            if (m_options.restoresStore)
                restoreStore(action == 3);
            for (const int router : m_options.routers)
                probeRouter(router);
            std::this_thread::sleep_for(milliseconds(100 + m_random() % 200));
        }
        if (m_rewriteAt)
            m_store.rewrite();
        m_store.endFaults();
        m_platformApi.endFaults();
    }

private:
    // Restores the store if requested, unless the last restore has not been followed by the rewriting yet.
    void restoreStore(bool isRequested)
    {
        if (m_rewriteAt && steady::now() >= *m_rewriteAt) {
            m_store.rewrite();
            m_rewriteAt.reset();
        } else if (isRequested && !m_rewriteAt && m_store.restore()) {
            m_rewriteAt = steady::now() + milliseconds(300 + m_random() % (maxRewriteDelay.count() - 300));
        }
    }

    void toggleDraining()
    {
        m_isDraining = !m_isDraining;
        if (m_options.restoresStore) {
            m_drainingWorker.setLeaving(m_isDraining, drainDeadline + maxSuspension);
            // The worker returns as its own successor, without its record having told of the leaving.
            if (!m_isDraining)
                m_store.restart(0, m_drainingWorker.startAgain());
            return;
        }
        if (m_isDraining)
            m_store.setDraining(0, true);
        else
            m_store.restart(0, m_drainingWorker.startAgain());
        const bool mustStopRequests = m_isDraining && m_options.plannedWorkOnly;
        m_drainingWorker.expectNoRequestsAfter(mustStopRequests ? std::optional(steady::now() + drainDeadline) : std::nullopt);
    }

    // Sends a request to the routes of the newest versions and one with each key that was revoked longer ago than the
    // deadline. A router must not return to an older version, nor accept such a key.
    void probeRouter(int router)
    {
        const int newest = m_store.version();
        auto& newestSeen = m_newestSeenVersion[router];
        const int probedVersions = m_options.restoresStore ? 8 : 2;
        for (int version = std::max(1, newest - probedVersions); version <= newest; ++version) {
            const auto supersededFor = m_store.timeSincePublication(version + 1);
            const int previouslySeen = newestSeen;
            const auto [status, id] = sendProbe(router, "/v" + std::to_string(version) + "/x", "key");
            const bool executed = m_record.executionCount(id) > 0;
            if (status == 200)
                newestSeen = std::max(newestSeen, version);
            if (executed && version < previouslySeen)
                m_record.recordViolation("the configuration reverted from version " + std::to_string(previouslySeen) + " to " + std::to_string(version), id);
            if (m_options.plannedWorkOnly && executed && supersededFor > configDeadline)
                m_record.recordViolation("an old configuration is still in force for", id);
            if (m_options.restoresStore && executed && supersededFor > configDeadline + maxRewriteDelay + maxSuspension)
                m_record.recordViolation("an old configuration is still in force for", id);
        }
        // Key N is revoked by version N + 2. A router that cannot reach the store may still have the key in its configuration, but
        // must not accept it after revocationDeadline. No fault lasts longer than maxStaleness, so keys that were revoked earlier
        // are not probed.
        for (int keyNumber = 1; keyNumber + 2 <= newest; ++keyNumber) {
            const auto revokedFor = m_store.timeSincePublication(keyNumber + 2);
            if (revokedFor <= revocationDeadline || revokedFor > maxStaleness)
                continue;
            const auto [status, id] = sendProbe(router, "/read/x", "key-" + std::to_string(keyNumber));
            if (m_record.executionCount(id) > 0)
                m_record.recordViolation("a revoked key is still accepted, status " + std::to_string(status), id);
        }
    }

    std::pair<int, std::string> sendProbe(int router, const std::string& path, const std::string& key)
    {
        const auto id = "probe-" + std::to_string(m_options.seed) + "-" + std::to_string(m_probeCount++);
        if (m_options.silencesStore)
            m_record.recordRouter(id, router);
        auto& client = m_clients[router];
        if (!client)
            client = connect(router);
        client->set_read_timeout(milliseconds(requestDeadlineMs));
        const auto result = client->Get(path, requestHeaders(id, key));
        if (!result)
            client.reset();
        return { result ? result->status : 0, id };
    }

    const soak_options& m_options;
    soak_store& m_store;
    soak_platform_api& m_platformApi;
    soak_worker& m_drainingWorker;
    soak_record& m_record;
    std::mt19937 m_random;
    int m_probeCount = 0;
    bool m_isDraining = false;
    // When the operator and the workers write again what the last restore has lost.
    std::optional<steady::time_point> m_rewriteAt;
    std::map<int, int> m_newestSeenVersion;
    std::map<int, std::unique_ptr<httplib::Client>> m_clients;
};

void publishVersions(const soak_options& options, soak_store& store)
{
    std::mt19937 random(options.seed + 600);
    const auto end = steady::now() + options.duration;
    while (steady::now() < end) {
        std::this_thread::sleep_for(milliseconds(300 + random() % 1200));
        store.publish();
    }
}

// Starts each worker again at some time, mostly with another version, so that two or three of them serve side by side.
void changeVersions(const soak_options& options, std::vector<std::unique_ptr<soak_worker>>& workers, std::vector<std::atomic<int>>& versions)
{
    std::mt19937 random(options.seed + 700);
    const auto end = steady::now() + options.duration;
    for (int round = 0; steady::now() < end; ++round) {
        std::this_thread::sleep_for(milliseconds(400 + random() % 2200));
        const auto number = static_cast<std::size_t>(random() % workers.size());
        versions[number] = 1 + static_cast<int>((number + static_cast<std::size_t>(round) / 3) % 3) % 2 + static_cast<int>(random() % 2);
        workers[number]->crash(versions[number]);
    }
}

// The version with which a worker starts: two of each.
int firstVersion(const soak_options& options, int worker)
{
    return options.changesVersions ? 1 + worker % 2 : 1;
}

// Judges the reports that the API was sent, and prints their numbers.
void judgeReports(const soak_options& options, soak_store& store, soak_platform_api& platformApi, std::chrono::system_clock::time_point faultsEndedAt, soak_record& record)
{
    const auto end = std::chrono::system_clock::now();
    const soak_process_events events(options.processEvents);
    const soak_usage_judge judge(platformApi.calls(), store.dutyWrites(), events);
    std::vector<std::string> violations;
    // The holder before the run made the report that it had decided, and got no answer.
    judge.checkRules(store.firstReport(), violations);
    if (const int malformed = platformApi.malformedCalls())
        violations.push_back(std::to_string(malformed) + " malformed reports");
    int judged = 0;
    if (options.calmDuration > seconds(0)) {
        const auto pause = options.restoresStore ? maxReportPauseAfterRestore : seconds(0);
        judged = judge.checkReports(record.runs(), faultsEndedAt + pause, end, violations);
        if (judged == 0)
            violations.emplace_back("no window could be judged after the faults");
    }
    for (const auto& violation : violations)
        record.recordViolation(violation);
    std::cout << "report_calls=" << judge.callCount() << " holders=" << judge.holderCount() << " windows=" << judge.acceptedCount() << " windows_judged=" << judged << std::endl;
}

// Does not return: ends the process with 1 if a guarantee was violated.
[[noreturn]] void runSoak(const soak_options& options)
{
    soak_record record;
    const bool injectsFaults = !options.plannedWorkOnly;
    soak_store store({ .port = options.storePort, .workerPort = options.advertisedWorkerPort, .workers = workerCount, .requestDeadlineMs = requestDeadlineMs, .seed = options.seed, .injectsFaults = injectsFaults && !options.restoresStore && !options.crashesWorkers && !options.silencesStore, .delaysDutyWrites = injectsFaults, .allowsLongWatches = options.silencesStore, .usageWindow = soak_usage_judge::windowLength });
    soak_platform_api platformApi({ .port = options.platformApiPort, .routers = static_cast<int>(options.routers.size()), .seed = options.seed + 400, .injectsFaults = injectsFaults, .rejectHolder = [&store](std::uint64_t token, milliseconds span) { store.rejectHolder(token, span); } });
    std::vector<std::atomic<int>> versions(workerCount);
    for (int number = 0; number < workerCount; ++number) {
        versions[static_cast<std::size_t>(number)] = firstVersion(options, number);
        store.setVersion(number, firstVersion(options, number));
    }
    std::vector<std::unique_ptr<soak_worker>> workers;
    workers.reserve(workerCount);
    soak_silences silences({ .seed = options.seed + 1100, .controlPort = options.silencePort, .drainTime = drainDeadline, .duration = options.duration, .routers = options.routers }, store, workers, record);
    std::function<void(const std::string&)> onLateRequest;
    if (options.silencesStore)
        onLateRequest = [&silences](const std::string& id) { silences.recordLateRequest(id); };
    for (int number = 0; number < workerCount; ++number) {
        const auto& version = versions[static_cast<std::size_t>(number)];
        workers.push_back(std::make_unique<soak_worker>(soak_worker::options {
                                                            .number = number,
                                                            .port = options.workerPort + number,
                                                            .seed = options.seed + 1000 + static_cast<unsigned>(number),
                                                            .injectsFaults = !options.plannedWorkOnly && !options.crashesWorkers,
                                                            .onRestart = [&store, &version, number](int start) { store.restart(number, start, version.load()); },
                                                            .onLateRequest = onLateRequest,
                                                            .checksPauses = options.restoresStore,
                                                            .namesLimits = options.restoresStore,
                                                            .marksVersions = options.changesVersions,
                                                            .version = version,
                                                        },
            record));
    }
    std::this_thread::sleep_for(seconds(1));
    std::vector<std::thread> threads;
    threads.reserve(streamCallerCount + 3);
    soak_operator operatorActions(options, store, platformApi, *workers.front(), record);
    std::chrono::system_clock::time_point faultsEndedAt;
    threads.emplace_back([&] {
        operatorActions.run();
        faultsEndedAt = std::chrono::system_clock::now();
    });
    threads.emplace_back([&options, &store] { publishVersions(options, store); });
    if (options.changesVersions)
        threads.emplace_back([&] { changeVersions(options, workers, versions); });
    if (options.silencesStore)
        threads.emplace_back([&silences] { silences.run(); });
    const auto end = steady::now() + options.duration + options.calmDuration;
    if (options.repeatsCrashingRequest) {
        threads.emplace_back([&options, &record, end] {
            const httplib::Headers headers { { "Host", "h" }, { "X-Deadline-Ms", std::to_string(requestDeadlineMs) }, { "Authorization", "Bearer key" } };
            soak_repeating_caller({ options.seed + 900, options.routers, headers }, record).run(end);
        });
    }
    for (int number = 0; options.changesVersions && number < streamCallerCount; ++number) {
        const auto seed = options.seed + 800 + static_cast<unsigned>(number);
        const auto idPrefix = "s" + std::to_string(options.seed) + "-" + std::to_string(number) + "-";
        threads.emplace_back([&, seed, idPrefix] { soak_stream_caller({ idPrefix, seed, options.routers, requestDeadlineMs }, record).run(end); });
    }
    std::vector<std::unique_ptr<soak_caller>> callers;
    callers.reserve(callerCount);
    for (int number = 0; !options.changesVersions && number < callerCount; ++number) {
        callers.push_back(std::make_unique<soak_caller>(number, options, record));
        threads.emplace_back([caller = callers.back().get()] { caller->run(); });
    }
    for (auto& thread : threads)
        thread.join();
    // Waits for the deadline of the last request: a refused request must not be executed later either.
    std::this_thread::sleep_for(milliseconds(requestDeadlineMs));
    record.checkRefusals();
    judgeReports(options, store, platformApi, faultsEndedAt, record);
    if (options.silencesStore)
        silences.judge(soak_process_events(options.processEvents));
    if (options.changesVersions)
        std::cout << "new_streams=" << record.newStreams << " begun=" << record.begunCount << " taken_up=" << record.takeUps << " went_on=" << record.wentOnCount << " joined=" << record.joinedStreams() << std::endl;
    if (options.repeatsCrashingRequest)
        std::cout << "repeats_at_workers=" << record.repeatCount() << std::endl;
    std::cout << "answered=" << record.answered << " refused=" << record.refusalCount() << " failed=" << record.failed << " versions=" << store.version() << " broken=" << record.violationCount() << std::endl;
    // Without destructors: the servers would wait for seconds until idle connections are closed.
    std::quick_exit(record.violationCount() == 0 && record.answered > 0 ? 0 : 1);
}

} // namespace

// Arguments: store port, first worker port, first worker port in the worker records, seed, seconds,
// all, planned, restores, crashes, repeats, versions or silences (kinds of faults), port of the platform's API, seconds without faults
// after that, file of what is done to the processes, UDP port of the proxy for silences, router ports.
int main(int argumentCount, char** arguments)
{
    if (argumentCount < 12) {
        std::cerr << "usage: soak-router-world STORE_PORT WORKER_PORT ADVERTISED_WORKER_PORT SEED SECONDS all|planned|restores|crashes|repeats|versions|silences API_PORT CALM_SECONDS EVENTS_FILE SILENCE_PORT ROUTER_PORT...\n";
        return 2;
    }
    soak_options options;
    options.storePort = std::atoi(arguments[1]);
    options.workerPort = std::atoi(arguments[2]);
    options.advertisedWorkerPort = std::atoi(arguments[3]);
    options.seed = static_cast<unsigned>(std::atoi(arguments[4]));
    options.duration = seconds(std::atoi(arguments[5]));
    options.plannedWorkOnly = std::string(arguments[6]) == "planned";
    options.restoresStore = std::string(arguments[6]) == "restores";
    options.repeatsCrashingRequest = std::string(arguments[6]) == "repeats";
    options.crashesWorkers = std::string(arguments[6]) == "crashes" || options.repeatsCrashingRequest;
    options.changesVersions = std::string(arguments[6]) == "versions";
    options.silencesStore = std::string(arguments[6]) == "silences";
    options.platformApiPort = std::atoi(arguments[7]);
    options.calmDuration = seconds(std::atoi(arguments[8]));
    options.processEvents = arguments[9];
    options.silencePort = std::atoi(arguments[10]);
    for (int index = 11; index < argumentCount; ++index)
        options.routers.push_back(std::atoi(arguments[index]));
    runSoak(options);
}
