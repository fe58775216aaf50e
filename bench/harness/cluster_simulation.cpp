#include "bench/harness/cluster_simulation.h"

#include "bench/harness/answer_text.h"
#include "bench/harness/arrival_plan.h"

#include <algorithm>

namespace kumquat_bench {

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

    // Callers start only after this time, so that the entries have received the first reports.
    constexpr std::chrono::seconds warmUp { 3 };
    // Every request reaches its own deadline within this time after the last arrival, so the simulation may stop then.
    constexpr std::chrono::seconds maxTimeAfterLastArrival { 700 };
    // Latency between a sidecar and its upstream, which run on the same instance.
    constexpr std::chrono::microseconds localDelay { 200 };
    constexpr std::chrono::seconds probeInterval { 1 };
    constexpr std::chrono::milliseconds probeDelay { 500 };
    constexpr std::uint32_t plainSlots = 16;
    // A reducer that requests more timers than this without time advancing would put a real process into a busy loop.
    constexpr std::uint32_t maxTimersAtOneInstant = 100;
    // Delay of the next timer once such a loop is reported, so that the simulation makes progress.
    constexpr std::chrono::milliseconds timerLoopDelay { 100 };
    // Requests name their simulated caller in a parameter of the content type, because the fingerprint does not cover the
    // content type.
    constexpr std::string_view callerContentTypePrefix = "application/json; caller=";

} // namespace

cluster_simulation::cluster_simulation(scenario plan, const compared_policy& policy, offer_mutator mutator)
    : m_plan(std::move(plan))
    , m_policy(policy)
    , m_mutateOffer(std::move(mutator))
    , m_queue(instant { 1h })
    , m_start(m_queue.now() + warmUp)
    , m_network(m_plan.network, m_plan.seed + 1)
    , m_callers(planArrivals(m_plan, m_start))
    , m_checks([this](const std::string& requestId) -> const caller_record* {
        const auto found = m_callersByRequest.find(requestId);
        return found == m_callersByRequest.end() ? nullptr : found->second;
    })
    , m_random(m_plan.seed + 2)
{
    const auto& site = m_plan.site;
    for (std::uint32_t index = 0; index < site.engines; ++index)
        addSidecar(site.engineService, service_kind::engine, index);
    for (std::uint32_t index = 0; index < site.plainWorkers; ++index)
        addSidecar(site.plainService, service_kind::plain, index);
    for (std::uint32_t index = 0; index < site.entries; ++index)
        addEntry(index);
    for (auto& sidecar : m_sidecars)
        startSidecar(*sidecar);
    for (auto& entry : m_entries)
        startEntry(*entry);
    scheduleCallers();
    for (const auto& item : m_plan.faults)
        scheduleFault(item);
}

void cluster_simulation::addEntry(std::uint32_t index)
{
    auto created = std::make_unique<entry_process>();
    const auto& dataCentres = m_plan.site.dataCentres;
    created->address = "tcp://entry-" + std::to_string(index);
    created->dataCentre = dataCentres[index % dataCentres.size()];
    created->options = { .id = "entry-" + std::to_string(index), .address = created->address, .dataCentre = created->dataCentre, .seed = m_plan.seed + index, .policy = m_policy.routing };
    m_entriesByAddress.emplace(created->address, created.get());
    m_entries.push_back(std::move(created));
}

void cluster_simulation::addSidecar(const std::string& service, service_kind kind, std::uint32_t index)
{
    auto created = std::make_unique<sidecar_process>();
    const auto& dataCentres = m_plan.site.dataCentres;
    const auto id = service + "-" + std::to_string(index);
    const bool isEngine = kind == service_kind::engine;
    created->address = "tcp://" + id;
    created->dataCentre = dataCentres[index % dataCentres.size()];
    created->options = { .id = id, .address = created->address, .service = service, .kind = kind, .dataCentre = created->dataCentre, .slots = isEngine ? m_plan.site.engine.maxBatchSize : plainSlots, .queueLimit = m_plan.site.queueLimit, .seed = m_plan.seed + 1000 + index, .policy = m_policy.scheduling };
    if (isEngine)
        created->engine = std::make_unique<simulated_engine>(m_plan.site.engine);
    m_sidecarsByAddress.emplace(created->address, created.get());
    m_sidecars.push_back(std::move(created));
}

