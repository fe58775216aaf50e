#pragma once

#include "core/request_id.h"
#include "servers/claims/claim_reducer.h"
#include "tests/support/effects.h"

#include <deque>
#include <map>
#include <memory>

namespace kumquat_test {

// What the fake object API does with a call.
enum class store_fault { none,
    // The call takes effect; its answer is lost.
    lose_answer,
    // The call does not take effect; its answer is lost.
    lose_call,
    // The answer is lost at once; the call takes effect when landLateWrites() is called.
    land_late };

// Entries that share one object API, in virtual time.
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

    void start(int index, std::uint64_t incarnation)
    {
        auto options = m_options;
        options.self = { "entry-" + std::to_string(index), "tcp://" + std::to_string(index), incarnation };
        auto& target = m_entries[index];
        target = {};
        target.reducer = std::make_unique<kumquat::claim_reducer>(options);
    }

    entry& at(int index) { return m_entries.at(index); }

    // Hands a request to an entry and returns its id.
    std::string want(int index, const std::string& key, std::uint64_t fingerprint = 1)
    {
        const auto id = kumquat::requestIdPrefix(at(index).reducer->options().self) + std::to_string(++m_lastRequest);
        m_keys[id] = key;
        step(index, kumquat::claim_wanted { id, key, fingerprint, "dwumadie" });
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

    // Executes the oldest call of an entry.
    void execute(int index, store_fault fault = store_fault::none)
    {
        auto call = at(index).calls.front();
        at(index).calls.pop_front();
        std::visit([&](const auto& concrete) { answer(index, concrete, fault); }, call);
    }

    // Lets time pass in small steps and executes every call without a fault.
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

    void landLateWrites()
    {
        for (const auto& write : m_lateWrites)
            store(write);
        m_lateWrites.clear();
    }

    template <typename Wanted>
    std::vector<Wanted> seen(int index) { return only<Wanted>(at(index).effects); }

    bool isGranted(int index, const std::string& id)
    {
        for (const auto& effect : seen<kumquat::claim_granted>(index)) {
            if (effect.requestId == id)
                return true;
        }
        return false;
    }

    // Requests granted by all entries.
    std::size_t granted()
    {
        std::size_t count = 0;
        for (auto& [index, target] : m_entries)
            count += seen<kumquat::claim_granted>(index).size();
        return count;
    }

    std::string denialOf(int index, const std::string& id)
    {
        for (const auto& effect : seen<kumquat::claim_denied>(index)) {
            if (effect.requestId == id)
                return std::string(toString(effect.error.code)) + " ran " + toString(effect.error.ran);
        }
        return "";
    }

    const std::string& keyOf(const std::string& id) const { return m_keys.at(id); }
    std::size_t segments() const { return m_segments.size(); }
    std::size_t writes() const { return m_writes; }

    kumquat::instant now { std::chrono::hours { 1 } };

private:
    struct stored {
        kumquat::claim_segment contents;
        kumquat::instant writtenAt;
    };

    kumquat::numbered_segment read(std::uint64_t number) const
    {
        const auto& found = m_segments.at(number);
        auto contents = found.contents;
        contents.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - found.writtenAt);
        return { number, number, contents };
    }

    bool store(const kumquat::write_claim_segment& write)
    {
        return m_segments.emplace(write.number, stored { write.contents, now }).second;
    }

    void answer(int index, const kumquat::list_claim_segments& call, store_fault fault)
    {
        std::vector<kumquat::numbered_segment> all;
        for (const auto& [number, segment] : m_segments)
            all.push_back(read(number));
        kumquat::claim_segments_listed listed { call.shard, kumquat::error { "lost" } };
        if (fault == store_fault::none)
            listed.segments = all;
        step(index, listed);
    }

    void answer(int index, const kumquat::read_claim_segment& call, store_fault fault)
    {
        kumquat::claim_segment_read result { call.shard, call.number, kumquat::error { "lost" } };
        if (fault == store_fault::none)
            result.segment = m_segments.contains(call.number) ? std::optional(read(call.number)) : std::nullopt;
        step(index, result);
    }

    void answer(int index, const kumquat::write_claim_segment& call, store_fault fault)
    {
        m_writes++;
        auto outcome = kumquat::claim_write_outcome::lost;
        if (fault == store_fault::land_late)
            m_lateWrites.push_back(call);
        if (fault == store_fault::none || fault == store_fault::lose_answer) {
            const bool isNew = store(call);
            if (fault == store_fault::none)
                outcome = isNew ? kumquat::claim_write_outcome::written : kumquat::claim_write_outcome::conflict;
        }
        step(index, kumquat::claim_segment_written { call.shard, call.number, outcome, call.number });
    }

    void answer(int, const kumquat::drop_claim_segment& call, store_fault) { m_segments.erase(call.number); }

    void deliver(const kumquat::send_claim_message& message)
    {
        for (auto& [index, target] : m_entries) {
            if (target.reachable && target.reducer->options().self.address == message.address)
                step(index, kumquat::claim_peer_received { message.message });
        }
    }

    kumquat::claim_options m_options;
    std::map<int, entry> m_entries;
    std::map<std::uint64_t, stored> m_segments;
    std::vector<kumquat::write_claim_segment> m_lateWrites;
    std::map<std::string, std::string> m_keys;
    std::size_t m_writes = 0;
    int m_lastRequest = 0;
};

} // namespace kumquat_test
