#pragma once

#include "core/hash.h"
#include "tests/support/router_fixture.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace kumquat::router {

// Several routers in virtual time that exchange digests over a network which may lose, delay and duplicate them. Each
// router reads the same store at its start.
class fleet_fixture {
public:
    struct network {
        double lossShare = 0;
        duration maxDelay = milliseconds(5);
        // Datagrams arrive at whole multiples of this time.
        duration resolution = duration(1);
        // Returns true if a datagram from the first to the second address is lost.
        std::function<bool(const std::string&, const std::string&)> isCut = [](const std::string&, const std::string&) { return false; };
    };

    explicit fleet_fixture(unsigned seed)
        : m_random(seed)
    {
    }

    // The addresses at which new routers look for others.
    std::vector<std::string> seeds { "10.0.0.1", "10.0.0.2", "10.0.0.3" };
    // Adds a router.
    void add(const std::string& dataCentre)
    {
        m_nodes.push_back(makeNode(m_nodes.size(), dataCentre));
        m_numbers[m_nodes.back()->address] = m_nodes.size() - 1;
        step(*m_nodes.back(), router_timer_due {});
    }

    // Kills a router and starts its successor on the same instance.
    void restart(std::size_t number)
    {
        m_nodes[number] = makeNode(number, m_nodes[number]->dataCentre);
        step(*m_nodes[number], router_timer_due {});
    }

    std::size_t size() const { return m_nodes.size(); }
    const std::string& address(std::size_t number) const { return m_nodes[number]->address; }
    const std::string& dataCentre(std::size_t number) const { return m_nodes[number]->dataCentre; }
    const std::string& dataCentreOf(const std::string& address) const { return m_nodes[m_numbers.at(address)]->dataCentre; }
    // The reducer of a router, for what it has concluded.
    const router_reducer& reducer(std::size_t number) const { return m_nodes[number]->reducer; }
    const peer_group& peers(std::size_t number) const { return m_nodes[number]->reducer.peers(); }
    instant now() const { return m_now; }

    bool isAlive(std::size_t number) const { return m_nodes[number]->alive; }
    // Stops a router as a power failure does.
    void kill(std::size_t number) { m_nodes[number]->alive = false; }
    // Suspends a router: its timers don't run, and datagrams wait.
    void setSuspended(std::size_t number, bool suspended)
    {
        m_nodes[number]->suspended = suspended;
        answerWatch(*m_nodes[number]);
    }
    void post(std::size_t number, router_event event) { step(*m_nodes[number], std::move(event)); }

    // Sends a request to a router and returns the caller's connection.
    caller_id request(std::size_t number, proxied_request item)
    {
        const auto caller = ++m_lastCaller;
        step(*m_nodes[number], request_arrived { caller, std::make_shared<const proxied_request>(std::move(item)) });
        return caller;
    }

    // Sends a request for a path to a router, which stays in progress.
    void request(std::size_t number, const std::string& path)
    {
        proxied_request item;
        item.requestId = "request-" + std::to_string(++m_lastCaller);
        item.method = "POST";
        item.target = path;
        item.path = path;
        item.host = "host";
        item.apiKey = "key-a";
        item.callerTimeout = seconds(10);
        item.prompt.parts = { { hashBytes(std::to_string(m_lastCaller)), 13300 }, { hashBytes("own", m_lastCaller), 3720 } };
        item.prompt.inputTokens = 17020;
        step(*m_nodes[number], request_arrived { m_lastCaller, std::make_shared<const proxied_request>(std::move(item)) });
    }

    // Replaces the record of an upstream in the store by another one.
    void replaceRecord(const std::string& id, const upstream_record& replacement)
    {
        removeRecord(id);
        putRecord(replacement);
    }
    // Writes the record of an upstream to the store, which answers the routers' watches.
    void putRecord(const upstream_record& record)
    {
        std::erase_if(records, [&record](const upstream_record& item) { return item.id == record.id; });
        records.push_back(record);
        recordChange({ record.id, ++m_revision, record });
    }
    void removeRecord(const std::string& id)
    {
        std::erase_if(records, [&id](const upstream_record& item) { return item.id == id; });
        recordChange({ id, ++m_revision, removed_object {} });
    }

    // What one router has in flight at an upstream.
    int inFlight(std::size_t number, const std::string& upstream) const { return m_nodes[number]->reducer.upstreams().find(upstream)->inFlight; }

    void run(duration elapsed)
    {
        const auto end = m_now + elapsed;
        while (const auto next = nextTime(end)) {
            m_now = std::max(m_now, *next);
            deliverDue();
            fireTimers();
        }
        m_now = end;
    }

