#include "drivers/json/settings_codec.h"

#include "drivers/json/embedded_schemas.h"
#include "drivers/json/schema_check.h"

namespace kumquat {

namespace {

    using nlohmann::json;

    constexpr std::string_view loopbackPrefix = "tcp://127.";

    listen_address readListen(const json& from)
    {
        return { .host = from.value("host", "127.0.0.1"), .port = from.at("port") };
    }

    log_level readLevel(const std::string& name)
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
        settings.admin = readListen(root.at("admin"));
        settings.logLevel = readLevel(root.value("log_level", "info"));
        settings.documentFile = root.value("document_file", "");
        settings.networkKey = root.value("network_key", "");
        if (root.contains("object_api")) {
            const auto address = readListen(root.at("object_api"));
            settings.objectApi = { address.host, address.port };
        }
        return settings;
    }

    void readMilliseconds(const json& root, const char* name, std::chrono::milliseconds& value)
    {
        value = std::chrono::milliseconds(root.value(name, value.count()));
    }

    // Without a key anybody who reaches the listener can give orders, so that is for the loopback interface only.
    std::optional<error> checkNetworkKey(const std::string& source, const std::string& peerAddress, const common_settings& settings)
    {
        if (!settings.networkKey.empty() || peerAddress.starts_with(loopbackPrefix))
            return std::nullopt;
        return error { source + ": at /network_key: a key of at least 32 characters is needed, since peer address '" + peerAddress + "' is not on the loopback interface" };
    }

    std::optional<error> checkSources(const std::string& source, const common_settings& settings)
    {
        if (settings.documentFile.empty() && settings.objectApi.host.empty())
            return error { source + ": at /: one of 'object_api' and 'document_file' is needed" };
        return std::nullopt;
    }

} // namespace

result<entry_settings> parseEntrySettings(const std::string& source, const std::string& text)
{
    const auto parsed = parseChecked(source, text, entrySettingsSchema);
    if (const auto* failure = errorOf(parsed))
        return *failure;
    const auto& root = valueOf(parsed);
    entry_settings settings;
    settings.common = readCommon(root);
    if (const auto failure = checkSources(source, settings.common))
        return *failure;
    settings.callers = readListen(root.at("callers"));
    settings.bodyLimitBytes = root.value("body_limit_bytes", settings.bodyLimitBytes);
    settings.callerThreads = root.value("caller_threads", settings.callerThreads);
    auto& options = settings.options;
    options.id = root.at("id");
    options.address = root.at("peer_address");
    if (const auto failure = checkNetworkKey(source, options.address, settings.common))
        return *failure;
    options.dataCentre = root.at("data_centre");
    options.resendLimit = root.value("resend_limit", options.resendLimit);
    options.maximumAttempts = root.value("maximum_attempts", options.maximumAttempts);
    readMilliseconds(root, "request_timeout_ms", options.requestTimeout);
    readMilliseconds(root, "subscribe_interval_ms", options.subscribeInterval);
    readMilliseconds(root, "report_timeout_ms", options.reportTimeout);
    readMilliseconds(root, "resend_interval_ms", options.resendInterval);
    readMilliseconds(root, "drain_grace_ms", options.drainGrace);
    readMilliseconds(root, "drain_limit_ms", options.drainLimit);
    for (const auto& item : root.value("upstreams", json::array())) {
        settings.upstreams.push_back({ .id = item.at("id"),
            .role = "sidecar",
            .service = item.at("service"),
            .dataCentre = item.value("data_centre", options.dataCentre),
            .address = item.at("peer_address") });
    }
    return settings;
}

result<sidecar_settings> parseSidecarSettings(const std::string& source, const std::string& text)
{
    const auto parsed = parseChecked(source, text, sidecarSettingsSchema);
    if (const auto* failure = errorOf(parsed))
        return *failure;
    const auto& root = valueOf(parsed);
    sidecar_settings settings;
    settings.common = readCommon(root);
    if (const auto failure = checkSources(source, settings.common))
        return *failure;
    settings.bodyLimitBytes = root.value("body_limit_bytes", settings.bodyLimitBytes);
    const auto& upstream = root.at("upstream");
    settings.upstream = readListen(upstream);
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
    readMilliseconds(root, "starvation_limit_ms", options.starvationLimit);
    readMilliseconds(root, "longest_pause_ms", options.longestPause);
    readMilliseconds(root, "suspicion_time_ms", options.suspicionTime);
    readMilliseconds(root, "refusal_time_ms", options.refusalTime);
    options.preemptionLimit = root.value("preemption_limit", options.preemptionLimit);
    readMilliseconds(root, "drain_limit_ms", options.drainLimit);
    return settings;
}

} // namespace kumquat