void cluster_simulation::startEntry(entry_process& entry)
{
    entry.incarnation = entry.options.incarnation = m_nextIncarnation++;
    entry.reducer = std::make_unique<entry_reducer>(entry.options);
    entry.scheduledDeadline.reset();
    step(entry, entry_document_received { m_plan.site.document });
    step(entry, instances_listed { listInstances() });
}

void cluster_simulation::startSidecar(sidecar_process& sidecar)
{
    sidecar.incarnation = sidecar.options.incarnation = m_nextIncarnation++;
    sidecar.reducer = std::make_unique<sidecar_reducer>(sidecar.options);
    sidecar.scheduledDeadline.reset();
    sidecar.checkedRefusals.clear();
    sidecar.openAttempts.clear();
    step(sidecar, document_received { m_plan.site.document });
    step(sidecar, upstream_probed { .healthy = isUp(sidecar) });
    runAfter(sidecar, probeInterval, [this, &sidecar] { probe(sidecar); });
}

bool cluster_simulation::isUp(const sidecar_process& sidecar) const
{
    return !sidecar.engine || sidecar.engine->isUp();
}

void cluster_simulation::probe(sidecar_process& sidecar)
{
    const upstream_probed probeResult { .healthy = isUp(sidecar), .running = sidecar.engine ? static_cast<std::uint32_t>(sidecar.engine->runningCount()) : 0 };
    runAfter(sidecar, probeDelay, [this, &sidecar, probeResult] { step(sidecar, probeResult); });
    runAfter(sidecar, probeInterval, [this, &sidecar] { probe(sidecar); });
}

std::vector<instance> cluster_simulation::listInstances() const
{
    std::vector<instance> instances;
    for (const auto& sidecar : m_sidecars) {
        if (sidecar->reducer || !sidecar->leavingSince)
            instances.push_back({ .id = sidecar->options.id, .role = "sidecar", .service = sidecar->options.service, .dataCentre = sidecar->dataCentre, .address = sidecar->address, .leaving = sidecar->leavingSince.has_value() });
    }
    for (const auto& entry : m_entries)
        instances.push_back({ .id = entry->options.id, .role = "entry", .dataCentre = entry->dataCentre, .address = entry->address });
    return instances;
}

void cluster_simulation::publishInstanceList()
{
    m_queue.scheduleAfter(m_plan.network.instanceListDelay, [this, instances = listInstances()] {
        for (auto& entry : m_entries)
            runUnlessPaused(*entry, [this, &entry = *entry, instances] { step(entry, instances_listed { instances }); });
    });
}

void cluster_simulation::scheduleCallers()
{
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        m_queue.scheduleAt(m_callers[index].arrival, [this, index] { sendRequest(index); });
        if (m_callers[index].disconnectsAt)
            m_queue.scheduleAt(*m_callers[index].disconnectsAt, [this, index] { disconnect(index); });
    }
    m_openCallers = m_callers.size();
}

void cluster_simulation::sendRequest(std::size_t index)
{
    auto& caller = m_callers[index];
    const auto& site = m_plan.site;
    caller_request request;
    request.method = "POST";
    request.contentType = std::string(callerContentTypePrefix) + std::to_string(index);
    request.keyDigest = site.document->findOrganisation(caller.organisation)->keyDigests.front();
    request.className = caller.requestClass->name;
    request.body = caller.body;
    if (caller.isPlain()) {
        request.path = "/services/" + site.plainService + "/call";
    } else {
        request.path = "/v1/chat/completions";
        request.format = answer_format::chat_stream;
        request.completion = completion_summary { .model = site.model, .streaming = true, .prefixHashes = { caller.sharedPrefixHash, caller.bodyHash }, .promptBytes = caller.profile->promptTokens * 4 };
    }
    auto& entry = *m_entries[caller.entry];
    runUnlessPaused(entry, [this, &entry, index, request] {
        if (m_callers[index].outcome == caller_outcome::open)
            step(entry, caller_arrived { index + 1, request });
    });
}

