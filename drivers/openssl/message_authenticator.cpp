#include "drivers/openssl/message_authenticator.h"

#include "drivers/openssl/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace kumquat {

namespace {

    constexpr std::size_t numberBytes = 8;
    constexpr std::size_t headerBytes = 2 * numberBytes;
    constexpr std::size_t tagBytes = 32;
    // How far a message may lag behind the newest one of its session. A window holds one bit for each counter.
    constexpr std::uint64_t windowCounters = 64;
    // When there are more sessions, the window of the one whose last message is the oldest is evicted.
    constexpr std::size_t maxSessions = 4096;

    void appendNumber(std::string& bytes, std::uint64_t number)
    {
        for (std::size_t index = 0; index < numberBytes; ++index)
            bytes += static_cast<char>((number >> (8 * index)) & 0xff);
    }

    std::uint64_t readNumber(std::string_view bytes)
    {
        std::uint64_t number = 0;
        for (std::size_t index = 0; index < numberBytes; ++index)
            number |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
        return number;
    }

} // namespace

message_authenticator::message_authenticator(std::string networkKey)
    : m_networkKey(std::move(networkKey))
    , m_session(randomNonZero())
{
}

std::string message_authenticator::sign(std::string_view payload, const std::string& receiverAddress)
{
    if (m_networkKey.empty())
        return std::string(payload);
    std::string bytes;
    bytes.reserve(headerBytes + payload.size() + tagBytes);
    appendNumber(bytes, m_session);
    appendNumber(bytes, ++m_lastCounters[receiverAddress]);
    bytes += payload;
    bytes += computeTag(bytes, receiverAddress);
    return bytes;
}

result<std::string> message_authenticator::verify(std::string_view message, const std::string& ownAddress)
{
    if (m_networkKey.empty())
        return std::string(message);
    if (message.size() < headerBytes + tagBytes)
        return error { "message of " + std::to_string(message.size()) + " bytes is too short to contain an authentication tag" };
    const auto taggedBytes = message.substr(0, message.size() - tagBytes);
    const auto tag = message.substr(taggedBytes.size());
    if (CRYPTO_memcmp(computeTag(taggedBytes, ownAddress).data(), tag.data(), tagBytes) != 0)
        return error { "authentication tag of a message does not match the network key and the receiver's address" };
    const auto counter = readNumber(taggedBytes.substr(numberBytes));
    if (!acceptCounter(readNumber(taggedBytes), counter))
        return error { "message " + std::to_string(counter) + " of its session is a replay or older than the replay window" };
    return std::string(taggedBytes.substr(headerBytes));
}

std::string message_authenticator::computeTag(std::string_view bytes, const std::string& receiverAddress) const
{
    // The length of the address follows it at a fixed size, so that two different pairs of message and address never give
    // the same input to the HMAC.
    std::string macInput(bytes);
    macInput += receiverAddress;
    appendNumber(macInput, receiverAddress.size());
    unsigned char tag[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), m_networkKey.data(), static_cast<int>(m_networkKey.size()), reinterpret_cast<const unsigned char*>(macInput.data()), macInput.size(), tag, &size);
    return { reinterpret_cast<const char*>(tag), size };
}

bool message_authenticator::acceptCounter(std::uint64_t session, std::uint64_t counter)
{
    auto& window = findOrAddWindow(session);
    if (counter > window.highestCounter) {
        const auto shift = counter - window.highestCounter;
        window.acceptedCounters = shift >= windowCounters ? 0 : window.acceptedCounters << shift;
        window.acceptedCounters |= 1;
        window.highestCounter = counter;
        return true;
    }
    const auto lag = window.highestCounter - counter;
    if (lag >= windowCounters)
        return false;
    const auto bit = std::uint64_t { 1 } << lag;
    if (window.acceptedCounters & bit)
        return false;
    window.acceptedCounters |= bit;
    return true;
}

message_authenticator::replay_window& message_authenticator::findOrAddWindow(std::uint64_t session)
{
    const auto found = m_replayWindows.find(session);
    if (found != m_replayWindows.end()) {
        m_recentSessions.splice(m_recentSessions.begin(), m_recentSessions, found->second.recency);
        return found->second;
    }
    if (m_replayWindows.size() >= maxSessions) {
        m_replayWindows.erase(m_recentSessions.back());
        m_recentSessions.pop_back();
    }
    m_recentSessions.push_front(session);
    auto& window = m_replayWindows[session];
    window.recency = m_recentSessions.begin();
    return window;
}

} // namespace kumquat
