#pragma once

#include "core/document_index.h"

namespace kumquat_test {

// A document with one engine service "kasa", one plain service "dwumadie", the organisations "osu" and "ridge" whose
// key digests are "key-osu" and "key-ridge", and classes "pass" (tier 0, not repeatable), "summary" (tier 1) and "digest" (tier 2).
inline kumquat::document_ptr sampleDocument(std::uint64_t generation = 1)
{
    kumquat::document contents;
    contents.generation = generation;
    contents.tiers = { { "critical", 0 }, { "interactive", 1 }, { "bulk", 2 } };
    contents.classes = {
        { .name = "pass", .tier = "critical", .tierRank = 0, .repeatable = false },
        { .name = "summary", .tier = "interactive", .tierRank = 1, .expectedTokens = 100 },
        { .name = "digest", .tier = "bulk", .tierRank = 2, .expectedTokens = 400 },
    };
    contents.services = { { .name = "kasa", .models = { "kasa-8b" } }, { .name = "dwumadie", .kind = kumquat::service_kind::plain } };
    contents.organisations = { { .name = "osu", .keyDigests = { "key-osu" } }, { .name = "ridge", .keyDigests = { "key-ridge" } } };
    contents.rules = { { .service = "dwumadie", .pathPrefix = "/passes", .className = "pass" }, { .service = "kasa", .className = "summary" } };
    return std::make_shared<const kumquat::document_index>(contents);
}

} // namespace kumquat_test
