// The world around routers, for the soak: a store, workers that misbehave by a seed, an operator, and callers that check
// every answer. Prints one line of counts and exits with 1 if a promise was broken.

#include "tests/soak/soak_book.h"
#include "tests/soak/soak_store.h"
#include "tests/soak/soak_worker.h"

#include <cstdlib>
#include <memory>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

constexpr int workerCount = 4;
constexpr int callerCount = 12;
constexpr int requestDeadlineMs = 1500;
// The bounds that the routers' settings name.
constexpr auto revocationDeadline = milliseconds(5000);
constexpr auto configDeadline = milliseconds(2000);
constexpr auto drainDeadline = milliseconds(2000);
// No fault keeps a router from the store for longer.
constexpr auto longestStaleness = milliseconds(12000);

struct soak_options {
    int storePort = 0;
    int workerPort = 0;
    int toldWorkerPort = 0;
    unsigned seed = 0;
    seconds span { 0 };
    // Routers are only stopped and told to reload, as an operator would: nothing else may go wrong.
    bool plannedWorkOnly = false;
    std::vector<int> routers;
};

bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

httplib::Headers headersFor(const std::string& id, const std::string& key)
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

// Sends requests of all kinds over connections that it keeps as long as they work.
class soak_caller {
public:
    soak_caller(int number, const soak_options& options, soak_book& book)
        : m_name(std::to_string(options.seed) + "-" + std::to_string(number) + "-")
        , m_options(options)
        , m_book(book)
        , m_random(options.seed + static_cast<unsigned>(number))
    {
    }

    void run()
    {
        const auto end = steady::now() + m_options.span;
        while (steady::now() < end) {
            call();
            std::this_thread::sleep_for(milliseconds(m_random() % 30));
        }
    }

private:
    void call()
    {
        static const std::vector<std::string> kinds { "once", "read", "stream" };
        const auto& kind = kinds[m_random() % kinds.size()];
        const auto id = m_name + std::to_string(m_count++);
        const int port = m_options.routers[m_random() % m_options.routers.size()];
        auto& client = m_clients[port];
        if (!client || m_random() % 8 == 0)
            client = connect(port);
        const auto path = "/" + kind + "/x";
        const auto headers = headersFor(id, "key");
        check(kind, id, kind == "once" ? client->Post(path, headers, id, "text/plain") : client->Get(path, headers));
        if (kind == "once" && m_book.runs(id) > 1)
            m_book.noteBroken("ran twice", id);
    }

    void check(const std::string& kind, const std::string& id, const httplib::Result& result)
    {
        if (!result) {
            ++m_book.failed;
            if (m_options.plannedWorkOnly && kind == "once" && m_book.runs(id) > 0)
                m_book.noteBroken("planned work cut off", id);
            return;
        }
        if (promisesNotRun(result->status))
            return m_book.noteRefused(id);
        if (result->status != 200) {
            ++m_book.failed;
            return;
        }
        ++m_book.answered;
        std::string expected = kind == "stream" ? std::string() : soakBody(id);
        for (int number = 1; kind == "stream" && number <= soakEventCount; ++number)
            expected += soakEvent(id, number);
        if (result->body != expected)
            m_book.noteBroken(kind + " of " + std::to_string(result->body.size()) + " bytes instead of " + std::to_string(expected.size()) + " to", id);
    }

    std::string m_name;
    const soak_options& m_options;
    soak_book& m_book;
    std::mt19937 m_random;
    int m_count = 0;
    std::map<int, std::unique_ptr<httplib::Client>> m_clients;
};

// Lets a worker leave and return, draws trouble for the store, and asks the routers which version they act on.
class soak_operator {
public:
    soak_operator(const soak_options& options, soak_store& store, soak_worker& leaver, soak_book& book)
        : m_options(options)
        , m_store(store)
        , m_leaver(leaver)
        , m_book(book)
        , m_random(options.seed + 500)
    {
    }

    void run()
    {
        const auto end = steady::now() + m_options.span;
        while (steady::now() < end) {
            const auto drawn = m_random() % 8;
            if (drawn == 1)
                m_store.drawTrouble();
            if (drawn == 2)
                toggleLeaver();
            for (const int router : m_options.routers)
                probe(router);
            std::this_thread::sleep_for(milliseconds(100 + m_random() % 200));
        }
    }

private:
    void toggleLeaver()
    {
        m_leaving = !m_leaving;
        m_store.setLeaving(0, m_leaving);
        const bool bound = m_leaving && m_options.plannedWorkOnly;
        m_leaver.forbidFrom(bound ? std::optional(steady::now() + drainDeadline) : std::nullopt);
    }

