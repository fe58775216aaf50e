#include "drivers/json/error_body.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace kumquat;
using nlohmann::json;

TEST_CASE("the body of an error is valid JSON when its message has quotes and bytes that are not UTF-8", "[http]")
{
    const caller_error failure { error_code::unknown_service, "no route for 'h/a\"b\\c\xff'", ran_state::no, std::nullopt };
    const auto body = json::parse(formatErrorBody("id-1", failure), nullptr, false);
    REQUIRE_FALSE(body.is_discarded());
    CHECK(body["error"]["code"] == "unknown_service");
    CHECK(body["error"]["ran"] == "no");
    CHECK(body["error"]["request_id"] == "id-1");
    CHECK(body["error"]["message"].get<std::string>().starts_with("no route for 'h/a\"b\\c"));
}
