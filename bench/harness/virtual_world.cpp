#include "bench/harness/virtual_world.h"

#include "bench/harness/answer_text.h"
#include "bench/harness/arrival_plan.h"

#include <algorithm>

namespace kumquat_bench {

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

    // Time for the first reports to reach the entries before callers come.
    constexpr std::chrono::seconds warmUp { 3 };
    // After the last arrival every request has ended by its own time limit.
    constexpr std::chrono::seconds longestTail { 700 };
    // A sidecar and its upstream share an instance.
    constexpr std::chrono::microseconds localDelay { 200 };
    constexpr std::chrono::seconds probeInterval { 1 };
    constexpr std::chrono::milliseconds probeLag { 500 };
    constexpr std::uint32_t plainSlots = 16;
    // A reducer that wants this many timers at one instant would keep a real process busy without end.
    constexpr std::uint32_t mostTimersAtOnce = 100;
    constexpr std::chrono::milliseconds spinPenalty { 100 };
    // The fake callers mark their requests with a parameter of the content type, which is no part of the fingerprint.
    constexpr std::string_view callerMark = "application/json; caller=";

} // namespace

virtual_world::virtual_world(scenario plan, const policy_choice& policy, offer_tamper tamper)
    : m_plan(std::move(plan))
    , m_policy(policy)
    , m_tamper(std::move(tamper))
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

void virtual_world::addEntry(std::uint32_t index)
{
    auto added = std::make_unique<entry_process>();
    const auto& centres = m_plan.site.dataCentres;
    added->address = "tcp://entry-" + std::to_string(index);
    added->dataCentre = centres[index % centres.size()];
    added->options = { .id = "entry-" + std::to_string(index), .address = added->address, .dataCentre = added->dataCentre, .seed = m_plan.seed + index, .policy = m_policy.routing };
    m_entriesByAddress.emplace(added->address, added.get());
    m_entries.push_back(std::move(added));
}

void virtual_world::addSidecar(const std::string& service, service_kind kind, std::uint32_t index)
{
    auto added = std::make_unique<sidecar_process>();
    const auto& centres = m_plan.site.dataCentres;
    const auto id = service + "-" + std::to_string(index);
    const bool isEngine = kind == service_kind::engine;
    added->address = "tcp://" + id;
    added->dataCentre = centres[index % centres.size()];
    added->options = { .id = id, .address = added->address, .service = service, .kind = kind, .dataCentre = added->dataCentre, .slots = isEngine ? m_plan.site.engine.maximumBatch : plainSlots, .queueLimit = m_plan.site.queueLimit, .seed = m_plan.seed + 1000 + index, .policy = m_policy.scheduling };
    if (isEngine)
        added->engine = std::make_unique<fake_engine>(m_plan.site.engine);
    m_sidecarsByAddress.emplace(added->address, added.get());
    m_sidecars.push_back(std::move(added));
}

void virtual_world::startEntry(entry_process& entry)
{
    entry.incarnation = entry.options.incarnation = m_nextIncarnation++;
    entry.reducer = std::make_unique<entry_reducer>(entry.options);
    entry.timer.reset();
    step(entry, entry_document_received { m_plan.site.document });
    step(entry, instances_listed { listInstances() });
}

void virtual_world::startSidecar(sidecar_process& sidecar)
{
    sidecar.incarnation = sidecar.options.incarnation = m_nextIncarnation++;
    sidecar.reducer = std::make_unique<sidecar_reducer>(sidecar.options);
    sidecar.timer.reset();
    sidecar.refused.clear();
    sidecar.live.clear();
    step(sidecar, document_received { m_plan.site.document });
    step(sidecar, upstream_probed { .healthy = isUp(sidecar) });
    later(sidecar, probeInterval, [this, &sidecar] { probe(sidecar); });
}

bool virtual_world::isUp(const sidecar_process& sidecar) const
{
    return !sidecar.engine || sidecar.engine->isUp();
}

