#include "servers/entry/classifier.h"

#include "tests/support/sample_document.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

caller_request chatRequest()
{
    caller_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.keyDigest = "key-osu";
    request.completion = completion_summary { .model = "kasa-8b" };
    return request;
}

error_code codeFor(const caller_request& request)
{
    return std::get<caller_error>(classify(*kumquat_test::sampleDocument(), request)).code;
}

} // namespace

TEST_CASE("classifier finds organisation, service and class")
{
    const auto document = kumquat_test::sampleDocument();
    const auto outcome = classify(*document, chatRequest());
    const auto& found = std::get<classification>(outcome);
    CHECK(found.caller->name == "osu");
    CHECK(found.target->name == "kasa");
    CHECK(found.requestClass->name == "summary");
}

TEST_CASE("classifier takes the class from the header when it is present")
{
    auto request = chatRequest();
    request.className = "digest";
    const auto document = kumquat_test::sampleDocument();
    CHECK(std::get<classification>(classify(*document, request)).requestClass->name == "digest");
}

TEST_CASE("classifier strips the service from the path of a plain call")
{
    caller_request request;
    request.keyDigest = "key-ridge";
    request.path = "/services/dwumadie/passes?gate=1";
    const auto document = kumquat_test::sampleDocument();
    const auto outcome = classify(*document, request);
    CHECK(std::get<classification>(outcome).upstreamPath == "/passes?gate=1");
    CHECK(std::get<classification>(outcome).requestClass->name == "pass");
}

TEST_CASE("classifier returns the error code of the invalid part of a request")
{
    auto request = chatRequest();
    SECTION("missing key")
    {
        request.keyDigest.clear();
        CHECK(codeFor(request) == error_code::unauthenticated);
    }
    SECTION("unknown key")
    {
        request.keyDigest = "key-nobody";
        CHECK(codeFor(request) == error_code::unauthenticated);
    }
    SECTION("unknown model")
    {
        request.completion = completion_summary { .model = "other" };
        CHECK(codeFor(request) == error_code::unknown_model);
    }
    SECTION("malformed body")
    {
        request.completion = error { "bad" };
        CHECK(codeFor(request) == error_code::malformed_request);
    }
    SECTION("unknown class")
    {
        request.className = "other";
        CHECK(codeFor(request) == error_code::unknown_class);
    }
    SECTION("engine service in the path of a plain call")
    {
        request.path = "/services/kasa/x";
        CHECK(codeFor(request) == error_code::unknown_service);
    }
}
