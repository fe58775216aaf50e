#include "drivers/cbor/digest_codec.h"

#include "drivers/cbor/cbor_structure.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace kumquat {

namespace {

    using nlohmann::json;

    // A digest is encoded as a CBOR array without field names, to keep the datagram small. These are the array's indices.
    enum field { version,
        scope,
        instance,
        data_centre,
        routers,
        relayed,
        incarnation,
        sequence,
        leaving,
        store_era,
        config_era,
        config_revision,
        config_age,
        config_version,
        upstream_era,
        upstream_revision,
        records_age,
        members,
        slice_index,
        slice_count,
        loads,
        cached_parts,
        crashes,
        answered_suspects,
        refused_suspects,
        leaving_upstreams,
        limits,
        sole_versions,
        reservations,
        field_count,
        // Only digests of routers that report the use of upstreams have this element.
        fleet = field_count };

    constexpr int formatVersion = 7;
    // How many consecutive numbers of a flat list encode one load, one cached prompt part, one crash and one suspect.
    constexpr std::size_t numbersPerLoad = 4;
    constexpr std::size_t numbersPerPart = 3;
    constexpr std::size_t numbersPerCrash = 6;
    constexpr std::size_t numbersPerSuspect = 3;
    // A member is encoded as its address and its data centre.
    constexpr std::size_t valuesPerMember = 2;
    // A leaving upstream is encoded as its id and its start time.
    constexpr std::size_t valuesPerLeavingUpstream = 2;

    // A version that is alone is encoded as its hash and the time.
    constexpr std::size_t numbersPerSoleVersion = 2;
    // A limit is encoded as the upstream's key and start time, the rate or null, and the age.
    constexpr std::size_t valuesPerLimit = 4;

    // A reservation is encoded as the hash of its service, two numbers of requests, and whether the sender has seen too long gaps.
    constexpr std::size_t numbersPerReservation = 4;

    std::vector<reservation_report> decodeReservations(const json& list)
    {
        std::vector<reservation_report> reports;
        for (std::size_t index = 0; index + numbersPerReservation <= list.size(); index += numbersPerReservation)
            reports.push_back({ list[index].get<std::uint32_t>(), std::max(0, list[index + 1].get<int>()), std::max(0, list[index + 2].get<int>()), list[index + 3].get<int>() != 0 });
        return reports;
    }

    json encodeReservations(const std::vector<reservation_report>& reports)
    {
        json list = json::array();
        for (const auto& report : reports)
            list.insert(list.end(), { report.service, report.sensitiveRequests, report.totalRequests, report.disturbed ? 1 : 0 });
        return list;
    }

    // The elements of the state of the fleet; the ones from `token` on are present only with an announcement.
    enum fleet_field { time_of_day,
        token,
        announcement_age,
        first_open_window,
        collectors,
        fleet_field_count };
    // No router names more collectors.
    constexpr std::size_t maxCollectors = 8;

    json encodeFleet(const fleet_state& state)
    {
        auto list = json::array({ state.timeOfDay.time_since_epoch().count() });
        if (const auto& announced = state.announcement)
            list.insert(list.end(), { announced->fencingToken, announced->age.count(), announced->firstOpenWindow, announced->collectors });
        return list;
    }

    fleet_state decodeFleet(const json& list)
    {
        fleet_state state { unix_time(std::chrono::milliseconds(list.at(time_of_day).get<std::int64_t>())), std::nullopt };
        if (list.size() > token)
            state.announcement = duty_announcement {
                .fencingToken = list.at(token).get<std::uint64_t>(),
                .age = std::chrono::milliseconds(list.at(announcement_age).get<std::int64_t>()),
                .collectors = list.at(collectors).get<std::vector<std::string>>(),
                .firstOpenWindow = list.at(first_open_window).get<std::uint64_t>(),
            };
        return state;
    }

    // Whether sums of times with what the digest says can't overflow.
    bool hasValidFleet(const router_digest& digest)
    {
        constexpr std::int64_t maxUnixMs = std::int64_t { 1 } << 45U;
        if (!digest.fleet)
            return true;
        const auto unixMs = digest.fleet->timeOfDay.time_since_epoch().count();
        const auto& announced = digest.fleet->announcement;
        const bool isAnnouncementValid = !announced || (announced->age.count() >= 0 && announced->age.count() < maxUnixMs / 1024 && announced->collectors.size() <= maxCollectors);
        return unixMs >= 0 && unixMs < maxUnixMs && isAnnouncementValid;
    }