void virtual_world::probe(sidecar_process& sidecar)
{
    const upstream_probed seen { .healthy = isUp(sidecar), .running = sidecar.engine ? static_cast<std::uint32_t>(sidecar.engine->runningCount()) : 0 };
    later(sidecar, probeLag, [this, &sidecar, seen] { step(sidecar, seen); });
    later(sidecar, probeInterval, [this, &sidecar] { probe(sidecar); });
}

std::vector<instance> virtual_world::listInstances() const
{
    std::vector<instance> listed;
    for (const auto& sidecar : m_sidecars) {
        if (sidecar->reducer || !sidecar->leavingSince)
            listed.push_back({ .id = sidecar->options.id, .role = "sidecar", .service = sidecar->options.service, .dataCentre = sidecar->dataCentre, .address = sidecar->address, .leaving = sidecar->leavingSince.has_value() });
    }
    for (const auto& entry : m_entries)
        listed.push_back({ .id = entry->options.id, .role = "entry", .dataCentre = entry->dataCentre, .address = entry->address });
    return listed;
}

void virtual_world::publishList()
{
    m_queue.after(m_plan.network.listDelay, [this, listed = listInstances()] {
        for (auto& entry : m_entries)
            whenAwake(*entry, [this, &entry = *entry, listed] { step(entry, instances_listed { listed }); });
    });
}

void virtual_world::scheduleCallers()
{
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        m_queue.at(m_callers[index].arrival, [this, index] { arrive(index); });
        if (m_callers[index].leavesAt)
            m_queue.at(*m_callers[index].leavesAt, [this, index] { depart(index); });
    }
    m_openCallers = m_callers.size();
}

void virtual_world::arrive(std::size_t index)
{
    auto& caller = m_callers[index];
    const auto& site = m_plan.site;
    caller_request request;
    request.method = "POST";
    request.contentType = std::string(callerMark) + std::to_string(index);
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
    whenAwake(entry, [this, &entry, index, request] {
        if (m_callers[index].end == caller_end::open)
            step(entry, caller_arrived { index + 1, request });
    });
}

void virtual_world::depart(std::size_t index)
{
    auto& caller = m_callers[index];
    // A caller that is being answered stays, unless the scenario has callers leave at any moment.
    if (caller.end != caller_end::open || (caller.firstTokenAt && m_plan.leavingCallers == 0))
        return;
    caller.end = caller_end::left;
    caller.endedAt = m_queue.now();
    noteEnd(caller);
    auto& entry = *m_entries[caller.entry];
    whenAwake(entry, [this, &entry, index] { step(entry, caller_disconnected { index + 1 }); });
}

void virtual_world::noteEnd(const caller_record& caller)
{
    if (caller.end != caller_end::open)
        m_openCallers--;
}

void virtual_world::scheduleFault(const fault& item)
{
    std::visit([this](const auto& concrete) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(concrete)>, crashing_caller>)
            m_queue.at(m_start + concrete.at, [this, concrete] { apply(concrete); });
    },
        item);
}

void virtual_world::apply(const engine_crash& event)
{
    crashEngine(*m_sidecars[event.engine], nullptr);
}

void virtual_world::apply(const engine_slowdown& event)
{
    m_sidecars[event.engine]->engine->slowDown(event.factor);
}

void virtual_world::apply(const sidecar_drain& event)
{
    auto& sidecar = *m_sidecars[event.sidecar];
    if (!sidecar.reducer || sidecar.leavingSince)
        return;
    sidecar.leavingSince = m_queue.now();
    step(sidecar, drain_requested {});
    publishList();
}

void virtual_world::apply(const sidecar_restart& event)
{
    auto& sidecar = *m_sidecars[event.sidecar];
    if (!sidecar.reducer)
        return;
    // The engine aborts generations whose connection closes.
    if (sidecar.engine && sidecar.engine->isUp()) {
        sidecar.engine->crash(m_queue.now());
        sidecar.engine->recover();
        sidecar.scheduledIteration.reset();
    }
    sidecar.plainRuns.clear();
    startSidecar(sidecar);
    if (sidecar.leavingSince)
        step(sidecar, drain_requested {});
}

