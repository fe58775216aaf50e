#pragma once

#include "tests/support/router_fixture.h"

#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <queue>
#include <set>
#include <tuple>

namespace kumquat::router {

// Runs functions in virtual time, in the order of their times and of their calls.
class virtual_schedule {
public:
    instant now() const { return m_now; }
    void at(instant time, std::function<void()> task) { m_tasks.push({ std::max(time, m_now), m_count++, std::move(task) }); }
    void run(instant end)
    {
        while (!m_tasks.empty() && m_tasks.top().time <= end) {
            auto task = std::move(const_cast<scheduled_task&>(m_tasks.top()).run);
            m_now = m_tasks.top().time;
            m_tasks.pop();
            task();
        }
        m_now = end;
    }

private:
    struct scheduled_task {
        instant time;
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(const scheduled_task& other) const { return std::tie(time, number) > std::tie(other.time, other.number); }
    };

    instant m_now = instant() + std::chrono::hours(1);
    std::uint64_t m_count = 0;
    std::priority_queue<scheduled_task> m_tasks;
};

// The platform's store in virtual time, with its limits: reads a second over all routers, pages, a bounded history, and a link that all
// answers share. The link of each reader limits its own answers further.
class virtual_store {
public:
    struct options {
        double readsPerSecond = 16000;
        double linkBitsPerSecond = 1e9;
        duration answerTime = milliseconds(4);
        std::size_t entriesPerPage = 500;
        std::size_t pageBytes = 1000000;
        std::size_t recordBytes = 300;
        std::size_t configBytes = 60000;
        // So many changes are kept for watches.
        std::size_t historyLength = 5000;
    };
    // The outcome of a read, with the size of the answer. `bytes` is 0 for a part of the answer that is not the last one.
    struct reader {
        // Delivers a part of an answer over the reader's link and calls back when it has arrived.
        std::function<void(std::size_t bytes, std::function<void()> arrived)> receive;
        std::function<void(router_event, std::size_t bytes)> post;
    };
    struct tally {
        std::size_t reads = 0;
        std::size_t refused = 0;
        std::size_t failed = 0;
        std::size_t lists = 0;
        std::size_t configs = 0;
        std::size_t historyLost = 0;
        std::size_t bytes = 0;
    };

    virtual_store(virtual_schedule& schedule, const options& limits)
        : m_schedule(schedule)
        , m_options(limits)
    {
    }

    std::map<std::string, upstream_record> records;
    tally counts;
    bool isDown = false;

    // Writes a record again, also if it has not changed.
    void put(const upstream_record& record)
    {
        records[record.id] = record;
        m_revisions[record.id] = ++m_revision;
        m_history.push_back({ m_revision, { record.id, m_revision, record } });
        if (m_history.size() > m_options.historyLength)
            m_history.pop_front();
        for (auto& waiting : std::exchange(m_watches, {}))
            answerWatch(std::move(waiting));
    }

    // Removes a record. Watches get the removal with the revision of the record's last change.
    void remove(const std::string& id)
    {
        records.erase(id);
        m_history.push_back({ ++m_revision, { id, m_revisions.at(id), removed_object {} } });
        for (auto& waiting : std::exchange(m_watches, {}))
            answerWatch(std::move(waiting));
    }

    void read(const read_store& request, std::uint64_t owner, const reader& from)
    {
        pending_read item { request, owner, from };
        m_schedule.at(m_schedule.now() + networkDelay, [this, item = std::move(item)]() mutable { accept(std::move(item)); });
    }
    // Forgets all reads of a reader, or one of them.
    void cancel(std::uint64_t owner, std::uint64_t read = 0)
    {
        const auto isOf = [&](const pending_read& item) { return item.owner == owner && (read == 0 || item.request.read == read); };
        std::erase_if(m_watches, isOf);
        std::erase_if(m_configWatches, isOf);
        std::erase_if(m_transfers, [&](const auto& item) { return isOf(item->read); });
        m_cancelled.emplace(owner, read);
    }
    // Counts a call about refused suspects. Returns whether it is accepted.
    bool acceptsCall() { return !isDown && takeRead(); }

private:
    static constexpr auto networkDelay = milliseconds(1);
    static constexpr auto limitWindow = milliseconds(100);
    static constexpr std::size_t partBytes = 32768;

    struct pending_read {
        read_store request;
        std::uint64_t owner = 0;
        reader from;
    };
    // A change of a record, and the revision of the store since which it is in effect.
    struct record_change {
        std::uint64_t revision = 0;
        store_entry<upstream_record> entry;
    };
    struct transfer {
        pending_read read;
        router_event answer;
        std::size_t size = 0;
        std::size_t left = 0;
    };

    bool isCancelled(const pending_read& item) const
    {
        return m_cancelled.contains({ item.owner, 0 }) || m_cancelled.contains({ item.owner, item.request.read });
    }

    bool takeRead()
    {
        ++counts.reads;
        if (m_schedule.now() >= m_windowStart + limitWindow) {
            m_windowStart = m_schedule.now();
            m_windowReads = 0;
        }
        const bool isAccepted = ++m_windowReads <= m_options.readsPerSecond * std::chrono::duration<double>(limitWindow).count();
        counts.refused += isAccepted ? 0 : 1;
        return isAccepted;
    }

    void fail(const pending_read& item, const char* reason)
    {
        ++counts.failed;
        if (item.request.kind == store_kind::upstreams)
            item.from.post(upstreams_read { item.request.read, store_read_failed { reason }, std::nullopt }, 0);
        else
            item.from.post(config_read { item.request.read, store_read_failed { reason }, std::nullopt }, 0);
    }

