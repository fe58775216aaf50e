#include "servers/claims/claim_reducer.h"

#include "core/hash.h"
#include "core/overloaded.h"
#include "core/request_id.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds retryAfterInProgress { 1000 };
    constexpr std::chrono::milliseconds retryAfterUnavailable { 1000 };

} // namespace

claim_reducer::claim_reducer(claim_options options)
    : m_options(std::move(options))
{
    for (std::uint32_t shard = 0; shard < m_options.shards; ++shard)
        m_journals.emplace_back(shard, m_options);
}

void claim_reducer::step(const claim_event& event, instant now, claim_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    for (auto& journal : m_journals)
        journal.expire(m_now);
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    for (auto& journal : m_journals)
        journal.pump(m_now, effects);
    m_effects = nullptr;
}

std::optional<instant> claim_reducer::nextDeadline() const
{
    auto next = m_timers.nextDeadline();
    for (const auto& journal : m_journals) {
        const auto candidate = journal.nextDeadline(m_now);
        if (candidate && (!next || *candidate < *next))
            next = candidate;
    }
    return next;
}

std::size_t claim_reducer::keyCount() const
{
    std::size_t count = 0;
    for (const auto& journal : m_journals)
        count += journal.index().size();
    return count;
}

std::size_t claim_reducer::unstoredAnswers() const
{
    return static_cast<std::size_t>(std::count_if(m_granted.begin(), m_granted.end(), [](const auto& item) { return item.second.answer.has_value(); }));
}

std::uint32_t claim_reducer::shardOf(const std::string& key) const
{
    return static_cast<std::uint32_t>(hashBytes(key) % m_options.shards);
}

bool claim_reducer::isOwn(const peer_identity& claimant) const
{
    return claimant.id == m_options.self.id && claimant.incarnation == m_options.self.incarnation;
}

void claim_reducer::handle(const claim_wanted& request)
{
    forgetOldRuns();
    auto& waiting = m_waiting[request.requestId];
    waiting.request = request;
    if (request.key.size() > m_options.keyLimitBytes) {
        deny(waiting, { .code = error_code::malformed_request, .message = "the idempotency key has more than " + std::to_string(m_options.keyLimitBytes) + " bytes" });
        return;
    }
    auto& journal = journalOf(request.key);
    if (journal.isUnavailable(m_now)) {
        giveUp(waiting);
        return;
    }
    setDeadline(waiting, m_options.claimTimeout);
    review(waiting);
}

void claim_reducer::setDeadline(waiting_claim& waiting, duration span)
{
    waiting.deadline = m_now + span;
    m_timers.set(waiting.request.requestId, waiting.deadline);
}

// Takes the next step of a request, given what the journal says of its key.
void claim_reducer::review(waiting_claim& waiting)
{
    // An answer of the object API that arrives too late grants nothing, also after a pause of this process.
    if (m_now >= waiting.deadline) {
        onTimer(waiting);
        return;
    }
    auto& journal = journalOf(waiting.request.key);
    if (!journal.isLoaded()) {
        journal.load();
        return;
    }
    const auto* holder = journal.index().find(waiting.request.key);
    if (!holder) {
        claim(waiting, "");
        return;
    }
    if (holder->requestId == waiting.request.requestId) {
        grant(waiting);
        return;
    }
    reviewHeld(waiting, *holder);
}

void claim_reducer::reviewHeld(waiting_claim& waiting, const claim_holder& holder)
{
    if (waiting.appended && waiting.replaces == holder.requestId)
        return;
    waiting.appended = false;
    if (holder.answeredIn) {
        fetchAnswer(waiting, holder);
        return;
    }
    if (isOwn(holder.claimant)) {
        settle(waiting, holder, statusOf(holder.requestId));
        return;
    }
    if (!waiting.refreshed) {
        waiting.state = waiting_state::refreshing;
        journalOf(waiting.request.key).catchUp();
        return;
    }
    if (waiting.askedFor != holder.requestId)
        askClaimant(waiting, holder);
}