void virtual_world::apply(const entry_restart& event)
{
    auto& entry = *m_entries[event.entry];
    for (auto& caller : m_callers) {
        if (caller.end != caller_end::open || caller.entry != event.entry || caller.arrival > m_queue.now())
            continue;
        caller.end = caller_end::connection_lost;
        caller.endedAt = m_queue.now();
        noteEnd(caller);
    }
    startEntry(entry);
}

void virtual_world::apply(const sidecar_pause& event)
{
    pause(*m_sidecars[event.sidecar], event.length);
}

void virtual_world::apply(const entry_pause& event)
{
    pause(*m_entries[event.entry], event.length);
}

void virtual_world::pause(process& target, duration length)
{
    target.pausedUntil = std::max(target.pausedUntil, m_queue.now() + length);
    m_queue.at(target.pausedUntil, [this, &target] { wakeUp(target); });
}

void virtual_world::wakeUp(process& target)
{
    while (target.pausedUntil <= m_queue.now() && !target.backlog.empty()) {
        const auto todo = std::move(target.backlog.front());
        target.backlog.pop_front();
        todo();
    }
}

void virtual_world::whenAwake(process& target, event_queue::action todo)
{
    const bool isAwake = target.pausedUntil <= m_queue.now() && target.backlog.empty();
    if (isAwake)
        todo();
    else
        target.backlog.push_back(std::move(todo));
}

void virtual_world::later(process& target, duration delay, event_queue::action todo)
{
    auto unlessReplaced = [&target, incarnation = target.incarnation, todo = std::move(todo)] {
        if (target.incarnation == incarnation)
            todo();
    };
    m_queue.after(delay, [this, &target, unlessReplaced = std::move(unlessReplaced)] {
        const bool isAwake = target.pausedUntil <= m_queue.now() && target.backlog.empty();
        if (isAwake)
            unlessReplaced();
        else
            target.backlog.emplace_back(unlessReplaced);
    });
}

void virtual_world::step(entry_process& entry, const entry_event& event)
{
    entry_effects effects;
    entry.reducer->step(event, m_queue.now(), effects);
    m_steps++;
    for (const auto& effect : effects)
        std::visit([&](const auto& concrete) { perform(entry, concrete); }, effect);
    scheduleTimer(entry);
}

void virtual_world::step(sidecar_process& sidecar, const sidecar_event& event)
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
void virtual_world::scheduleTimer(Process& target)
{
    const auto wanted = target.reducer->nextDeadline();
    if (!wanted || (target.timer && *target.timer <= *wanted))
        return;
    target.timer = wanted;
    auto at = std::max(*wanted, m_queue.now());
    if (target.timersAtOnce > mostTimersAtOnce) {
        m_checks.timerSpins(target.options.id, m_queue.now());
        at = m_queue.now() + spinPenalty;
    }
    later(target, at - m_queue.now(), [this, &target, wanted] {
        if (target.timer == wanted)
            fireTimer(target);
    });
}

template <typename Process>
void virtual_world::fireTimer(Process& target)
{
    target.timer.reset();
    target.timersAtOnce = target.lastTimer == m_queue.now() ? target.timersAtOnce + 1 : 0;
    target.lastTimer = m_queue.now();
    if constexpr (std::is_same_v<Process, entry_process>)
        step(target, entry_timer_due {});
    else
        step(target, timer_due {});
}

duration virtual_world::delayBetween(const process& from, const process& to) const
{
    constexpr std::chrono::microseconds withinDataCentre { 200 };
    return from.dataCentre == to.dataCentre ? duration(withinDataCentre) : m_plan.site.oneWayDelay;
}