void cluster_simulation::disconnect(std::size_t index)
{
    auto& caller = m_callers[index];
    // A caller that has received its first token stays connected, unless the scenario has callers disconnect at random times.
    if (caller.outcome != caller_outcome::open || (caller.firstTokenAt && m_plan.disconnectingShare == 0))
        return;
    caller.outcome = caller_outcome::disconnected;
    caller.endedAt = m_queue.now();
    countEnd(caller);
    auto& entry = *m_entries[caller.entry];
    runUnlessPaused(entry, [this, &entry, index] { step(entry, caller_disconnected { index + 1 }); });
}

void cluster_simulation::countEnd(const caller_record& caller)
{
    if (caller.outcome != caller_outcome::open)
        m_openCallers--;
}

void cluster_simulation::scheduleFault(const fault& item)
{
    std::visit([this](const auto& concrete) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(concrete)>, crashing_caller>)
            m_queue.scheduleAt(m_start + concrete.at, [this, concrete] { apply(concrete); });
    },
        item);
}

void cluster_simulation::apply(const engine_crash& event)
{
    crashEngine(*m_sidecars[event.engine], nullptr);
}

void cluster_simulation::apply(const engine_slowdown& event)
{
    m_sidecars[event.engine]->engine->slowDown(event.factor);
}

void cluster_simulation::apply(const sidecar_drain& event)
{
    auto& sidecar = *m_sidecars[event.sidecar];
    if (!sidecar.reducer || sidecar.leavingSince)
        return;
    sidecar.leavingSince = m_queue.now();
    step(sidecar, drain_requested {});
    publishInstanceList();
}

void cluster_simulation::apply(const sidecar_restart& event)
{
    auto& sidecar = *m_sidecars[event.sidecar];
    if (!sidecar.reducer)
        return;
    // The engine aborts every run whose connection closes. It does not crash, but crash() followed by recover() aborts
    // the runs.
    if (sidecar.engine && sidecar.engine->isUp()) {
        sidecar.engine->crash(m_queue.now());
        sidecar.engine->recover();
        sidecar.scheduledIterationEnd.reset();
    }
    sidecar.plainRuns.clear();
    startSidecar(sidecar);
    if (sidecar.leavingSince)
        step(sidecar, drain_requested {});
}

void cluster_simulation::apply(const entry_restart& event)
{
    auto& entry = *m_entries[event.entry];
    for (auto& caller : m_callers) {
        if (caller.outcome != caller_outcome::open || caller.entry != event.entry || caller.arrival > m_queue.now())
            continue;
        caller.outcome = caller_outcome::connection_lost;
        caller.endedAt = m_queue.now();
        countEnd(caller);
    }
    startEntry(entry);
}

void cluster_simulation::apply(const sidecar_pause& event)
{
    pause(*m_sidecars[event.sidecar], event.length);
}

void cluster_simulation::apply(const entry_pause& event)
{
    pause(*m_entries[event.entry], event.length);
}

void cluster_simulation::pause(process& target, duration length)
{
    target.pausedUntil = std::max(target.pausedUntil, m_queue.now() + length);
    m_queue.scheduleAt(target.pausedUntil, [this, &target] { runBacklog(target); });
}

void cluster_simulation::runBacklog(process& target)
{
    while (target.pausedUntil <= m_queue.now() && !target.backlog.empty()) {
        const auto task = std::move(target.backlog.front());
        target.backlog.pop_front();
        task();
    }
}

void cluster_simulation::runUnlessPaused(process& target, event_queue::action task)
{
    const bool canRunNow = target.pausedUntil <= m_queue.now() && target.backlog.empty();
    if (canRunNow)
        task();
    else
        target.backlog.push_back(std::move(task));
}