void claim_reducer::claim(waiting_claim& waiting, std::string replaces)
{
    if (waiting.appended)
        return;
    waiting.state = waiting_state::claiming;
    waiting.appended = true;
    waiting.refreshed = false;
    waiting.replaces = std::move(replaces);
    const auto& request = waiting.request;
    journalOf(request.key).append(claim_made { request.key, request.requestId, request.fingerprint, request.service, m_options.self, waiting.replaces });
}

void claim_reducer::grant(waiting_claim& waiting)
{
    const auto id = waiting.request.requestId;
    m_granted[id] = { .key = waiting.request.key, .grantedAt = m_now };
    m_grantOrder.emplace_back(m_now, id);
    m_timers.cancel(id);
    m_waiting.erase(id);
    m_effects->push_back(claim_granted { id });
}

void claim_reducer::fetchAnswer(waiting_claim& waiting, const claim_holder& holder)
{
    if (holder.fingerprint != waiting.request.fingerprint) {
        deny(waiting, { .code = error_code::key_reused, .message = "the idempotency key has been used with another request" });
        return;
    }
    if (waiting.state == waiting_state::fetching_answer)
        return;
    waiting.state = waiting_state::fetching_answer;
    m_effects->push_back(claim_store_call { read_claim_segment { shardOf(waiting.request.key), *holder.answeredIn } });
}

void claim_reducer::deliverFetched(const claim_segment_read& event)
{
    if (errorOf(event.segment) || !valueOf(event.segment))
        return;
    for (const auto& record : valueOf(event.segment)->contents.records) {
        const auto* finished = std::get_if<claim_finished>(&record);
        if (!finished)
            continue;
        const auto* holder = journalOf(finished->key).index().find(finished->key);
        if (!holder || holder->requestId != finished->requestId)
            continue;
        for (auto position = m_waiting.begin(); position != m_waiting.end();) {
            auto& waiting = (position++)->second;
            if (waiting.state == waiting_state::fetching_answer && waiting.request.key == finished->key)
                answer(waiting, finished->answer);
        }
    }
}

void claim_reducer::askClaimant(waiting_claim& waiting, const claim_holder& holder)
{
    waiting.state = waiting_state::asking_claimant;
    waiting.askedFor = holder.requestId;
    setDeadline(waiting, m_options.queryTimeout);
    m_effects->push_back(send_claim_message { holder.claimant.address, claim_query { m_options.self, holder.requestId } });
}

void claim_reducer::askSidecars(waiting_claim& waiting, const claim_holder& holder)
{
    waiting.state = waiting_state::asking_sidecars;
    waiting.askedFor = holder.requestId;
    setDeadline(waiting, m_options.queryTimeout);
    m_effects->push_back(ask_sidecars { holder.service, claim_query { m_options.self, holder.requestId } });
}

// Acts on what the claimant or a sidecar says of the run that holds the key.
void claim_reducer::settle(waiting_claim& waiting, const claim_holder& holder, const claim_status& status)
{
    const auto& request = waiting.request;
    if (status.state == claim_state::abandoned) {
        claim(waiting, holder.requestId);
        return;
    }
    if (holder.fingerprint != request.fingerprint) {
        deny(waiting, { .code = error_code::key_reused, .message = "the idempotency key has been used with another request" });
        return;
    }
    switch (status.state) {
    case claim_state::finished:
        journalOf(request.key).append(claim_finished { request.key, holder.requestId, status.answer });
        answer(waiting, status.answer);
        return;
    case claim_state::in_progress:
        denyInProgress(waiting);
        return;
    case claim_state::unknown:
    case claim_state::abandoned:
        break;
    }
    if (waiting.state != waiting_state::asking_sidecars)
        askSidecars(waiting, holder);
}