void virtual_world::send(const process& from, const std::string& address, const peer_message& message)
{
    const process* target = nullptr;
    if (const auto entry = m_entriesByAddress.find(address); entry != m_entriesByAddress.end())
        target = entry->second;
    else if (const auto sidecar = m_sidecarsByAddress.find(address); sidecar != m_sidecarsByAddress.end())
        target = sidecar->second;
    if (!target)
        return;
    const bool isReport = std::holds_alternative<report>(message);
    auto route = address;
    auto delay = delayBetween(from, *target);
    if (isReport) {
        route += "/reports";
        delay += m_plan.network.reportDelay;
    }
    for (const auto at : m_network.route(from.address, route, delay, m_queue.now()))
        m_queue.at(at, [this, address, message] { deliver(address, message); });
}

void virtual_world::deliver(const std::string& address, const peer_message& message)
{
    if (const auto found = m_entriesByAddress.find(address); found != m_entriesByAddress.end()) {
        auto& entry = *found->second;
        whenAwake(entry, [this, &entry, message] { step(entry, entry_peer_received { message }); });
        return;
    }
    auto& sidecar = *m_sidecarsByAddress.at(address);
    whenAwake(sidecar, [this, &sidecar, message] {
        auto received = message;
        if (auto* request = std::get_if<offer>(&received); request && m_tamper && sidecar.reducer)
            m_tamper(*request, *sidecar.reducer);
        if (const auto* request = std::get_if<offer>(&received))
            sidecar.live.insert(request->attempt);
        step(sidecar, peer_received { std::move(received) });
    });
}

void virtual_world::perform(entry_process& entry, const send_to_sidecar& effect)
{
    if (const auto* request = std::get_if<offer>(&effect.message)) {
        if (auto* caller = callerOf(request->job.contentType))
            m_callersByRequest.emplace(request->attempt.requestId, caller);
    }
    send(entry, effect.address, effect.message);
}

void virtual_world::perform(entry_process&, const append_answer& effect)
{
    m_checks.textReceived(m_callers[effect.channel - 1], effect.text, m_queue.now());
}

void virtual_world::perform(entry_process&, const finish_answer& effect)
{
    auto& caller = m_callers[effect.channel - 1];
    const bool wasOpen = caller.end == caller_end::open;
    m_checks.answerFinished(caller, m_queue.now());
    if (wasOpen)
        noteEnd(caller);
}

void virtual_world::perform(entry_process&, const fail_answer& effect)
{
    auto& caller = m_callers[effect.channel - 1];
    const bool wasOpen = caller.end == caller_end::open;
    m_checks.answerFailed(caller, effect.error, m_queue.now());
    if (wasOpen)
        noteEnd(caller);
}

void virtual_world::perform(sidecar_process& sidecar, const send_to_peer& effect)
{
    if (const auto* finished = std::get_if<offer_finished>(&effect.message))
        sidecar.live.erase(finished->header.attempt);
    if (const auto* failed = std::get_if<offer_failed>(&effect.message))
        sidecar.live.erase(failed->header.attempt);
    if (const auto* withdrawn = std::get_if<offer_withdrawn>(&effect.message))
        sidecar.live.erase(withdrawn->header.attempt);
    if (const auto* refusal = std::get_if<offer_refused>(&effect.message)) {
        sidecar.live.erase(refusal->header.attempt);
        const bool isShed = refusal->reason == error_code::overloaded || refusal->reason == error_code::target_unreachable;
        if (isShed && sidecar.refused.insert(refusal->header.attempt).second)
            m_checks.shed(*sidecar.reducer, sidecar.live, refusal->header.attempt.requestId, refusal->reason, m_queue.now());
    }
    send(sidecar, effect.address, effect.message);
}

void virtual_world::perform(sidecar_process& sidecar, const start_run& effect)
{
    m_checks.runDecided(sidecar.options.id, sidecar.leavingSince, m_queue.now());
    m_queue.after(localDelay, [this, &sidecar, incarnation = sidecar.incarnation, effect] {
        if (sidecar.incarnation == incarnation)
            startOnUpstream(sidecar, effect);
    });
}