    crash_suspect decodeSuspect(const json& kind, const json& id)
    {
        return { kind.get<int>() == static_cast<int>(suspect_kind::request) ? suspect_kind::request : suspect_kind::prompt_part, id.get<std::uint64_t>() };
    }

    std::vector<crash_report> decodeCrashes(const json& list)
    {
        std::vector<crash_report> reports;
        for (std::size_t index = 0; index + numbersPerCrash <= list.size(); index += numbersPerCrash)
            reports.push_back({ decodeSuspect(list[index], list[index + 1]), list[index + 2].get<std::uint32_t>(), list[index + 3].get<std::uint32_t>(), list[index + 4].get<int>(), std::chrono::milliseconds(list[index + 5].get<std::int64_t>()) });
        return reports;
    }

    std::vector<aged_suspect> decodeSuspects(const json& list)
    {
        std::vector<aged_suspect> suspects;
        for (std::size_t index = 0; index + numbersPerSuspect <= list.size(); index += numbersPerSuspect)
            suspects.push_back({ decodeSuspect(list[index], list[index + 1]), std::chrono::milliseconds(list[index + 2].get<std::int64_t>()) });
        return suspects;
    }

    std::vector<upstream_limit_report> decodeLimits(const json& list)
    {
        std::vector<upstream_limit_report> reports;
        for (std::size_t index = 0; index + valuesPerLimit <= list.size(); index += valuesPerLimit) {
            const auto& rate = list[index + 2];
            reports.push_back({ list[index].get<std::uint32_t>(), list[index + 1].get<std::int64_t>(), rate.is_null() ? std::nullopt : std::optional(rate.get<double>()), std::chrono::milliseconds(list[index + 3].get<std::int64_t>()) });
        }
        return reports;
    }

    bool hasValidLimits(const router_digest& digest)
    {
        return std::all_of(digest.limits.begin(), digest.limits.end(), [](const upstream_limit_report& report) { return !report.requestsPerSecond || (std::isfinite(*report.requestsPerSecond) && *report.requestsPerSecond >= 0); });
    }

    json encodeLimits(const std::vector<upstream_limit_report>& reports)
    {
        json list = json::array();
        for (const auto& report : reports)
            list.insert(list.end(), { report.upstream, report.startedUnixMs, report.requestsPerSecond ? json(*report.requestsPerSecond) : json(), report.age.count() });
        return list;
    }

    json encodeAge(const std::optional<std::chrono::milliseconds>& age)
    {
        return age ? json(age->count()) : json();
    }

    std::optional<std::chrono::milliseconds> decodeAge(const json& age)
    {
        return age.is_null() ? std::nullopt : std::optional(std::chrono::milliseconds(age.get<std::int64_t>()));
    }

    json encodeCrashes(const std::vector<crash_report>& reports)
    {
        json list = json::array();
        for (const auto& report : reports)
            list.insert(list.end(), { static_cast<int>(report.suspect.kind), report.suspect.id, report.upstream, report.request, report.position, report.age.count() });
        return list;
    }

    json encodeSuspects(const std::vector<aged_suspect>& suspects)
    {
        json list = json::array();
        for (const auto& [suspect, age] : suspects)
            list.insert(list.end(), { static_cast<int>(suspect.kind), suspect.id, age.count() });
        return list;
    }

