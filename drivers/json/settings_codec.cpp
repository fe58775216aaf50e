#include "drivers/json/settings_codec.h"

#include "drivers/json/embedded_schemas.h"
#include "drivers/json/schema_check.h"

#include <algorithm>

namespace kumquat {

namespace {

    using nlohmann::json;

    constexpr std::string_view loopbackPrefix = "tcp://127.";

    listen_address readListenAddress(const json& from)
    {
        return { .host = from.value("host", "127.0.0.1"), .port = from.at("port") };
    }

    // Returns an empty address when the settings name no object API.
    object_api_address readObjectApi(const json& root)
    {
        if (!root.contains("object_api"))
            return {};
        const auto address = readListenAddress(root.at("object_api"));
        return { address.host, address.port };
    }

    log_level readLogLevel(const std::string& name)
    {
        if (name == "debug")
            return log_level::debug;
        if (name == "warning")
            return log_level::warning;
        if (name == "error")
            return log_level::error;
        return log_level::info;
    }

    common_settings readCommon(const json& root)
    {
        common_settings settings;
        settings.admin = readListenAddress(root.at("admin"));
        settings.logLevel = readLogLevel(root.value("log_level", "info"));
        settings.documentFile = root.value("document_file", "");
        settings.networkKey = root.value("network_key", "");
        settings.objectApi = readObjectApi(root);
        return settings;
    }

    // Leaves the value unchanged if the setting is absent.
    void readMilliseconds(const json& root, const char* name, std::chrono::milliseconds& value)
    {
        value = std::chrono::milliseconds(root.value(name, value.count()));
    }

    void readClaims(const json& root, claim_options& claims)
    {
        claims.shards = root.value("shards", claims.shards);
        claims.answerLimitBytes = root.value("answer_limit_bytes", claims.answerLimitBytes);
        readMilliseconds(root, "timeout_ms", claims.claimTimeout);
        readMilliseconds(root, "commit_interval_ms", claims.commitInterval);
        readMilliseconds(root, "store_retry_interval_ms", claims.storeRetryInterval);
        readMilliseconds(root, "query_timeout_ms", claims.queryTimeout);
        readMilliseconds(root, "retention_ms", claims.retention);
    }

    // An idempotency key that is removed while its request may still be running would allow the request to run twice.
    std::optional<error> checkRetention(const std::string& source, const entry_options& options)
    {
        const auto minRetention = 4 * std::max(options.requestTimeout, options.claims.claimTimeout);
        if (options.claims.retention >= minRetention)
            return std::nullopt;
        return error { source + ": at /claims/retention_ms: " + std::to_string(options.claims.retention.count()) + " is below four times the maximum lifetime of a request, " + std::to_string(minRetention.count()) };
    }

    // Without a network key anyone who can reach the peer listener can send commands, so that is allowed on the loopback
    // interface only.
    std::optional<error> checkNetworkKey(const std::string& source, const std::string& peerAddress, const common_settings& settings)
    {
        if (!settings.networkKey.empty() || peerAddress.starts_with(loopbackPrefix))
            return std::nullopt;
        return error { source + ": at /network_key: a key of at least 32 characters is required, since peer address '" + peerAddress + "' is not on the loopback interface" };
    }

    void readRoutingAndRetryOptions(const json& root, entry_options& options)
    {
        options.subset.linkLimit = root.value("link_limit", options.subset.linkLimit);
        options.subset.minSubsetSize = root.value("smallest_subset", options.subset.minSubsetSize);
        options.subset.minEntriesPerSidecar = root.value("entries_per_sidecar", options.subset.minEntriesPerSidecar);
        options.reportBytesPerSecond = root.value("report_bytes_per_second", options.reportBytesPerSecond);
        options.refusalLimit = root.value("refusal_limit", options.refusalLimit);
        options.retryBudget.retriesPerSuccess = root.value("retry_share", options.retryBudget.retriesPerSuccess);
        options.retryBudget.baseRetriesPerSecond = root.value("retry_floor_per_second", options.retryBudget.baseRetriesPerSecond);
        options.retryBudget.maxBalance = root.value("retry_burst", options.retryBudget.maxBalance);
        readMilliseconds(root, "withdraw_wait_ms", options.withdrawalTimeout);
        readMilliseconds(root, "retry_backoff_ms", options.retryBackoff.initialBackoff);
        readMilliseconds(root, "retry_backoff_limit_ms", options.retryBackoff.maxBackoff);
        readMilliseconds(root, "suspect_time_ms", options.suspects.suspectTime);
        readMilliseconds(root, "refusal_time_ms", options.suspects.refusalTime);
        readMilliseconds(root, "lease_time_ms", options.leaseTime);
    }

