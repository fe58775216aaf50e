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

// Whether a name stands in a text as a word of its own.
bool holdsWord(const std::string& text, const std::string& word)
{
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        const bool startsWord = at == 0 || std::isalnum(static_cast<unsigned char>(text[at - 1])) == 0;
        const auto end = at + word.size();
        if (startsWord && (end == text.size() || std::isalnum(static_cast<unsigned char>(text[end])) == 0))
            return true;
    }
    return false;
}

// Names of the platform's interface that have no other meaning.
constexpr const char* wireNames[] = { "X-Attempt-Id", "X-Deadline-Ms", "X-Prompt-Prefix", "X-Response-Seal", "X-Tenant-Id", "X-Expect-Instance", "X-Not-Executed",
    "X-Token-Usage", "X-Request-Priority", "KUMQUATSPRING_SETTINGS", "PathPrefix", "TimeoutMs", "SloMs", "MaxAttempts", "ApiKeys", "ColdLeftMs", "HeartbeatMs",
    "RevokeMs", "RetrySlack", "InternalPorts", "NodeName", "KvCapacity", "HasMore", "DeletionPending", "/objects/servers", "non_idempotent" };

constexpr const char* productFolders[] = { "core", "servers", "drivers", "processes", "main" };

} // namespace

TEST_CASE("no name of the platform's interface stands outside the adapter", "[platform]")
{
    for (const char* folder : productFolders) {
        for (const auto& item : fs::recursive_directory_iterator(fs::path(KUMQUAT_SOURCE_DIR) / folder)) {
            if (!item.is_regular_file())
                continue;
            const auto text = contentOf(item.path());
            for (const char* name : wireNames) {
                INFO(item.path().filename().string() << " holds " << name);
                CHECK_FALSE(holdsWord(text, name));
            }
        }
    }
}

TEST_CASE("the adapter includes nothing but values", "[platform]")
{
    for (const auto& item : fs::recursive_directory_iterator(fs::path(KUMQUAT_SOURCE_DIR) / "platform")) {
        const auto text = contentOf(item.path());
        for (const char* folder : { "servers/", "drivers/", "processes/" }) {
            INFO(item.path().filename().string() << " includes from " << folder);
            CHECK(text.find(std::string("#include \"") + folder) == std::string::npos);
        }
    }
}
