#include "servers/router/gap_protection.h"

#include "core/hash.h"
#include "servers/router/placement.h"
#include "tests/support/engine_model.h"
#include "tests/support/router_fixture.h"

#include <random>

using namespace kumquat;
using namespace kumquat::router;
using namespace kumquat::test;

namespace {

constexpr auto shortGap = 200ms;
constexpr auto longGap = 800ms;

route makeStreamRoute(const std::string& name, duration gapTarget, duration firstEventTarget = 2s)
{
    route item;
    item.name = name;
    item.host = "h";
    item.pathPrefix = "/" + name + "/";
    item.services = { { "llm", 1 } };
    item.streaming = true;
    item.usesPromptCache = true;
    item.eventGapTarget = gapTarget;
    item.latencyTarget = firstEventTarget;
    return item;
}

routing_config makeConfig(duration otherGapTarget = longGap)
{
    routing_config config;
    config.addRoute(makeStreamRoute("ask", shortGap));
    config.addRoute(makeStreamRoute("digest", otherGapTarget));
    return config;
}

gap_protection makeProtection(duration otherGapTarget = longGap)
{
    gap_protection protection;
    protection.setConfig(makeConfig(otherGapTarget));
    return protection;
}

router_digest makeReport(const std::string& instance, int sensitiveRequests, int totalRequests, bool disturbed)
{
    router_digest digest;
    digest.instance = instance;
    digest.reservations = { { static_cast<std::uint32_t>(hashBytes("llm")), sensitiveRequests, totalRequests, disturbed } };
    return digest;
}

// Twelve engines in three data centres, of which each is slow for 600 ms in 4 s, and four routers with a fourth of the load each, of urgent
// short streams beside long prompts that share parts.
struct uneven_engines {
    static constexpr std::size_t engineCount = 12;
    static constexpr std::size_t routerCount = 4;
    static constexpr auto tick = 2ms;

    struct attempt {
        std::size_t router = 0;
        shared_upstream upstream;
        bool isSensitive = false;
        double uncachedTokens = 0;
    };

    struct router_state {
        std::vector<shared_upstream> upstreams;
        gap_protection protection = makeProtection();
        peer_group peers;
    };

    bool protects = true;
    std::mt19937_64 random;
    std::vector<engine_model> engines { engineCount };
    std::vector<router_state> routers { routerCount };
    std::vector<attempt> attempts;
    instant start = instant() + 100s;
    instant now = start;
    // Of the sensitive streams that ended after the first five seconds, and those of them whose longest gap was within the target.
    int sensitiveStreams = 0;
    int smoothStreams = 0;
    // The same for the others, and their first event within 2.5 s.
    int otherStreams = 0;
    int promptStreams = 0;

    uneven_engines(std::uint64_t seed, bool withProtection)
        : protects(withProtection)
        , random(seed)
    {
        for (auto& item : routers) {
            for (std::size_t index = 0; index < engineCount; ++index) {
                item.upstreams.push_back(std::make_shared<upstream_state>());
                auto& upstream = *item.upstreams.back();
                upstream.record = router_fixture::makeUpstream("engine-" + std::to_string(index), "llm", static_cast<int>(index));
                upstream.record.dataCentre = "dc-" + std::to_string(index % 3);
                upstream.key = static_cast<std::uint32_t>(hashBytes(upstream.record.id));
            }
        }
    }