void virtual_world::startOnUpstream(sidecar_process& sidecar, const start_run& call)
{
    if (!isUp(sidecar)) {
        later(sidecar, localDelay, [this, &sidecar, run = call.run] {
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
    const auto needed = std::uniform_real_distribution<double>(0.5 * mean, 1.5 * mean)(m_random);
    later(sidecar, std::chrono::duration_cast<duration>(std::chrono::duration<double>(needed)), [this, &sidecar, &caller, run = call.run] {
        if (sidecar.plainRuns.erase(run) == 0)
            return;
        step(sidecar, run_head { run, 200, "application/json" });
        step(sidecar, run_output { run, answerToken(caller.bodyHash, 0), 0 });
        step(sidecar, run_finished { run, "stop", 0 });
    });
}

void virtual_world::perform(sidecar_process& sidecar, const cancel_run& effect)
{
    m_queue.after(localDelay, [&sidecar, incarnation = sidecar.incarnation, run = effect.run] {
        if (sidecar.incarnation != incarnation)
            return;
        if (sidecar.engine)
            sidecar.engine->cancel(run);
        sidecar.plainRuns.erase(run);
    });
}

void virtual_world::perform(sidecar_process& sidecar, const stop_process&)
{
    m_checks.stoppedAfterDrain(sidecar.options.id, sidecar.reducer->runningCount(), m_queue.now());
    sidecar.reducer.reset();
    sidecar.incarnation = 0;
    publishList();
}

void virtual_world::scheduleIteration(sidecar_process& sidecar)
{
    const auto end = sidecar.engine->iterationEnd();
    if (!end || sidecar.scheduledIteration == end)
        return;
    sidecar.scheduledIteration = end;
    m_queue.at(*end, [this, &sidecar, end] {
        if (sidecar.scheduledIteration == end && sidecar.engine->iterationEnd() == end)
            finishIteration(sidecar);
    });
}

void virtual_world::finishIteration(sidecar_process& sidecar)
{
    auto outcome = sidecar.engine->finishIteration(m_queue.now());
    for (auto& event : outcome.events)
        later(sidecar, localDelay, [this, &sidecar, event = std::move(event)] { step(sidecar, event); });
    if (outcome.crashedBy) {
        crashEngine(sidecar, outcome.crashedBy);
        return;
    }
    scheduleIteration(sidecar);
}

void virtual_world::crashEngine(sidecar_process& sidecar, const caller_record* cause)
{
    if (!sidecar.engine->isUp())
        return;
    if (cause)
        m_crashesByBody[cause->body]++;
    for (const auto run : sidecar.engine->crash(m_queue.now()))
        later(sidecar, localDelay, [this, &sidecar, run] { step(sidecar, run_failed { .run = run, .started = true, .connectionBroke = true, .message = "connection broke" }); });
    m_queue.after(m_plan.site.engine.restartTime, [&sidecar] { sidecar.engine->recover(); });
}

caller_record* virtual_world::callerOf(const std::string& contentType)
{
    if (!contentType.starts_with(callerMark))
        return nullptr;
    return &m_callers[std::stoul(contentType.substr(callerMark.size()))];
}

std::size_t virtual_world::mostCrashesByOneRequest() const
{
    std::size_t most = 0;
    for (const auto& [body, crashes] : m_crashesByBody)
        most = std::max(most, crashes);
    return most;
}

void virtual_world::run()
{
    const auto arrivalsEnd = m_start + m_plan.length;
    const auto limit = arrivalsEnd + longestTail;
    m_queue.at(arrivalsEnd, [this] { m_network.heal(); });
    while ((m_openCallers > 0 || m_queue.now() < arrivalsEnd) && m_queue.now() < limit)
        m_queue.runNext();
    for (const auto& caller : m_callers) {
        if (caller.end == caller_end::open)
            m_checks.stillOpen(caller, m_queue.now());
    }
}

} // namespace kumquat_bench
