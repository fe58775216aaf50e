#include "drivers/json/publication_codec.h"

#include "drivers/cxxopts/ctl_command_line.h"
#include "processes/file_reader.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

std::string example()
{
    return std::get<std::string>(readFile(KUMQUAT_SOURCE_DIR "/examples/consortium.json"));
}

result<ctl_command_line> parse(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "kumquat-ctl");
    return parseCtlCommandLine(static_cast<int>(arguments.size()), arguments.data());
}

} // namespace

TEST_CASE("a publication composed from another publication has the new submission, history and last repair")
{
    const auto first = composePublication(example(), { { 9, "s9", "ama" }, { 10, "s10", "kofi" } });
    REQUIRE(errorOf(first) == nullptr);
    const auto second = composePublication(valueOf(first), { { 10, "s10", "kofi" }, { 11, "s11", "esi" } }, 10);
    const auto stored = parseStoredPublication(7, valueOf(second));
    REQUIRE(errorOf(stored) == nullptr);
    CHECK(valueOf(stored).storeVersion == 7);
    CHECK(valueOf(stored).latest.operatorName == "esi");
    CHECK(valueOf(stored).lastRepairGeneration == 10);
    REQUIRE(valueOf(stored).history.size() == 2);
    CHECK(valueOf(stored).history[0].id == "s10");
    CHECK(valueOf(stored).history[1].generation == 11);
    CHECK(baseGenerationOf(valueOf(second)) == 11);
    CHECK(valueOf(compareDocuments(valueOf(first), valueOf(second))).empty());
}

TEST_CASE("the history is sorted by the numeric value of the generation")
{
    std::vector<submission> history;
    for (std::uint64_t generation = 8; generation < 12; ++generation)
        history.push_back({ generation, "s" + std::to_string(generation), "ama" });
    const auto stored = parseStoredPublication(1, valueOf(composePublication(example(), history)));
    CHECK(valueOf(stored).history.front().generation == 8);
    CHECK(valueOf(stored).history.back().generation == 11);
}

TEST_CASE("documents and dumps that cannot be parsed are errors")
{
    CHECK(errorOf(composePublication("{", { { 1, "s", "o" } })) != nullptr);
    CHECK(errorOf(parseStoredPublication(1, "[")) != nullptr);
    CHECK(errorOf(parseStoredPublication(1, R"({"history":{"x":{}}})")) != nullptr);
    CHECK(errorOf(compareDocuments("{}", example())) != nullptr);
    CHECK(errorOf(parseNodeVersion("n", "{}")) != nullptr);
    CHECK_FALSE(baseGenerationOf("[]"));
}

TEST_CASE("kumquat-ctl parses its commands and names an invalid one in the error")
{
    const auto publish = parse({ "publish", "file.json", "--as", "ama", "--base", "4", "--node", "a:1", "--node", "b:2", "--json" });
    REQUIRE(errorOf(publish) == nullptr);
    const auto& command = std::get<publish_command>(valueOf(publish).command);
    CHECK(command.file == "file.json");
    CHECK(command.baseGeneration == 4);
    CHECK(valueOf(publish).nodes.size() == 2);
    CHECK(valueOf(publish).json);
    CHECK_THAT(errorOf(parse({ "publsh", "x" }))->message, Catch::Contains("'publsh'"));
    CHECK_THAT(errorOf(parse({ "diff" }))->message, Catch::Contains("'diff' takes 1"));
    CHECK_THAT(errorOf(parse({ "status", "--colour" }))->message, Catch::Contains("colour"));
    CHECK(errorOf(parse({})) != nullptr);
    CHECK(errorOf(parse({ "publish", "f", "--base", "-1" })) != nullptr);
}