    void accept(pending_read item)
    {
        if (isCancelled(item))
            return;
        if (isDown)
            return fail(item, "refused");
        if (!takeRead())
            return fail(item, "status 429");
        if (item.request.sinceRevision)
            return startWatch(std::move(item));
        m_schedule.at(m_schedule.now() + m_options.answerTime, [this, item = std::move(item)]() mutable { answerList(std::move(item)); });
    }

    void startWatch(pending_read item)
    {
        const auto wait = item.request.wait;
        const auto owner = item.owner;
        const auto read = item.request.read;
        m_schedule.at(m_schedule.now() + wait, [this, owner, read] { endWatch(owner, read); });
        answerWatch(std::move(item));
    }

    void endWatch(std::uint64_t owner, std::uint64_t read)
    {
        const auto take = [&](std::vector<pending_read>& watches) -> std::optional<pending_read> {
            const auto found = std::find_if(watches.begin(), watches.end(), [&](const pending_read& item) { return item.owner == owner && item.request.read == read; });
            if (found == watches.end())
                return std::nullopt;
            auto item = std::move(*found);
            watches.erase(found);
            return item;
        };
        if (auto item = take(m_watches))
            return send(std::move(*item), upstreams_read { read, store_changes<upstream_record> { {}, m_revision }, std::nullopt }, headBytes);
        if (auto item = take(m_configWatches))
            send(std::move(*item), config_read { read, store_changes<shared_config> { {}, configRevision }, std::nullopt }, headBytes);
    }

    void answerWatch(pending_read item)
    {
        const auto since = *item.request.sinceRevision;
        if (item.request.kind == store_kind::configuration)
            return m_configWatches.push_back(std::move(item));
        if (since >= m_revision || m_history.empty())
            return m_watches.push_back(std::move(item));
        const auto id = item.request.read;
        if (since + 1 < m_history.front().revision) {
            ++counts.historyLost;
            return send(std::move(item), upstreams_read { id, store_history_lost {}, std::nullopt }, headBytes);
        }
        store_changes<upstream_record> changes { {}, m_revision };
        const auto first = std::upper_bound(m_history.begin(), m_history.end(), since, [](std::uint64_t revision, const record_change& change) { return revision < change.revision; });
        std::transform(first, m_history.end(), std::back_inserter(changes.entries), [](const record_change& change) { return change.entry; });
        const auto bytes = headBytes + changes.entries.size() * m_options.recordBytes;
        send(std::move(item), upstreams_read { id, std::move(changes), std::nullopt }, bytes);
    }

    void answerList(pending_read item)
    {
        if (isCancelled(item))
            return;
        const auto id = item.request.read;
        if (item.request.kind == store_kind::configuration) {
            ++counts.configs;
            static const auto config = std::make_shared<const routing_config>(router_fixture::sampleConfig());
            return send(std::move(item), config_read { id, store_page<shared_config> { { { "main", configRevision, config } }, false, m_revision }, std::nullopt }, m_options.configBytes);
        }
        ++counts.lists;
        store_page<upstream_record> page;
        page.revision = m_revision;
        const auto size = std::min(m_options.entriesPerPage, m_options.pageBytes / m_options.recordBytes);
        for (auto next = records.upper_bound(item.request.after); next != records.end(); ++next) {
            page.more = page.entries.size() == size;
            if (page.more)
                break;
            page.entries.push_back({ next->first, m_revisions.at(next->first), next->second });
        }
        const auto bytes = headBytes + page.entries.size() * m_options.recordBytes;
        send(std::move(item), upstreams_read { id, std::move(page), std::nullopt }, bytes);
    }

    // The parts of all answers take turns on the store's link. The next part of an answer follows when its reader has the last one.
    void send(pending_read item, router_event answer, std::size_t bytes)
    {
        counts.bytes += bytes;
        m_transfers.push_back(std::make_shared<transfer>(transfer { std::move(item), std::move(answer), bytes, bytes }));
        if (!m_linkIsBusy)
            sendPart();
    }

    void sendPart()
    {
        m_linkIsBusy = !m_transfers.empty();
        if (m_transfers.empty())
            return;
        auto item = m_transfers.front();
        m_transfers.pop_front();
        const auto bytes = std::min(partBytes, item->left);
        item->left -= bytes;
        const auto seconds = static_cast<double>(bytes) * 8 / m_options.linkBitsPerSecond;
        const auto sentAt = m_schedule.now() + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
        m_schedule.at(sentAt, [this] { sendPart(); });
        m_schedule.at(sentAt + networkDelay, [this, item, bytes] { item->read.from.receive(bytes, [this, item] { onPartArrived(item); }); });
    }

    void onPartArrived(const std::shared_ptr<transfer>& item)
    {
        if (isCancelled(item->read))
            return;
        if (item->left == 0)
            return item->read.from.post(std::move(item->answer), item->size);
        item->read.from.post(store_read_progressed { item->read.request.read }, 0);
        m_transfers.push_back(item);
        if (!m_linkIsBusy)
            sendPart();
    }

    static constexpr std::uint64_t configRevision = 5;
    static constexpr std::size_t headBytes = 300;

    virtual_schedule& m_schedule;
    options m_options;
    std::uint64_t m_revision = configRevision;
    std::map<std::string, std::uint64_t> m_revisions;
    std::deque<record_change> m_history;
    std::vector<pending_read> m_watches;
    std::vector<pending_read> m_configWatches;
    std::deque<std::shared_ptr<transfer>> m_transfers;
    // Readers and their reads; 0 stands for all reads.
    std::set<std::pair<std::uint64_t, std::uint64_t>> m_cancelled;
    bool m_linkIsBusy = false;
    instant m_windowStart;
    int m_windowReads = 0;
};

} // namespace kumquat::router
