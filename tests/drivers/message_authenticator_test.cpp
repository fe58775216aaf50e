#include "drivers/openssl/message_authenticator.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

const std::string key = "0123456789abcdef0123456789abcdef";
const std::string address = "tcp://127.0.0.1:1";

bool isAccepted(message_authenticator& receiver, const std::string& message, const std::string& receiverAddress = address)
{
    return errorOf(receiver.verify(message, receiverAddress)) == nullptr;
}

} // namespace

TEST_CASE("an authenticated message is accepted unchanged once and refused when replayed")
{
    message_authenticator sender(key);
    message_authenticator receiver(key);
    const auto message = sender.sign("hello", address);
    const auto verified = receiver.verify(message, address);
    REQUIRE(errorOf(verified) == nullptr);
    CHECK(valueOf(verified) == "hello");
    CHECK_FALSE(isAccepted(receiver, message));
}

TEST_CASE("messages out of order are accepted within the replay window and refused behind it")
{
    message_authenticator sender(key);
    message_authenticator receiver(key);
    std::vector<std::string> messages;
    messages.reserve(70);
    for (int index = 0; index < 70; ++index)
        messages.push_back(sender.sign("x", address));
    CHECK(isAccepted(receiver, messages[69]));
    CHECK(isAccepted(receiver, messages[60]));
    CHECK_FALSE(isAccepted(receiver, messages[60]));
    CHECK_FALSE(isAccepted(receiver, messages[5]));
}

TEST_CASE("a message with another key, to another address, modified or truncated is refused")
{
    message_authenticator sender(key);
    message_authenticator receiver(key);
    message_authenticator receiverWithOtherKey("fedcba9876543210fedcba9876543210");
    const auto message = sender.sign("hello", address);
    CHECK_FALSE(isAccepted(receiverWithOtherKey, message));
    CHECK_FALSE(isAccepted(receiver, message, "tcp://127.0.0.1:2"));
    for (std::size_t index = 0; index < message.size(); ++index) {
        auto changed = message;
        changed[index] = static_cast<char>(changed[index] ^ 1);
        CHECK_FALSE(isAccepted(receiver, changed));
        CHECK_FALSE(isAccepted(receiver, message.substr(0, index)));
    }
    CHECK(isAccepted(receiver, message));
}