    std::optional<error> checkDocumentSource(const std::string& source, const common_settings& settings)
    {
        if (settings.documentFile.empty() && settings.objectApi.host.empty())
            return error { source + ": at /: either 'object_api' or 'document_file' is required" };
        return std::nullopt;
    }

} // namespace

result<entry_settings> parseEntrySettings(const std::string& source, const std::string& text)
{
    const auto parsed = parseAndValidate(source, text, entrySettingsSchema);
    if (const auto* failure = errorOf(parsed))
        return *failure;
    const auto& root = valueOf(parsed);
    entry_settings settings;
    settings.common = readCommon(root);
    if (const auto failure = checkDocumentSource(source, settings.common))
        return *failure;
    settings.callers = readListenAddress(root.at("callers"));
    settings.bodyLimitBytes = root.value("body_limit_bytes", settings.bodyLimitBytes);
    settings.callerThreads = root.value("caller_threads", settings.callerThreads);
    auto& options = settings.options;
    options.id = root.at("id");
    options.address = root.at("peer_address");
    if (const auto failure = checkNetworkKey(source, options.address, settings.common))
        return *failure;
    options.dataCentre = root.at("data_centre");
    readRoutingAndRetryOptions(root, options);
    options.resendLimit = root.value("resend_limit", options.resendLimit);
    options.maxFailedAttempts = root.value("maximum_attempts", options.maxFailedAttempts);
    readMilliseconds(root, "request_timeout_ms", options.requestTimeout);
    readMilliseconds(root, "subscribe_interval_ms", options.subscribeInterval);
    readMilliseconds(root, "report_timeout_ms", options.reportTimeout);
    readMilliseconds(root, "resend_interval_ms", options.resendInterval);
    readMilliseconds(root, "drain_grace_ms", options.drainGrace);
    options.documentPeers = root.value("document_peers", options.documentPeers);
    readMilliseconds(root, "drain_limit_ms", options.drainLimit);
    readClaims(root.value("claims", json::object()), options.claims);
    for (const auto& item : root.value("upstreams", json::array())) {
        settings.upstreams.push_back({ .id = item.at("id"),
            .role = "sidecar",
            .service = item.at("service"),
            .dataCentre = item.value("data_centre", options.dataCentre),
            .address = item.at("peer_address") });
    }
    if (const auto failure = checkRetention(source, options))
        return *failure;
    return settings;
}

result<sidecar_settings> parseSidecarSettings(const std::string& source, const std::string& text)
{
    const auto parsed = parseAndValidate(source, text, sidecarSettingsSchema);
    if (const auto* failure = errorOf(parsed))
        return *failure;
    const auto& root = valueOf(parsed);
    sidecar_settings settings;
    settings.common = readCommon(root);
    settings.bodyLimitBytes = root.value("body_limit_bytes", settings.bodyLimitBytes);
    const auto& upstream = root.at("upstream");
    settings.upstream = readListenAddress(upstream);
    auto& options = settings.options;
    options.id = root.at("id");
    options.address = root.at("peer_address");
    if (const auto failure = checkNetworkKey(source, options.address, settings.common))
        return *failure;
    options.dataCentre = root.at("data_centre");
    options.service = upstream.at("service");
    options.kind = upstream.at("kind") == "plain" ? service_kind::plain : service_kind::engine;
    options.slots = root.value("slots", options.slots);
    options.queueLimit = root.value("queue_limit", options.queueLimit);
    readMilliseconds(root, "report_interval_ms", options.reportInterval);
    readMilliseconds(root, "entry_timeout_ms", options.entryTimeout);
    readMilliseconds(root, "tombstone_retention_ms", options.tombstoneRetention);
    options.documentPeers = root.value("document_peers", options.documentPeers);
    readMilliseconds(root, "starvation_limit_ms", options.starvationLimit);
    readMilliseconds(root, "longest_pause_ms", options.maxStartInterval);
    readMilliseconds(root, "suspicion_time_ms", options.suspicionTime);
    readMilliseconds(root, "refusal_time_ms", options.refusalTime);
    options.preemptionLimit = root.value("preemption_limit", options.preemptionLimit);
    readMilliseconds(root, "drain_limit_ms", options.drainLimit);
    return settings;
}

result<operator_settings> parseOperatorSettings(const std::string& source, const std::string& text)
{
    const auto parsed = parseAndValidate(source, text, operatorSettingsSchema);
    if (const auto* failure = errorOf(parsed))
        return *failure;
    const auto& root = valueOf(parsed);
    operator_settings settings;
    settings.objectApi = readObjectApi(root);
    settings.nodes = root.value("nodes", settings.nodes);
    settings.operatorName = root.value("operator", "");
    return settings;
}

} // namespace kumquat
