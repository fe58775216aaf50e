#include "drivers/cbor/cbor_structure.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace kumquat;
using nlohmann::json;

namespace {

using generator = std::mt19937_64;

json drawValue(generator& random, int depth)
{
    switch (random() % (depth == 0 ? 6 : 8)) {
    case 0:
        return random() >> random() % 64;
    case 1:
        return -static_cast<std::int64_t>(random() >> (1 + random() % 63));
    case 2:
        return std::string(random() % 300, 'x');
    case 3:
        return static_cast<double>(random()) / 3;
    case 4:
        return random() % 2 == 0;
    case 5:
        return {};
    case 6: {
        json list = json::array();
        for (auto count = random() % 30; count > 0; --count)
            list.push_back(drawValue(random, depth - 1));
        return list;
    }
    default: {
        json object = json::object();
        for (auto count = random() % 4; count > 0; --count)
            object[std::to_string(random() % 100)] = drawValue(random, depth - 1);
        return object;
    }
    }
}

std::string encoded(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

} // namespace

TEST_CASE("encoded values are accepted, and refused when they are cut short or go on", "[cbor]")
{
    for (int seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        generator random(seed);
        const auto bytes = encoded(drawValue(random, 3));
        CHECK(isShallowCbor(bytes));
        CHECK_FALSE(isShallowCbor(bytes + '\0'));
        CHECK_FALSE(isShallowCbor(bytes.substr(0, random() % bytes.size())));
    }
}

TEST_CASE("a value nested sixteen levels deep is accepted and a deeper one is not", "[cbor]")
{
    CHECK(isShallowCbor(std::string(16, '\x81') + '\x01'));
    CHECK_FALSE(isShallowCbor(std::string(17, '\x81') + '\x01'));
    CHECK_FALSE(isShallowCbor(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));
    CHECK_FALSE(isShallowCbor(std::string("\xbb\x80\x00\x00\x00\x00\x00\x00\x00", 9)));
}