void cluster_simulation::runAfter(process& target, duration delay, event_queue::action task)
{
    auto guardedTask = [&target, incarnation = target.incarnation, task = std::move(task)] {
        if (target.incarnation == incarnation)
            task();
    };
    m_queue.scheduleAfter(delay, [this, &target, guardedTask = std::move(guardedTask)] {
        const bool canRunNow = target.pausedUntil <= m_queue.now() && target.backlog.empty();
        if (canRunNow)
            guardedTask();
        else
            target.backlog.emplace_back(guardedTask);
    });
}

void cluster_simulation::step(entry_process& entry, const entry_event& event)
{
    entry_effects effects;
    entry.reducer->step(event, m_queue.now(), effects);
    m_steps++;
    for (const auto& effect : effects)
        std::visit([&](const auto& concrete) { perform(entry, concrete); }, effect);
    scheduleTimer(entry);
}

void cluster_simulation::step(sidecar_process& sidecar, const sidecar_event& event)
{
    if (!sidecar.reducer)
        return;
    sidecar_effects effects;
    sidecar.reducer->step(event, m_queue.now(), effects);
    m_steps++;
    for (const auto& effect : effects)
        std::visit([&](const auto& concrete) { perform(sidecar, concrete); }, effect);
    if (sidecar.reducer)
        scheduleTimer(sidecar);
}

template <typename Process>
void cluster_simulation::scheduleTimer(Process& target)
{
    const auto deadline = target.reducer->nextDeadline();
    if (!deadline || (target.scheduledDeadline && *target.scheduledDeadline <= *deadline))
        return;
    target.scheduledDeadline = deadline;
    auto dueTime = std::max(*deadline, m_queue.now());
    if (target.timersAtSameInstant > maxTimersAtOneInstant) {
        m_checks.timerLoopDetected(target.options.id, m_queue.now());
        dueTime = m_queue.now() + timerLoopDelay;
    }
    runAfter(target, dueTime - m_queue.now(), [this, &target, deadline] {
        if (target.scheduledDeadline == deadline)
            fireTimer(target);
    });
}

template <typename Process>
void cluster_simulation::fireTimer(Process& target)
{
    target.scheduledDeadline.reset();
    target.timersAtSameInstant = target.lastTimerTime == m_queue.now() ? target.timersAtSameInstant + 1 : 0;
    target.lastTimerTime = m_queue.now();
    if constexpr (std::is_same_v<Process, entry_process>)
        step(target, entry_timer_due {});
    else
        step(target, timer_due {});
}

duration cluster_simulation::delayBetween(const process& from, const process& to) const
{
    constexpr std::chrono::microseconds withinDataCentre { 200 };
    return from.dataCentre == to.dataCentre ? duration(withinDataCentre) : m_plan.site.oneWayDelay;
}

void cluster_simulation::send(const process& from, const std::string& address, const peer_message& message)
{
    const process* target = nullptr;
    if (const auto entry = m_entriesByAddress.find(address); entry != m_entriesByAddress.end())
        target = entry->second;
    else if (const auto sidecar = m_sidecarsByAddress.find(address); sidecar != m_sidecarsByAddress.end())
        target = sidecar->second;
    if (!target)
        return;
    const bool isReport = std::holds_alternative<report>(message);
    // Load reports have a link of their own, so that their extra delay does not hold back other messages.
    auto link = address;
    auto delay = delayBetween(from, *target);
    if (isReport) {
        link += "/reports";
        delay += m_plan.network.reportDelay;
    }
    for (const auto arrivalTime : m_network.arrivalTimes(from.address, link, delay, m_queue.now()))
        m_queue.scheduleAt(arrivalTime, [this, address, message] { deliver(address, message); });
}