    void send(std::size_t routerIndex, bool isSensitive)
    {
        auto& item = routers[routerIndex];
        proxied_request request;
        request.requestId = std::to_string(attempts.size());
        const auto shared = random() % 60;
        const int sharedTokens = isSensitive ? 350 : 13300;
        const int ownTokens = isSensitive ? 1110 : 3720;
        request.prompt.parts = { { shared + (isSensitive ? 1000U : 1U), sharedTokens }, { 1000000 + attempts.size(), ownTokens } };
        request.prompt.inputTokens = sharedTokens + ownTokens;
        const std::vector<std::string> excluded;
        const auto selected = place(least_prefill {}, { .upstreams = item.upstreams, .callerRequest = request, .excluded = excluded, .dataCentre = "dc-" + std::to_string(routerIndex % 3), .peers = item.peers, .now = now, .reservedShare = protects ? item.protection.reservedShare("llm", now) : std::nullopt, .isGapSensitive = isSensitive });
        REQUIRE(selected.upstream);
        for (auto& other : routers)
            findUpstream(other, *selected.upstream)->promptCache.recordPrompt(request.prompt, { 500000, 10000 });
        selected.upstream->uncachedPromptTokens += selected.uncachedPromptTokens;
        const auto index = static_cast<std::size_t>(std::find(item.upstreams.begin(), item.upstreams.end(), selected.upstream) - item.upstreams.begin());
        engines[index].add({ .uncachedTokens = std::max(1.0, selected.uncachedPromptTokens), .eventsLeft = isSensitive ? 43 : 30, .id = attempts.size() }, now);
        attempts.push_back({ routerIndex, selected.upstream, isSensitive, selected.uncachedPromptTokens });
        item.protection.recordArrival("llm", isSensitive);
    }

    static shared_upstream findUpstream(const router_state& item, const upstream_state& same)
    {
        return *std::find_if(item.upstreams.begin(), item.upstreams.end(), [&same](const shared_upstream& upstream) { return upstream->key == same.key; });
    }

    void end(const engine_stream& stream)
    {
        const auto& done = attempts[stream.id];
        --done.upstream->streams;
        routers[done.router].protection.recordEnd("llm", done.isSensitive);
        if (done.isSensitive)
            routers[done.router].protection.recordStream("llm", stream.longestGap, now);
        if (now - start < 5s)
            return;
        (done.isSensitive ? sensitiveStreams : otherStreams) += 1;
        if (done.isSensitive && stream.longestGap <= shortGap)
            ++smoothStreams;
        if (!done.isSensitive && stream.firstEventAfter <= 2500ms)
            ++promptStreams;
    }

    void exchangeReports()
    {
        for (std::size_t sender = 0; sender < routerCount; ++sender) {
            router_digest digest;
            digest.instance = std::to_string(sender);
            digest.reservations = routers[sender].protection.ownReports(now);
            for (std::size_t receiver = 0; receiver < routerCount; ++receiver) {
                if (receiver != sender)
                    routers[receiver].protection.learn(digest, now);
            }
        }
    }

    void run(duration length)
    {
        std::poisson_distribution<int> sensitiveArrivals(0.003 * 2);
        std::poisson_distribution<int> otherArrivals(0.0045 * 2);
        for (std::uint64_t step = 0; now - start < length; ++step, now += tick) {
            for (std::size_t index = 0; index < routerCount; ++index) {
                for (int count = sensitiveArrivals(random); count > 0; --count)
                    send(index, true);
                for (int count = otherArrivals(random); count > 0; --count)
                    send(index, false);
            }
            for (std::size_t index = 0; index < engineCount; ++index) {
                const bool isSlow = (step + index * 170) % 2000 < 300;
                const auto onFirstEvent = [this](const engine_stream& stream) {
                    auto& upstream = *attempts[stream.id].upstream;
                    ++upstream.streams;
                    upstream.uncachedPromptTokens -= attempts[stream.id].uncachedTokens;
                };
                for (const auto& stream : engines[index].advance(now, isSlow, onFirstEvent))
                    end(stream);
            }
            if (step % 50 == 0)
                exchangeReports();
        }
    }

    double smoothShare() const { return static_cast<double>(smoothStreams) / sensitiveStreams; }
    double promptShare() const { return static_cast<double>(promptStreams) / otherStreams; }
};

} // namespace