    network net;
    // Called with each effect of a router and its number. Must not post events.
    std::function<void(std::size_t, const router_effect&)> onEffect = [](std::size_t, const router_effect&) {};
    // Every datagram that a router has sent, with its sender and receiver.
    struct sent_datagram {
        std::string from;
        std::string to;
        router_digest digest;
        instant sentAt;
        // Present if the datagram has such a message rather than a digest.
        std::optional<stream_message> message;
    };
    std::vector<sent_datagram> sent;
    // How many datagrams with messages about streams were sent.
    std::size_t streamMessages = 0;
    // Whether `sent` is kept. Large fleets send too much for that.
    bool recordsSent = true;
    // The refused suspects in the store with the times of their last crashes, by their ids.
    std::map<std::uint64_t, std::pair<crash_suspect, instant>> storedRefusals;
    bool refusalStoreIsDown = false;
    int refusalWrites = 0;
    // Whether a router is cut off from the store, so that its reads have no answer.
    std::function<bool(std::size_t)> isStoreCut = [](std::size_t) { return false; };
    // Whether the store is silent to a router: reads that it starts now never have an answer, nor has a watch that had one now.
    std::function<bool(std::size_t)> isStoreSilent = [](std::size_t) { return false; };
    // The upstreams that the store lists.
    std::vector<upstream_record> records { router_fixture::makeUpstream("app-1", "app", 1003) };

private:
    // A watch of at most this time is answered at once.
    static constexpr auto shortWatch = milliseconds(10);

    struct node {
        std::size_t number = 0;
        std::string address;
        std::string dataCentre;
        router_reducer reducer;
        bool alive = true;
        bool suspended = false;
        // The watch of the upstream records that waits for a change, or 0, and the revision since which it watches.
        std::uint64_t upstreamWatch = 0;
        std::uint64_t watchedSince = 0;
        duration watchTime {};
    };

    std::unique_ptr<node> makeNode(std::size_t position, const std::string& dataCentre)
    {
        const auto number = position + 1;
        router_options options;
        options.settings.instance = "entry-" + std::to_string(number);
        options.settings.dataCentre = dataCentre;
        options.settings.address = "10.0.0." + std::to_string(number);
        options.settings.seeds = seeds;
        options.incarnation = 101 + m_starts++;
        return std::make_unique<node>(node { position, options.settings.address, dataCentre, router_reducer(options), true });
    }

    std::optional<instant> nextTime(instant end) const
    {
        std::optional<instant> next;
        const auto consider = [&](instant time) {
            if (time <= end && (!next || time < *next))
                next = time;
        };
        if (!m_inTransit.empty())
            consider(m_inTransit.begin()->first);
        for (const auto& item : m_nodes) {
            if (item->alive && !item->suspended && item->reducer.nextDeadline())
                consider(*item->reducer.nextDeadline());
        }
        return next;
    }

    void deliverDue()
    {
        while (!m_inTransit.empty() && m_inTransit.begin()->first <= m_now) {
            auto datagram = std::move(m_inTransit.begin()->second);
            m_inTransit.erase(m_inTransit.begin());
            const auto receiver = m_numbers.find(datagram.to);
            if (receiver == m_numbers.end() || !isAlive(receiver->second))
                continue;
            auto& item = *m_nodes[receiver->second];
            if (item.suspended)
                m_inTransit.emplace(m_now + milliseconds(10), datagram);
            else if (datagram.message)
                step(item, stream_message_received { datagram.from, std::move(*datagram.message) });
            else
                step(item, digest_received { datagram.from, std::move(datagram.digest) });
        }
    }

    void fireTimers()
    {
        for (const auto& item : m_nodes) {
            if (item->alive && !item->suspended && item->reducer.nextDeadline() && *item->reducer.nextDeadline() <= m_now)
                step(*item, router_timer_due {});
        }
    }

    void step(node& target, router_event event)
    {
        router_effects effects;
        target.reducer.step(std::move(event), m_now, effects);
        for (auto& effect : effects) {
            onEffect(target.number, effect);
            if (auto* message = std::get_if<send_digest>(&effect))
                send(target.address, *message);
            if (const auto* message = std::get_if<send_stream_message>(&effect))
                send(target.address, *message);
            if (const auto* read = std::get_if<read_store>(&effect))
                answer(target, *read);
            if (const auto* cancelled = std::get_if<cancel_store_read>(&effect); cancelled && cancelled->read == target.upstreamWatch)
                target.upstreamWatch = 0;
            if (const auto* call = std::get_if<call_refusal_store>(&effect))
                answer(target, *call);
        }
    }