void cluster_simulation::deliver(const std::string& address, const peer_message& message)
{
    if (const auto found = m_entriesByAddress.find(address); found != m_entriesByAddress.end()) {
        auto& entry = *found->second;
        runUnlessPaused(entry, [this, &entry, message] { step(entry, entry_peer_received { message }); });
        return;
    }
    auto& sidecar = *m_sidecarsByAddress.at(address);
    runUnlessPaused(sidecar, [this, &sidecar, message] {
        auto messageCopy = message;
        if (auto* request = std::get_if<offer>(&messageCopy); request && m_mutateOffer && sidecar.reducer)
            m_mutateOffer(*request, *sidecar.reducer);
        if (const auto* request = std::get_if<offer>(&messageCopy))
            sidecar.openAttempts.insert(request->attempt);
        step(sidecar, peer_received { std::move(messageCopy) });
    });
}

void cluster_simulation::perform(entry_process& entry, const send_to_sidecar& effect)
{
    if (const auto* request = std::get_if<offer>(&effect.message)) {
        if (auto* caller = callerOf(request->job.contentType))
            m_callersByRequest.emplace(request->attempt.requestId, caller);
    }
    send(entry, effect.address, effect.message);
}

void cluster_simulation::perform(entry_process&, const append_answer& effect)
{
    m_checks.textReceived(m_callers[effect.channel - 1], effect.text, m_queue.now());
}

void cluster_simulation::perform(entry_process&, const finish_answer& effect)
{
    auto& caller = m_callers[effect.channel - 1];
    const bool wasOpen = caller.outcome == caller_outcome::open;
    m_checks.answerFinished(caller, m_queue.now());
    if (wasOpen)
        countEnd(caller);
}

void cluster_simulation::perform(entry_process&, const fail_answer& effect)
{
    auto& caller = m_callers[effect.channel - 1];
    const bool wasOpen = caller.outcome == caller_outcome::open;
    m_checks.answerFailed(caller, effect.error, m_queue.now());
    if (wasOpen)
        countEnd(caller);
}

void cluster_simulation::perform(sidecar_process& sidecar, const send_to_peer& effect)
{
    if (const auto* finished = std::get_if<offer_finished>(&effect.message))
        sidecar.openAttempts.erase(finished->header.attempt);
    if (const auto* failed = std::get_if<offer_failed>(&effect.message))
        sidecar.openAttempts.erase(failed->header.attempt);
    if (const auto* withdrawn = std::get_if<offer_withdrawn>(&effect.message))
        sidecar.openAttempts.erase(withdrawn->header.attempt);
    if (const auto* refusal = std::get_if<offer_refused>(&effect.message)) {
        sidecar.openAttempts.erase(refusal->header.attempt);
        const bool isShed = refusal->reason == error_code::overloaded || refusal->reason == error_code::target_unreachable;
        if (isShed && sidecar.checkedRefusals.insert(refusal->header.attempt).second)
            m_checks.attemptShed(*sidecar.reducer, sidecar.openAttempts, refusal->header.attempt.requestId, refusal->reason, m_queue.now());
    }
    send(sidecar, effect.address, effect.message);
}

void cluster_simulation::perform(sidecar_process& sidecar, const start_run& effect)
{
    m_checks.runRequested(sidecar.options.id, sidecar.leavingSince, m_queue.now());
    m_queue.scheduleAfter(localDelay, [this, &sidecar, incarnation = sidecar.incarnation, effect] {
        if (sidecar.incarnation == incarnation)
            callUpstream(sidecar, effect);
    });
}

void cluster_simulation::callUpstream(sidecar_process& sidecar, const start_run& call)
{
    if (!isUp(sidecar)) {
        runAfter(sidecar, localDelay, [this, &sidecar, run = call.run] {
            step(sidecar, run_failed { .run = run, .started = false, .message = "connection refused" });
        });
        return;
    }
    auto& caller = *callerOf(call.job.contentType);
    m_checks.runStarted(caller, m_queue.now());
    if (sidecar.engine) {
        sidecar.engine->start(call.run, caller, call.resumeTokens, m_queue.now());
        scheduleIteration(sidecar);
        return;
    }
    sidecar.plainRuns.insert(call.run);
    const double mean = std::chrono::duration<double>(caller.profile->serviceTime).count();
    const auto callTime = std::uniform_real_distribution<double>(0.5 * mean, 1.5 * mean)(m_random);
    runAfter(sidecar, std::chrono::duration_cast<duration>(std::chrono::duration<double>(callTime)), [this, &sidecar, &caller, run = call.run] {
        if (sidecar.plainRuns.erase(run) == 0)
            return;
        step(sidecar, run_head { run, 200, "application/json" });
        step(sidecar, run_output { run, answerToken(caller.bodyHash, 0), 0 });
        step(sidecar, run_finished { run, "stop", 0 });
    });
}