void claim_reducer::answer(waiting_claim& waiting, const kept_answer& kept)
{
    if (!kept.whole) {
        deny(waiting, { .code = error_code::answer_not_kept, .message = "a request with this idempotency key has run; its answer was too large to be kept", .ran = ran_state::yes });
        return;
    }
    const auto id = waiting.request.requestId;
    m_timers.cancel(id);
    m_waiting.erase(id);
    m_effects->push_back(claim_answered { id, kept });
    m_effects->push_back(count_metric { "kumquat_claim_answered_total", {} });
}

void claim_reducer::denyInProgress(waiting_claim& waiting)
{
    deny(waiting, { .code = error_code::in_progress, .message = "a request with this idempotency key is in progress", .ran = ran_state::unknown, .retryAfter = retryAfterInProgress });
}

void claim_reducer::deny(waiting_claim& waiting, caller_error error)
{
    const auto id = waiting.request.requestId;
    journalOf(waiting.request.key).dropClaim(id);
    m_timers.cancel(id);
    m_waiting.erase(id);
    m_effects->push_back(count_metric { "kumquat_claim_denied_total", { { "code", toString(error.code) } } });
    m_effects->push_back(claim_denied { id, std::move(error) });
}

// This request never runs. Whether an earlier one with the same key did is another matter.
void claim_reducer::giveUp(waiting_claim& waiting)
{
    const auto* holder = journalOf(waiting.request.key).index().find(waiting.request.key);
    const bool isHeld = holder && holder->requestId != waiting.request.requestId && !waiting.appended;
    deny(waiting, { .code = error_code::claim_unavailable, .message = "the object API did not settle the idempotency key in time", .ran = isHeld ? ran_state::unknown : ran_state::no, .retryAfter = retryAfterUnavailable });
}

void claim_reducer::onTimer(waiting_claim& waiting)
{
    const auto* holder = journalOf(waiting.request.key).index().find(waiting.request.key);
    if (waiting.state == waiting_state::asking_claimant && holder && holder->requestId == waiting.askedFor) {
        askSidecars(waiting, *holder);
        return;
    }
    if (waiting.state == waiting_state::asking_sidecars) {
        deny(waiting, { .code = error_code::outcome_unknown, .message = "a request with this idempotency key may have run, and nobody can say how it ended", .ran = ran_state::unknown });
        return;
    }
    giveUp(waiting);
}

void claim_reducer::handle(const claimed_request_finished& event)
{
    const auto found = m_granted.find(event.requestId);
    if (found == m_granted.end())
        return;
    auto kept = event.answer;
    if (kept.text.size() > m_options.answerLimitBytes) {
        kept.whole = false;
        kept.text.clear();
    }
    found->second.state = claim_state::finished;
    found->second.answer = kept;
    journalOf(found->second.key).append(claim_finished { found->second.key, event.requestId, std::move(kept) });
}

void claim_reducer::handle(const claimed_request_failed& event)
{
    const auto found = m_granted.find(event.requestId);
    if (found == m_granted.end())
        return;
    found->second.state = event.mayHaveRun ? claim_state::unknown : claim_state::abandoned;
    if (!event.mayHaveRun)
        journalOf(found->second.key).append(claim_released { found->second.key, event.requestId });
}

void claim_reducer::handle(const claim_peer_received& event)
{
    const auto visitor = overloaded {
        [this](const claim_query& query) { receive(query); },
        [this](const claim_status& status) { receive(status); },
        [](const auto&) {},
    };
    std::visit(visitor, event.message);
}

void claim_reducer::receive(const claim_query& query)
{
    m_effects->push_back(send_claim_message { query.from.address, statusOf(query.requestId) });
}

