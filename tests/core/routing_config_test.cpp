#include "core/routing_config.h"

#include <catch2/catch.hpp>

using namespace kumquat;

TEST_CASE("a path matches the longest prefix of its host, also one that ends where the path does or far before", "[routing]")
{
    routing_config config;
    for (const auto* prefix : { "/", "/a/", "/a/b/", "//" }) {
        route item;
        item.name = prefix;
        item.host = "h";
        item.pathPrefix = prefix;
        config.addRoute(item);
    }
    const auto nameOf = [&](const std::string& path) { return config.match("h", path)->name; };
    CHECK(nameOf("/") == "/");
    CHECK(nameOf("/a") == "/");
    CHECK(nameOf("/a/") == "/a/");
    CHECK(nameOf("/a/b") == "/a/");
    CHECK(nameOf("/a/b/") == "/a/b/");
    CHECK(nameOf("/a/b/c/d/e") == "/a/b/");
    CHECK(nameOf("/abcdefgh/") == "/");
    CHECK(nameOf(std::string(16000, '/')) == "//");
    CHECK(config.match("other", std::string(16000, '/')) == nullptr);
    CHECK(config.match("h", "a") == nullptr);
    CHECK(routing_config().match("h", "/a/") == nullptr);
}