void cluster_simulation::perform(sidecar_process& sidecar, const cancel_run& effect)
{
    m_queue.scheduleAfter(localDelay, [&sidecar, incarnation = sidecar.incarnation, run = effect.run] {
        if (sidecar.incarnation != incarnation)
            return;
        if (sidecar.engine)
            sidecar.engine->cancel(run);
        sidecar.plainRuns.erase(run);
    });
}

void cluster_simulation::perform(sidecar_process& sidecar, const stop_process&)
{
    m_checks.stoppedAfterDrain(sidecar.options.id, sidecar.reducer->runningCount(), m_queue.now());
    sidecar.reducer.reset();
    sidecar.incarnation = 0;
    publishInstanceList();
}

void cluster_simulation::scheduleIteration(sidecar_process& sidecar)
{
    const auto end = sidecar.engine->iterationEnd();
    if (!end || sidecar.scheduledIterationEnd == end)
        return;
    sidecar.scheduledIterationEnd = end;
    m_queue.scheduleAt(*end, [this, &sidecar, end] {
        if (sidecar.scheduledIterationEnd == end && sidecar.engine->iterationEnd() == end)
            finishIteration(sidecar);
    });
}

void cluster_simulation::finishIteration(sidecar_process& sidecar)
{
    auto outcome = sidecar.engine->finishIteration(m_queue.now());
    for (auto& event : outcome.events)
        runAfter(sidecar, localDelay, [this, &sidecar, event = std::move(event)] { step(sidecar, event); });
    if (outcome.crashedBy) {
        crashEngine(sidecar, outcome.crashedBy);
        return;
    }
    scheduleIteration(sidecar);
}

void cluster_simulation::crashEngine(sidecar_process& sidecar, const caller_record* cause)
{
    if (!sidecar.engine->isUp())
        return;
    if (cause)
        m_crashesByBody[cause->body]++;
    for (const auto run : sidecar.engine->crash(m_queue.now()))
        runAfter(sidecar, localDelay, [this, &sidecar, run] { step(sidecar, run_failed { .run = run, .started = true, .connectionBroke = true, .message = "connection broke" }); });
    m_queue.scheduleAfter(m_plan.site.engine.restartTime, [&sidecar] { sidecar.engine->recover(); });
}

caller_record* cluster_simulation::callerOf(const std::string& contentType)
{
    if (!contentType.starts_with(callerContentTypePrefix))
        return nullptr;
    return &m_callers[std::stoul(contentType.substr(callerContentTypePrefix.size()))];
}

std::size_t cluster_simulation::maxCrashesByOneRequest() const
{
    std::size_t maximum = 0;
    for (const auto& [body, crashes] : m_crashesByBody)
        maximum = std::max(maximum, crashes);
    return maximum;
}

void cluster_simulation::run()
{
    const auto arrivalsEnd = m_start + m_plan.length;
    const auto limit = arrivalsEnd + maxTimeAfterLastArrival;
    m_queue.scheduleAt(arrivalsEnd, [this] { m_network.disableFaults(); });
    while ((m_openCallers > 0 || m_queue.now() < arrivalsEnd) && m_queue.now() < limit)
        m_queue.runNext();
    for (const auto& caller : m_callers) {
        if (caller.outcome == caller_outcome::open)
            m_checks.neverEnded(caller, m_queue.now());
    }
}

} // namespace kumquat_bench