TEST_CASE("a service is divided by the requests in progress, once too many sensitive streams had long gaps", "[gap-protection]")
{
    auto protection = makeProtection();
    const auto now = instant() + 100s;
    CHECK(protection.isSensitive("llm", shortGap));
    CHECK_FALSE(protection.isSensitive("llm", longGap));
    for (int count = 0; count < 10; ++count)
        protection.recordArrival("llm", count < 3);
    for (int count = 0; count < 30; ++count)
        protection.recordStream("llm", 100ms, now);
    CHECK_FALSE(protection.reservedShare("llm", now));
    for (int count = 0; count < 3; ++count)
        protection.recordStream("llm", 300ms, now);
    REQUIRE(protection.reservedShare("llm", now));
    CHECK(*protection.reservedShare("llm", now) == Approx(0.3));
    // A burst of sensitive requests gets more engines at once.
    for (int count = 0; count < 10; ++count)
        protection.recordArrival("llm", true);
    CHECK(*protection.reservedShare("llm", now) > 0.5);
    for (int count = 0; count < 10; ++count)
        protection.recordEnd("llm", true);
    CHECK(*protection.reservedShare("llm", now) == Approx(0.3));
    CHECK_FALSE(protection.reservedShare("llm", now + 61s));
}

TEST_CASE("a service whose routes all bear the same gaps is not divided", "[gap-protection]")
{
    auto protection = makeProtection(shortGap);
    protection.recordArrival("llm", true);
    for (int count = 0; count < 30; ++count)
        protection.recordStream("llm", 2s, instant() + 100s);
    CHECK_FALSE(protection.reservedShare("llm", instant() + 100s));
}

TEST_CASE("a service is not divided whose sensitive streams have to begin at once", "[gap-protection]")
{
    routing_config config;
    config.addRoute(makeStreamRoute("ask", shortGap, 300ms));
    config.addRoute(makeStreamRoute("digest", longGap));
    gap_protection protection;
    protection.setConfig(config);
    CHECK_FALSE(protection.isSensitive("llm", shortGap));
}

TEST_CASE("routers follow one that has seen long gaps, with one share, for as long as it reports", "[gap-protection]")
{
    auto protection = makeProtection();
    const auto now = instant() + 100s;
    protection.recordArrival("llm", true);
    protection.recordArrival("llm", false);
    protection.learn(makeReport("one", 2, 4, false), now);
    CHECK_FALSE(protection.reservedShare("llm", now));
    CHECK(protection.ownReports(now).empty());
    protection.learn(makeReport("two", 1, 4, true), now);
    CHECK(*protection.reservedShare("llm", now) == Approx(0.4));
    REQUIRE(protection.ownReports(now).size() == 1);
    CHECK_FALSE(protection.ownReports(now).front().disturbed);
    CHECK_FALSE(protection.reservedShare("llm", now + 4s));
}

TEST_CASE("sensitive streams leave their reserved engines when these are nearly full", "[gap-protection]")
{
    uneven_engines load(1, true);
    auto& upstreams = load.routers[0].upstreams;
    proxied_request request;
    request.requestId = "r";
    request.prompt.parts = { { 1, 350 }, { 2, 1110 } };
    request.prompt.inputTokens = 1460;
    const auto choose = [&] { return place(least_prefill {}, { .upstreams = upstreams, .callerRequest = request, .excluded = {}, .dataCentre = "dc-0", .peers = load.routers[0].peers, .now = load.now, .reservedShare = 0.25, .isGapSensitive = true }).upstream; };
    std::vector<shared_upstream> filled;
    for (auto chosen = choose(); filled.size() < 3; chosen = choose()) {
        REQUIRE(std::find(filled.begin(), filled.end(), chosen) == filled.end());
        chosen->inFlight = chosen->record.slots;
        chosen->uncachedPromptTokens = 5000;
        filled.push_back(chosen);
    }
    CHECK(std::find(filled.begin(), filled.end(), choose()) == filled.end());
}

TEST_CASE("urgent short streams keep their gaps short beside long prompts on engines that are slow at times", "[gap-protection]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 9));
    uneven_engines divided(seed, true);
    divided.run(20s);
    uneven_engines undivided(seed, false);
    undivided.run(20s);
    CAPTURE(seed, divided.smoothShare(), undivided.smoothShare(), divided.promptShare(), undivided.promptShare());
    CHECK(divided.smoothShare() >= 0.92);
    CHECK(divided.smoothShare() > undivided.smoothShare());
    CHECK(divided.promptShare() >= undivided.promptShare() - 0.03);
}
