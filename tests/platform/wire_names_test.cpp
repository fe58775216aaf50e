#include <catch2/catch.hpp>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace {

namespace fs = std::filesystem;

std::string contentOf(const fs::path& file)
{
    std::ifstream stream(file);
    return { std::istreambuf_iterator<char>(stream), {} };
}

// Whether a text contains a name as a whole word.
bool containsWord(const std::string& text, const std::string& word)
{
    for (auto position = text.find(word); position != std::string::npos; position = text.find(word, position + 1)) {
        const bool startsWord = position == 0 || std::isalnum(static_cast<unsigned char>(text[position - 1])) == 0;
        const auto end = position + word.size();
        if (startsWord && (end == text.size() || std::isalnum(static_cast<unsigned char>(text[end])) == 0))
            return true;
    }
    return false;
}

// Names of the platform's interface that mean nothing else, so that an occurrence is a use of the interface.
constexpr const char* wireNames[] = { "X-Attempt-Id", "X-Deadline-Ms", "X-Prompt-Prefix", "X-Response-Seal", "X-Tenant-Id", "X-Expect-Instance", "X-Not-Executed",
    "X-Token-Usage", "X-Request-Priority", "KUMQUATSPRING_SETTINGS", "PathPrefix", "TimeoutMs", "SloMs", "MaxAttempts", "ApiKeys", "ColdLeftMs", "HeartbeatMs",
    "RevokeMs", "RetrySlack", "InternalPorts", "NodeName", "KvCapacity", "HasMore", "DeletionPending", "/objects/servers", "non_idempotent", "Store-Era", "Server-Leaving" };

constexpr const char* productFolders[] = { "core", "servers", "drivers", "processes", "main" };

} // namespace

TEST_CASE("names of the platform's interface occur in platform/ only", "[platform]")
{
    for (const char* folder : productFolders) {
        for (const auto& item : fs::recursive_directory_iterator(fs::path(KUMQUAT_SOURCE_DIR) / folder)) {
            if (!item.is_regular_file())
                continue;
            const auto text = contentOf(item.path());
            for (const char* name : wireNames) {
                INFO(item.path().filename().string() << " contains " << name);
                CHECK_FALSE(containsWord(text, name));
            }
        }
    }
}

TEST_CASE("platform/ includes no headers of servers/, drivers/ or processes/", "[platform]")
{
    for (const auto& item : fs::recursive_directory_iterator(fs::path(KUMQUAT_SOURCE_DIR) / "platform")) {
        const auto text = contentOf(item.path());
        for (const char* folder : { "servers/", "drivers/", "processes/" }) {
            INFO(item.path().filename().string() << " includes from " << folder);
            CHECK(text.find(std::string("#include \"") + folder) == std::string::npos);
        }
    }
}
