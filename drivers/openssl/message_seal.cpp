#include "drivers/openssl/message_seal.h"

#include "drivers/openssl/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace kumquat {

namespace {

    constexpr std::size_t numberBytes = 8;
    constexpr std::size_t headerBytes = 2 * numberBytes;
    constexpr std::size_t codeBytes = 32;
    // How far a message may lag behind the newest one of its session. A window holds one bit for each counter.
    constexpr std::uint64_t windowWidth = 64;
    // When there are more sessions, the window of the one whose last message is the oldest is evicted.
    constexpr std::size_t maximumSessions = 4096;

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

message_seal::message_seal(std::string networkKey)
    : m_key(std::move(networkKey))
    , m_session(drawIncarnation())
{
}

std::string message_seal::seal(std::string_view payload, const std::string& receiverAddress)
{
    if (m_key.empty())
        return std::string(payload);
    std::string bytes;
    bytes.reserve(headerBytes + payload.size() + codeBytes);
    appendNumber(bytes, m_session);
    appendNumber(bytes, ++m_counters[receiverAddress]);
    bytes += payload;
    bytes += codeFor(bytes, receiverAddress);
    return bytes;
}

result<std::string> message_seal::open(std::string_view sealed, const std::string& ownAddress)
{
    if (m_key.empty())
        return std::string(sealed);
    if (sealed.size() < headerBytes + codeBytes)
        return error { "message of " + std::to_string(sealed.size()) + " bytes is too short to contain an authentication tag" };
    const auto signedPart = sealed.substr(0, sealed.size() - codeBytes);
    const auto code = sealed.substr(signedPart.size());
    if (CRYPTO_memcmp(codeFor(signedPart, ownAddress).data(), code.data(), codeBytes) != 0)
        return error { "authentication tag of a message does not match the network key and the receiver's address" };
    const auto counter = readNumber(signedPart.substr(numberBytes));
    if (!acceptCounter(readNumber(signedPart), counter))
        return error { "message " + std::to_string(counter) + " of its session is a replay or older than the replay window" };
    return std::string(signedPart.substr(headerBytes));
}

std::string message_seal::codeFor(std::string_view bytes, const std::string& receiverAddress) const
{
    // The length of the address follows it at a fixed size, so that two different pairs of message and address never give
    // the same input to the HMAC.
    std::string covered(bytes);
    covered += receiverAddress;
    appendNumber(covered, receiverAddress.size());
    unsigned char code[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()), reinterpret_cast<const unsigned char*>(covered.data()), covered.size(), code, &size);
    return { reinterpret_cast<const char*>(code), size };
}

bool message_seal::acceptCounter(std::uint64_t session, std::uint64_t counter)
{
    auto& window = windowOf(session);
    if (counter > window.highest) {
        const auto shift = counter - window.highest;
        window.seen = shift >= windowWidth ? 0 : window.seen << shift;
        window.seen |= 1;
        window.highest = counter;
        return true;
    }
    const auto distance = window.highest - counter;
    if (distance >= windowWidth)
        return false;
    const auto bit = std::uint64_t { 1 } << distance;
    if (window.seen & bit)
        return false;
    window.seen |= bit;
    return true;
}

message_seal::replay_window& message_seal::windowOf(std::uint64_t session)
{
    const auto found = m_windows.find(session);
    if (found != m_windows.end()) {
        m_ages.splice(m_ages.begin(), m_ages, found->second.age);
        return found->second;
    }
    if (m_windows.size() >= maximumSessions) {
        m_windows.erase(m_ages.back());
        m_ages.pop_back();
    }
    m_ages.push_front(session);
    auto& window = m_windows[session];
    window.age = m_ages.begin();
    return window;
}

} // namespace kumquat