    void send(const std::string& from, const send_digest& message)
    {
        for (const auto& to : message.addresses) {
            if (recordsSent)
                sent.push_back({ from, to, message.digest, m_now, std::nullopt });
            transmit({ from, to, message.digest, m_now, std::nullopt });
        }
    }

    void send(const std::string& from, const send_stream_message& message)
    {
        for (const auto& to : message.addresses) {
            ++streamMessages;
            transmit({ from, to, {}, m_now, message.message });
        }
    }

    void transmit(sent_datagram datagram)
    {
        const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < net.lossShare;
        if (isLost || net.isCut(datagram.from, datagram.to))
            return;
        const auto delay = duration(m_random() % static_cast<std::uint64_t>(net.maxDelay.count()));
        const auto arrivesAt = (m_now + delay).time_since_epoch() + net.resolution - duration(1);
        m_inTransit.emplace(instant(arrivesAt - arrivesAt % net.resolution), std::move(datagram));
    }

    void recordChange(const store_entry<upstream_record>& change)
    {
        m_changes.push_back(change);
        for (const auto& item : m_nodes)
            answerWatch(*item);
    }

    // Answers the watch of a router if there are changes since its revision.
    void answerWatch(node& target)
    {
        if (!target.alive || target.suspended || target.upstreamWatch == 0 || isStoreCut(target.number))
            return;
        store_changes<upstream_record> changes { {}, m_revision };
        std::copy_if(m_changes.begin(), m_changes.end(), std::back_inserter(changes.entries), [&target](const auto& change) { return change.revision > target.watchedSince; });
        if (changes.entries.empty() && target.watchTime > shortWatch)
            return;
        const auto watch = std::exchange(target.upstreamWatch, 0);
        if (!isStoreSilent(target.number))
            step(target, upstreams_read { watch, std::move(changes) });
    }

    // Lists and short watches are answered at once, long watches of the upstream records when one of them has changed, those of the
    // configuration never.
    void answer(node& target, const read_store& read)
    {
        if (isStoreSilent(target.number))
            return;
        if (read.sinceRevision) {
            if (read.kind != store_kind::upstreams)
                return;
            target.upstreamWatch = read.read;
            target.watchedSince = *read.sinceRevision;
            target.watchTime = read.wait;
            return answerWatch(target);
        }
        if (isStoreCut(target.number))
            return;
        if (read.kind == store_kind::configuration)
            return step(target, config_read { read.read, store_page<shared_config> { { { "main", 5, std::make_shared<const routing_config>(router_fixture::sampleConfig()) } }, false, m_revision } });
        store_page<upstream_record> page;
        page.revision = m_revision;
        for (const auto& record : records)
            page.entries.push_back({ record.id, m_revision, record });
        step(target, upstreams_read { read.read, std::move(page) });
    }

    // Executes a call about refused suspects at once, or fails it while the store is down.
    void answer(node& target, const call_refusal_store& call)
    {
        const auto outcome = refusalStoreIsDown ? store_write_outcome::failed : store_write_outcome::written;
        if (const auto* list = std::get_if<list_refusals>(&call.request))
            return step(target, refusals_listed { call.call, listRefusals(list->after), std::nullopt });
        ++refusalWrites;
        if (const auto* save = std::get_if<save_refusal>(&call.request); save && !refusalStoreIsDown)
            storedRefusals[save->refusal.suspect.id] = { save->refusal.suspect, m_now - save->refusal.age };
        if (const auto* removal = std::get_if<remove_refusal>(&call.request); removal && !refusalStoreIsDown)
            storedRefusals.erase(removal->suspect.id);
        step(target, refusal_written { call.call, outcome, "down", std::nullopt });
    }

    store_read_outcome<aged_suspect> listRefusals(const std::string& after) const
    {
        if (refusalStoreIsDown)
            return store_read_failed { "down" };
        store_page<aged_suspect> page;
        for (const auto& [id, stored] : storedRefusals) {
            if (after.empty() || std::to_string(id) > after)
                page.entries.push_back({ std::to_string(id), m_revision, aged_suspect { stored.first, std::chrono::ceil<milliseconds>(m_now - stored.second) } });
        }
        return page;
    }

    std::mt19937_64 m_random;
    instant m_now = instant() + std::chrono::hours(1);
    std::vector<std::unique_ptr<node>> m_nodes;
    std::unordered_map<std::string, std::size_t> m_numbers;
    std::multimap<instant, sent_datagram> m_inTransit;
    caller_id m_lastCaller = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_revision = 5;
    std::vector<store_entry<upstream_record>> m_changes;
};

} // namespace kumquat::router
