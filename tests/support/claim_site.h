#pragma once

#include "core/request_id.h"
#include "servers/claims/claim_reducer.h"
#include "tests/support/effects.h"

#include <deque>
#include <map>
#include <memory>

namespace kumquat_test {

// Fault that the simulated object API applies to a call.
enum class store_fault { none,
    // The call takes effect; its response is lost.
    lose_response,
    // The call does not take effect; its response is lost.
    lose_call,
    // The response is lost; the call takes effect only when applyDelayedWrites() is called.
    delay_effect };

// Simulates several entries that share one object API, in virtual time.
class claim_site {
public:
    struct entry {
        std::unique_ptr<kumquat::claim_reducer> reducer;
        kumquat::claim_effects effects;
        std::deque<kumquat::claim_store_call> calls;
        bool reachable = true;
    };

    explicit claim_site(int entries, kumquat::claim_options options = { .shards = 1 })
        : m_options(std::move(options))
    {
        for (int index = 0; index < entries; ++index)
            start(index, 1);
    }

    // Starts an entry, or replaces it by a new incarnation without state.
    void start(int index, std::uint64_t incarnation)
    {
        auto options = m_options;
        options.self = { "entry-" + std::to_string(index), "tcp://" + std::to_string(index), incarnation };
        auto& target = m_entries[index];
        target = {};
        target.reducer = std::make_unique<kumquat::claim_reducer>(options);
    }

    entry& at(int index) { return m_entries.at(index); }

    // Requests a claim for a key at an entry and returns the id of the request.
    std::string requestClaim(int index, const std::string& key, std::uint64_t fingerprint = 1)
    {
        const auto id = kumquat::requestIdPrefix(at(index).reducer->options().self) + std::to_string(++m_lastRequest);
        m_keys[id] = key;
        step(index, kumquat::claim_requested { id, key, fingerprint, "dwumadie" });
        return id;
    }

    void step(int index, const kumquat::claim_event& event)
    {
        auto& target = at(index);
        kumquat::claim_effects effects;
        target.reducer->step(event, now, effects);
        for (auto& effect : effects) {
            if (auto* call = std::get_if<kumquat::claim_store_call>(&effect))
                target.calls.push_back(*call);
            else if (const auto* message = std::get_if<kumquat::send_claim_message>(&effect))
                deliver(*message);
            target.effects.push_back(std::move(effect));
        }
    }

    // Executes the oldest pending call of an entry.
    void execute(int index, store_fault fault = store_fault::none)
    {
        auto call = at(index).calls.front();
        at(index).calls.pop_front();
        std::visit([&](const auto& concrete) { answer(index, concrete, fault); }, call);
    }

    // Advances the time in steps of 10 ms and executes every call without a fault.
    void run(kumquat::duration span)
    {
        for (const auto end = now + span; now < end; now += std::chrono::milliseconds(10)) {
            for (auto& [index, target] : m_entries) {
                while (!target.calls.empty())
                    execute(index);
                step(index, kumquat::claim_timer_due {});
            }
        }
    }

    void applyDelayedWrites()
    {
        for (const auto& write : m_delayedWrites)
            store(write);
        m_delayedWrites.clear();
    }

    template <typename Effect>
    std::vector<Effect> effectsOf(int index) { return only<Effect>(at(index).effects); }

    bool isGranted(int index, const std::string& id)
    {
        for (const auto& effect : effectsOf<kumquat::claim_granted>(index)) {
            if (effect.requestId == id)
                return true;
        }
        return false;
    }

    // Number of requests granted by all entries.
    std::size_t grantCount()
    {
        std::size_t count = 0;
        for (auto& [index, target] : m_entries)
            count += effectsOf<kumquat::claim_granted>(index).size();
        return count;
    }

    // Returns the error of a denied request, such as "in_progress ran unknown", or an empty text.
    std::string denialOf(int index, const std::string& id)
    {
        for (const auto& effect : effectsOf<kumquat::claim_denied>(index)) {
            if (effect.requestId == id)
                return std::string(toString(effect.error.code)) + " ran " + toString(effect.error.ran);
        }
        return "";
    }

    const std::string& keyOf(const std::string& id) const { return m_keys.at(id); }
    std::size_t segmentCount() const { return m_segments.size(); }
    std::size_t writeCount() const { return m_writes; }

    kumquat::instant now { std::chrono::hours { 1 } };

private:
    struct stored_segment {
        kumquat::claim_segment contents;
        kumquat::instant writtenAt;
    };

    // Shard and number of a segment.
    using segment_key = std::pair<std::uint32_t, std::uint64_t>;

    kumquat::numbered_segment read(const segment_key& key) const
    {
        const auto& segment = m_segments.at(key);
        auto contents = segment.contents;
        contents.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - segment.writtenAt);
        return { key.second, key.second, contents };
    }

    bool store(const kumquat::write_claim_segment& write)
    {
        return m_segments.emplace(segment_key { write.shard, write.number }, stored_segment { write.contents, now }).second;
    }

    void answer(int index, const kumquat::list_claim_segments& call, store_fault fault)
    {
        std::vector<kumquat::numbered_segment> all;
        for (const auto& [key, segment] : m_segments) {
            if (key.first == call.shard)
                all.push_back(read(key));
        }
        kumquat::claim_segments_listed listed { call.shard, kumquat::error { "lost" } };
        if (fault == store_fault::none)
            listed.segments = all;
        step(index, listed);
    }

    void answer(int index, const kumquat::read_claim_segment& call, store_fault fault)
    {
        kumquat::claim_segment_read result { call.shard, call.number, kumquat::error { "lost" } };
        if (fault == store_fault::none)
            result.segment = m_segments.contains({ call.shard, call.number }) ? std::optional(read({ call.shard, call.number })) : std::nullopt;
        step(index, result);
    }

    void answer(int index, const kumquat::write_claim_segment& call, store_fault fault)
    {
        m_writes++;
        auto outcome = kumquat::claim_write_outcome::unknown;
        if (fault == store_fault::delay_effect)
            m_delayedWrites.push_back(call);
        if (fault == store_fault::none || fault == store_fault::lose_response) {
            const bool isNew = store(call);
            if (fault == store_fault::none)
                outcome = isNew ? kumquat::claim_write_outcome::written : kumquat::claim_write_outcome::conflict;
        }
        step(index, kumquat::claim_segment_written { call.shard, call.number, outcome, call.number });
    }

    void answer(int, const kumquat::remove_claim_segment& call, store_fault) { m_segments.erase({ call.shard, call.number }); }

    void deliver(const kumquat::send_claim_message& message)
    {
        for (auto& [index, target] : m_entries) {
            if (target.reachable && target.reducer->options().self.address == message.address)
                step(index, kumquat::claim_message_received { message.message });
        }
    }

    kumquat::claim_options m_options;
    std::map<int, entry> m_entries;
    std::map<segment_key, stored_segment> m_segments;
    std::vector<kumquat::write_claim_segment> m_delayedWrites;
    std::map<std::string, std::string> m_keys;
    std::size_t m_writes = 0;
    int m_lastRequest = 0;
};

} // namespace kumquat_test