// A request that is neither waiting nor granted here is never dispatched, provided that this incarnation named it.
claim_status claim_reducer::statusOf(const std::string& requestId) const
{
    claim_status status { .requestId = requestId };
    if (m_waiting.contains(requestId)) {
        status.state = claim_state::in_progress;
        return status;
    }
    const auto found = m_granted.find(requestId);
    if (found == m_granted.end()) {
        const auto prefix = requestIdPrefix(m_options.self);
        status.state = requestId.starts_with(prefix) ? claim_state::abandoned : claim_state::unknown;
        return status;
    }
    const auto& run = found->second;
    status.state = run.state;
    if (run.answer)
        status.answer = *run.answer;
    // The answer is in the object API by now, where the asker finds it next time.
    else if (run.state == claim_state::finished)
        status.state = claim_state::in_progress;
    return status;
}

void claim_reducer::receive(const claim_status& status)
{
    std::vector<std::string> concerned;
    for (const auto& [id, waiting] : m_waiting) {
        const bool isAsking = waiting.state == waiting_state::asking_claimant || waiting.state == waiting_state::asking_sidecars;
        if (isAsking && waiting.askedFor == status.requestId)
            concerned.push_back(id);
    }
    for (const auto& id : concerned) {
        auto& waiting = m_waiting.at(id);
        const auto* holder = journalOf(waiting.request.key).index().find(waiting.request.key);
        if (holder && holder->requestId == status.requestId)
            settle(waiting, *holder, status);
        else
            review(waiting);
    }
}

void claim_reducer::handle(const claim_segments_listed& event)
{
    if (event.shard < m_journals.size())
        apply(event.shard, m_journals[event.shard].handle(event, m_now, *m_effects));
}

void claim_reducer::handle(const claim_segment_read& event)
{
    if (event.shard >= m_journals.size())
        return;
    deliverFetched(event);
    apply(event.shard, m_journals[event.shard].handle(event, m_now, *m_effects));
}

void claim_reducer::handle(const claim_segment_written& event)
{
    if (event.shard < m_journals.size())
        apply(event.shard, m_journals[event.shard].handle(event, m_now, *m_effects));
}

void claim_reducer::apply(std::uint32_t shard, const claim_journal::news& news)
{
    for (const auto& segment : news.applied) {
        releaseAbandoned(m_journals[shard], segment);
        forgetStored(segment);
    }
    if (!news.failed && !news.caughtUp && news.applied.empty())
        return;
    for (auto position = m_waiting.begin(); position != m_waiting.end();) {
        auto& waiting = (position++)->second;
        if (shardOf(waiting.request.key) != shard)
            continue;
        if (news.caughtUp)
            waiting.refreshed = true;
        const bool needsStore = waiting.state == waiting_state::claiming || waiting.state == waiting_state::refreshing;
        if (!needsStore)
            continue;
        if (news.failed)
            giveUp(waiting);
        else
            review(waiting);
    }
}

// A claim of this process that landed after its request had been given up has nobody to run it.
void claim_reducer::releaseAbandoned(claim_journal& journal, const claim_segment& segment)
{
    for (const auto& record : segment.records) {
        const auto* made = std::get_if<claim_made>(&record);
        if (!made || !isOwn(made->claimant) || statusOf(made->requestId).state != claim_state::abandoned)
            continue;
        const claim_released released { made->key, made->requestId };
        if (journal.index().wouldApply(released))
            journal.append(released);
    }
}

void claim_reducer::forgetStored(const claim_segment& segment)
{
    for (const auto& record : segment.records) {
        const auto* finished = std::get_if<claim_finished>(&record);
        if (!finished)
            continue;
        if (const auto found = m_granted.find(finished->requestId); found != m_granted.end())
            found->second.answer.reset();
    }
}

void claim_reducer::forgetOldRuns()
{
    while (!m_grantOrder.empty() && m_grantOrder.front().first + 2 * m_options.retention <= m_now) {
        m_granted.erase(m_grantOrder.front().second);
        m_grantOrder.pop_front();
    }
}

void claim_reducer::handle(const claim_timer_due&)
{
    while (const auto id = m_timers.popDue(m_now))
        onTimer(m_waiting.at(*id));
    forgetOldRuns();
}

} // namespace kumquat
