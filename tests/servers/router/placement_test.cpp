#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

struct placement_fixture {
    std::vector<shared_upstream> upstreams;
    peer_group peers;
    proxied_request request;
    std::vector<std::string> excluded;
    instant now = instant() + seconds(100);

    placement_fixture()
    {
        for (const char* id : { "a", "b", "c", "d" }) {
            upstreams.push_back(std::make_shared<upstream_state>());
            upstreams.back()->record = router_fixture::makeUpstream(id, "llm", 1);
        }
        request.requestId = "r";
        request.prompt.parts = { { 11, 8000 }, { 12, 100 } };
        request.prompt.inputTokens = 8100;
    }

    placement choose(const placement_policy& policy) { return place(policy, { upstreams, request, excluded, "dc-a", peers, now }); }
};

} // namespace

TEST_CASE("a prompt goes to the upstream that has it cached, unless the backlog there is too long", "[router]")
{
    placement_fixture fixture;
    const auto affinityUpstream = fixture.choose(least_prefill {}).upstream;
    const auto other = *std::find_if(fixture.upstreams.begin(), fixture.upstreams.end(), [&](const auto& item) { return item != affinityUpstream; });
    other->promptCache.recordPrompt(fixture.request.prompt, { 100000, 1000 });
    CHECK(fixture.choose(least_prefill {}).upstream == other);
    CHECK(fixture.choose(least_prefill {}).uncachedPromptTokens == 0);
    other->uncachedPromptTokens = 40000;
    CHECK(fixture.choose(least_prefill {}).upstream != other);
}

TEST_CASE("two routers select the same upstream for a prompt that is cached nowhere", "[router]")
{
    placement_fixture one;
    placement_fixture two;
    for (std::uint64_t part = 1; part < 50; ++part) {
        one.request.prompt.parts[0].id = part;
        two.request.prompt.parts[0].id = part;
        CHECK(one.choose(least_prefill {}).upstream->record.id == two.choose(least_prefill {}).upstream->record.id);
    }
}

TEST_CASE("leaving, excluded and stale upstreams are never selected, those in back-off only if no other is left", "[router]")
{
    placement_fixture fixture;
    fixture.upstreams[0]->record.leaving = true;
    fixture.upstreams[1]->staleAddress = true;
    fixture.excluded = { "c" };
    CHECK(fixture.choose(least_in_flight {}).upstream->record.id == "d");
    fixture.upstreams[3]->backoffUntil = fixture.now + seconds(1);
    CHECK(fixture.choose(least_in_flight {}).upstream->record.id == "d");
    fixture.excluded = { "c", "d" };
    CHECK(fixture.choose(least_in_flight {}).upstream == nullptr);
}

TEST_CASE("a request without a prompt goes to the upstream with the fewest in flight, counting those of other routers", "[router]")
{
    placement_fixture fixture;
    for (std::uint32_t index = 0; index < fixture.upstreams.size(); ++index) {
        fixture.upstreams[index]->key = index + 1;
        fixture.upstreams[index]->inFlight = 2;
    }
    fixture.upstreams[2]->inFlight = 0;
    CHECK(fixture.choose(least_in_flight {}).upstream->record.id == "c");
    router_digest digest;
    digest.instance = "other";
    digest.sequence = 1;
    digest.loads = { { 3, 9, 0, 0 } };
    fixture.peers.accept("10.0.0.9", digest, fixture.now);
    CHECK(fixture.choose(least_in_flight {}).upstream->record.id != "c");
}

TEST_CASE("a full cache model evicts the least recently used parts, and a part after an uncached one counts as uncached", "[router]")
{
    prompt_cache_model model;
    model.recordPart({ 1, 60 }, { 100, 1000 });
    model.recordPart({ 2, 30 }, { 100, 1000 });
    model.recordPart({ 1, 60 }, { 100, 1000 });
    model.recordPart({ 3, 40 }, { 100, 1000 });
    prompt_description prompt;
    prompt.parts = { { 1, 60 } };
    CHECK(model.uncachedPromptTokens(prompt) == 0);
    prompt.parts = { { 2, 30 } };
    CHECK(model.uncachedPromptTokens(prompt) == 30);
    prompt.parts = { { 2, 30 }, { 1, 60 } };
    CHECK(model.uncachedPromptTokens(prompt) == 90);
}