    router_digest decode(const json& root)
    {
        router_digest digest;
        digest.scope = root.at(scope).get<bool>() ? digest_scope::data_centre : digest_scope::router;
        digest.instance = root.at(instance).get<std::string>();
        digest.dataCentre = root.at(data_centre).get<std::string>();
        digest.routers = root.at(routers).get<int>();
        digest.relayed = root.at(relayed).get<bool>();
        digest.incarnation = root.at(incarnation).get<std::uint64_t>();
        digest.sequence = root.at(sequence).get<std::uint64_t>();
        digest.leaving = root.at(leaving).get<bool>();
        digest.storeEra = root.at(store_era).get<std::uint64_t>();
        digest.configPosition = { root.at(config_era).get<std::uint64_t>(), root.at(config_revision).get<std::uint64_t>() };
        digest.configAge = decodeAge(root.at(config_age));
        digest.configVersion = root.at(config_version).get<std::uint64_t>();
        digest.upstreamPosition = { root.at(upstream_era).get<std::uint64_t>(), root.at(upstream_revision).get<std::uint64_t>() };
        digest.recordsAge = decodeAge(root.at(records_age));
        const auto& memberList = root.at(members);
        for (std::size_t index = 0; index + valuesPerMember <= memberList.size(); index += valuesPerMember)
            digest.members.push_back({ memberList[index].get<std::string>(), memberList[index + 1].get<std::string>() });
        digest.slice = { root.at(slice_index).get<std::uint32_t>(), std::max(1U, root.at(slice_count).get<std::uint32_t>()) };
        const auto& loadList = root.at(loads);
        for (std::size_t index = 0; index + numbersPerLoad <= loadList.size(); index += numbersPerLoad)
            digest.loads.push_back({ loadList[index].get<std::uint32_t>(), loadList[index + 1].get<int>(), loadList[index + 2].get<int>(), loadList[index + 3].get<int>() });
        const auto& partList = root.at(cached_parts);
        for (std::size_t index = 0; index + numbersPerPart <= partList.size(); index += numbersPerPart)
            digest.cachedParts.push_back({ partList[index].get<std::uint32_t>(), partList[index + 1].get<std::uint64_t>(), partList[index + 2].get<int>() });
        digest.crashNews = { decodeCrashes(root.at(crashes)), decodeSuspects(root.at(answered_suspects)), decodeSuspects(root.at(refused_suspects)) };
        const auto& leavingList = root.at(leaving_upstreams);
        for (std::size_t index = 0; index + valuesPerLeavingUpstream <= leavingList.size(); index += valuesPerLeavingUpstream)
            digest.leavingUpstreams.push_back({ leavingList[index].get<std::string>(), leavingList[index + 1].get<std::int64_t>() });
        digest.limits = decodeLimits(root.at(limits));
        const auto& versionList = root.at(sole_versions);
        for (std::size_t index = 0; index + numbersPerSoleVersion <= versionList.size(); index += numbersPerSoleVersion)
            digest.soleVersions.push_back({ versionList[index].get<std::uint64_t>(), std::chrono::milliseconds(versionList[index + 1].get<std::int64_t>()) });
        digest.reservations = decodeReservations(root.at(reservations));
        if (root.size() > fleet)
            digest.fleet = decodeFleet(root.at(fleet));
        return digest;
    }

} // namespace

std::string encodeDigest(const router_digest& digest)
{
    json memberList = json::array();
    for (const auto& member : digest.members)
        memberList.insert(memberList.end(), { member.address, member.dataCentre });
    json loadList = json::array();
    for (const auto& load : digest.loads)
        loadList.insert(loadList.end(), { load.upstream, load.inFlight, load.streams, load.uncachedPromptTokens });
    json partList = json::array();
    for (const auto& part : digest.cachedParts)
        partList.insert(partList.end(), { part.upstream, part.part, part.tokens });
    json leavingList = json::array();
    for (const auto& upstream : digest.leavingUpstreams)
        leavingList.insert(leavingList.end(), { upstream.id, upstream.startedUnixMs });
    json versionList = json::array();
    for (const auto& [version, time] : digest.soleVersions)
        versionList.insert(versionList.end(), { version, time.count() });
    json root { formatVersion, digest.scope == digest_scope::data_centre, digest.instance, digest.dataCentre, digest.routers, digest.relayed, digest.incarnation, digest.sequence, digest.leaving, digest.storeEra,
        digest.configPosition.era, digest.configPosition.revision, encodeAge(digest.configAge), digest.configVersion, digest.upstreamPosition.era, digest.upstreamPosition.revision, encodeAge(digest.recordsAge), std::move(memberList), digest.slice.index, digest.slice.count, std::move(loadList), std::move(partList),
        encodeCrashes(digest.crashNews.crashes), encodeSuspects(digest.crashNews.answered), encodeSuspects(digest.crashNews.refused), std::move(leavingList), encodeLimits(digest.limits), std::move(versionList), encodeReservations(digest.reservations) };
    if (digest.fleet)
        root.push_back(encodeFleet(*digest.fleet));
    std::string bytes;
    json::to_cbor(root, bytes);
    return bytes;
}

result<router_digest> decodeDigest(const std::string& bytes)
{
    const auto root = isShallowCbor(bytes) ? json::from_cbor(bytes, true, false) : json();
    if (!root.is_array() || (root.size() != field_count && root.size() != field_count + 1) || root[version] != formatVersion)
        return error { "datagram of " + std::to_string(bytes.size()) + " bytes is not a router digest of version " + std::to_string(formatVersion) };
    try {
        auto digest = decode(root);
        if (!hasValidLimits(digest))
            return error { "router digest of '" + digest.instance + "' has a limit that is not a rate" };
        if (!hasValidFleet(digest))
            return error { "router digest of '" + digest.instance + "' has a time or an announcement out of range" };
        return digest;
    } catch (const json::exception& failure) {
        return error { std::string("router digest cannot be decoded: ") + failure.what() };
    }
}

} // namespace kumquat
