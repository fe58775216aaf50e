#pragma once

#include "servers/sidecar/sidecar_reducer.h"
#include "tests/support/effects.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace kumquat_test {

// The properties of an offer that tests vary. The attempt number is always 1.
struct offer_parameters {
    std::string id;
    std::uint32_t tierRank = 1;
    std::string className = "unlisted";
    std::string organisation = "osu";
    std::uint32_t expectedTokens = 100;
    std::uint64_t fingerprint = 0;
    bool repeatable = true;
    bool suspect = false;
    std::chrono::milliseconds timeLeft { 600000 };
    std::string entry = "entry-a";
};

// Drives one sidecar reducer in virtual time, and records which run belongs to which request.
class sidecar_driver {
public:
    explicit sidecar_driver(kumquat::sidecar_options options)
        : reducer(withDefaults(std::move(options)))
    {
    }

    // Applies an event at the current virtual time and returns its effects.
    kumquat::sidecar_effects step(const kumquat::sidecar_event& event)
    {
        kumquat::sidecar_effects effects;
        reducer.step(event, now, effects);
        recordRuns();
        return effects;
    }

    // Advances the virtual time and delivers every timer that becomes due on the way. Returns the effects of all of them.
    kumquat::sidecar_effects advance(kumquat::duration time)
    {
        kumquat::sidecar_effects effects;
        const auto end = now + time;
        while (reducer.nextDeadline() && *reducer.nextDeadline() <= end) {
            now = std::max(now, *reducer.nextDeadline());
            appendEffects(effects, step(kumquat::timer_due {}));
        }
        now = end;
        return effects;
    }

    kumquat::sidecar_effects receive(kumquat::peer_message message) { return step(kumquat::peer_received { std::move(message) }); }
    kumquat::sidecar_effects submitOffer(const offer_parameters& parameters) { return receive(makeOffer(parameters)); }
    kumquat::sidecar_effects produce(const std::string& id, const std::string& text, std::uint32_t tokens = 1) { return step(kumquat::run_output { runOf(id), text, tokens }); }
    kumquat::sidecar_effects finish(const std::string& id) { return step(kumquat::run_finished { .run = runOf(id), .finishReason = "stop" }); }
    kumquat::sidecar_effects breakConnection(const std::string& id) { return step(kumquat::run_failed { .run = runOf(id), .connectionBroke = true, .message = "reset" }); }
    kumquat::sidecar_effects withdrawAttempt(const std::string& id) { return receive(kumquat::withdraw { identity("entry-a"), { id, 1 }, incarnation }); }

    kumquat::offer makeOffer(const offer_parameters& parameters) const
    {
        kumquat::offer message;
        message.from = identity(parameters.entry);
        message.attempt = { parameters.id, 1 };
        message.sidecarIncarnation = incarnation;
        message.tierRank = parameters.tierRank;
        message.className = parameters.className;
        message.organisation = parameters.organisation;
        message.expectedTokens = parameters.expectedTokens;
        message.fingerprint = parameters.fingerprint;
        message.repeatable = parameters.repeatable;
        message.suspect = parameters.suspect;
        message.timeLeft = parameters.timeLeft;
        return message;
    }

    // Returns the requests for which the effects start a run.
    std::vector<std::string> startedRequests(const kumquat::sidecar_effects& effects) const
    {
        std::vector<std::string> ids;
        for (const auto& run : only<kumquat::start_run>(effects))
            ids.push_back(m_requestOfRun.at(run.run));
        return ids;
    }

    // Returns the requests that the effects refuse.
    static std::vector<std::string> refusedRequests(const kumquat::sidecar_effects& effects)
    {
        std::vector<std::string> ids;
        for (const auto& refused : sent<kumquat::offer_refused, kumquat::send_to_peer>(effects))
            ids.push_back(refused.header.attempt.requestId);
        return ids;
    }

    kumquat::run_id runOf(const std::string& id) const { return m_runOfRequest.at(id); }
    bool isRunning(const std::string& id) const
    {
        return std::holds_alternative<kumquat::attempt_running>(reducer.attempts().at({ id, 1 }).state);
    }

    static kumquat::peer_identity identity(const std::string& entry) { return { entry, "tcp://" + entry, 3 }; }

    static constexpr std::uint64_t incarnation = 7;
    kumquat::sidecar_reducer reducer;
    kumquat::instant now { std::chrono::hours { 1 } };

private:
    // Fills in the options that are the same in all tests.
    static kumquat::sidecar_options withDefaults(kumquat::sidecar_options options)
    {
        options.id = "kasa-1";
        options.address = "tcp://s";
        options.incarnation = incarnation;
        options.service = "kasa";
        return options;
    }

    static void appendEffects(kumquat::sidecar_effects& to, const kumquat::sidecar_effects& from) { to.insert(to.end(), from.begin(), from.end()); }

    void recordRuns()
    {
        for (const auto& [attempt, record] : reducer.attempts()) {
            const auto* running = std::get_if<kumquat::attempt_running>(&record.state);
            if (!running)
                continue;
            m_runOfRequest[attempt.requestId] = running->run;
            m_requestOfRun[running->run] = attempt.requestId;
        }
    }

    std::map<std::string, kumquat::run_id> m_runOfRequest;
    std::map<kumquat::run_id, std::string> m_requestOfRun;
};

} // namespace kumquat_test
