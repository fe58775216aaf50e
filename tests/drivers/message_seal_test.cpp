#include "drivers/openssl/message_seal.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

const std::string key = "0123456789abcdef0123456789abcdef";
const std::string address = "tcp://127.0.0.1:1";

bool isAccepted(message_seal& receiver, const std::string& sealed, const std::string& at = address)
{
    return errorOf(receiver.open(sealed, at)) == nullptr;
}

} // namespace

TEST_CASE("an authenticated message is accepted unchanged once and refused when replayed")
{
    message_seal sender(key);
    message_seal receiver(key);
    const auto sealed = sender.seal("hello", address);
    const auto opened = receiver.open(sealed, address);
    REQUIRE(errorOf(opened) == nullptr);
    CHECK(valueOf(opened) == "hello");
    CHECK_FALSE(isAccepted(receiver, sealed));
}

TEST_CASE("messages out of order are accepted within the replay window and refused behind it")
{
    message_seal sender(key);
    message_seal receiver(key);
    std::vector<std::string> sealed;
    sealed.reserve(70);
    for (int index = 0; index < 70; ++index)
        sealed.push_back(sender.seal("x", address));
    CHECK(isAccepted(receiver, sealed[69]));
    CHECK(isAccepted(receiver, sealed[60]));
    CHECK_FALSE(isAccepted(receiver, sealed[60]));
    CHECK_FALSE(isAccepted(receiver, sealed[5]));
}

TEST_CASE("a message with another key, to another address, modified or truncated is refused")
{
    message_seal sender(key);
    message_seal receiver(key);
    message_seal stranger("fedcba9876543210fedcba9876543210");
    const auto sealed = sender.seal("hello", address);
    CHECK_FALSE(isAccepted(stranger, sealed));
    CHECK_FALSE(isAccepted(receiver, sealed, "tcp://127.0.0.1:2"));
    for (std::size_t index = 0; index < sealed.size(); ++index) {
        auto changed = sealed;
        changed[index] = static_cast<char>(changed[index] ^ 1);
        CHECK_FALSE(isAccepted(receiver, changed));
        CHECK_FALSE(isAccepted(receiver, sealed.substr(0, index)));
    }
    CHECK(isAccepted(receiver, sealed));
}