    // The routes of all versions so far: only one of them may be in force, and never one before another that was.
    void probe(int router)
    {
        const int newest = m_store.version();
        auto& seen = m_seen[router];
        for (int version = std::max(1, newest - 2); version <= newest; ++version) {
            const auto age = m_store.age(version + 1);
            const int seenBefore = seen;
            const auto [status, id] = ask(router, "/v" + std::to_string(version) + "/x", "key");
            const bool ran = m_book.runs(id) > 0;
            if (status == 200)
                seen = std::max(seen, version);
            if (ran && version < seenBefore)
                m_book.noteBroken("the configuration went back from " + std::to_string(seenBefore) + " to " + std::to_string(version), id);
            if (m_options.plannedWorkOnly && ran && age > configDeadline)
                m_book.noteBroken("an old configuration still in force", id);
        }
        // A router that has lost the store for long may still hold one of these.
        for (int revoked = 1; revoked + 2 <= newest; ++revoked) {
            const auto since = m_store.age(revoked + 2);
            if (since <= revocationDeadline || since > longestStaleness)
                continue;
            const auto [status, id] = ask(router, "/read/x", "key-" + std::to_string(revoked));
            if (m_book.runs(id) > 0)
                m_book.noteBroken("a key that was taken away still works, status " + std::to_string(status), id);
        }
    }

    std::pair<int, std::string> ask(int router, const std::string& path, const std::string& key)
    {
        const auto id = "probe-" + std::to_string(m_options.seed) + "-" + std::to_string(m_count++);
        auto& client = m_clients[router];
        if (!client)
            client = connect(router);
        client->set_read_timeout(milliseconds(requestDeadlineMs));
        const auto result = client->Get(path, headersFor(id, key));
        if (!result)
            client.reset();
        return { result ? result->status : 0, id };
    }

    const soak_options& m_options;
    soak_store& m_store;
    soak_worker& m_leaver;
    soak_book& m_book;
    std::mt19937 m_random;
    int m_count = 0;
    bool m_leaving = false;
    std::map<int, int> m_seen;
    std::map<int, std::unique_ptr<httplib::Client>> m_clients;
};

void publishVersions(const soak_options& options, soak_store& store)
{
    std::mt19937 random(options.seed + 600);
    const auto end = steady::now() + options.span;
    while (steady::now() < end) {
        std::this_thread::sleep_for(milliseconds(300 + random() % 1200));
        store.publish();
    }
}

int soak(const soak_options& options)
{
    soak_book book;
    soak_store store({ .port = options.storePort, .workerPort = options.toldWorkerPort, .workers = workerCount, .requestDeadlineMs = requestDeadlineMs, .seed = options.seed, .misbehaves = !options.plannedWorkOnly });
    std::vector<std::unique_ptr<soak_worker>> workers;
    workers.reserve(workerCount);
    for (int number = 0; number < workerCount; ++number)
        workers.push_back(std::make_unique<soak_worker>(soak_worker::options { .number = number, .port = options.workerPort + number, .seed = options.seed + 1000 + static_cast<unsigned>(number), .misbehaves = !options.plannedWorkOnly }, book));
    std::this_thread::sleep_for(seconds(1));
    std::vector<std::thread> threads;
    threads.reserve(callerCount + 2);
    soak_operator changes(options, store, *workers.front(), book);
    threads.emplace_back([&changes] { changes.run(); });
    threads.emplace_back([&options, &store] { publishVersions(options, store); });
    std::vector<std::unique_ptr<soak_caller>> callers;
    callers.reserve(callerCount);
    for (int number = 0; number < callerCount; ++number) {
        callers.push_back(std::make_unique<soak_caller>(number, options, book));
        threads.emplace_back([caller = callers.back().get()] { caller->run(); });
    }
    for (auto& thread : threads)
        thread.join();
    // What was refused must not run later either.
    std::this_thread::sleep_for(milliseconds(requestDeadlineMs));
    book.checkRefused();
    std::cout << "answered=" << book.answered << " refused=" << book.refused() << " failed=" << book.failed << " versions=" << store.version() << " broken=" << book.broken() << std::endl;
    return book.broken() == 0 && book.answered > 0 ? 0 : 1;
}

} // namespace

// Arguments: store port, first worker port, first worker port as records tell it, seed, seconds, all or planned, router ports.
int main(int argumentCount, char** arguments)
{
    if (argumentCount < 8) {
        std::cerr << "usage: soak-router-world STORE_PORT WORKER_PORT TOLD_WORKER_PORT SEED SECONDS all|planned ROUTER_PORT...\n";
        return 2;
    }
    soak_options options;
    options.storePort = std::atoi(arguments[1]);
    options.workerPort = std::atoi(arguments[2]);
    options.toldWorkerPort = std::atoi(arguments[3]);
    options.seed = static_cast<unsigned>(std::atoi(arguments[4]));
    options.span = seconds(std::atoi(arguments[5]));
    options.plannedWorkOnly = std::string(arguments[6]) == "planned";
    for (int at = 7; at < argumentCount; ++at)
        options.routers.push_back(std::atoi(arguments[at]));
    return soak(options);
}
