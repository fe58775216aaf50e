#include "drivers/nng/peer_links.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace kumquat {

namespace {

    // Messages that wait for one peer; further messages are dropped until the peer accepts some.
    constexpr int sendQueueMessages = 256;
    constexpr nng_duration minReconnectMs = 50;
    constexpr nng_duration maxReconnectMs = 1000;

} // namespace

struct peer_links::socket_handle {
    nng_socket socket = NNG_SOCKET_INITIALIZER;

    socket_handle() = default;
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;
    ~socket_handle()
    {
        if (nng_socket_id(socket) > 0)
            nng_close(socket);
    }
};

peer_links::peer_links(const options& settings)
    : m_listener(std::make_unique<socket_handle>())
    , m_address(settings.address)
    , m_outgoingAuthenticator(settings.networkKey)
    , m_incomingAuthenticator(settings.networkKey)
{
}

result<std::unique_ptr<peer_links>> peer_links::open(const options& settings, receiver onMessage)
{
    const auto& address = settings.address;
    std::unique_ptr<peer_links> links(new peer_links(settings));
    int failure = nng_pull0_open(&links->m_listener->socket);
    if (failure == 0)
        failure = nng_socket_set_size(links->m_listener->socket, NNG_OPT_RECVMAXSZ, settings.maxMessageBytes);
    if (failure == 0)
        failure = nng_listen(links->m_listener->socket, address.c_str(), nullptr, 0);
    if (failure != 0)
        return error { "cannot listen on peer address '" + address + "': " + nng_strerror(failure) };
    links->m_thread = std::thread([self = links.get(), onMessage = std::move(onMessage)] { self->receiveLoop(onMessage); });
    return links;
}

peer_links::~peer_links()
{
    // Closing the listener's socket ends receiveLoop().
    m_listener.reset();
    if (m_thread.joinable())
        m_thread.join();
}

void peer_links::receiveLoop(const receiver& onMessage)
{
    const nng_socket socket = m_listener->socket;
    while (true) {
        void* data = nullptr;
        std::size_t size = 0;
        const int failure = nng_recv(socket, &data, &size, NNG_FLAG_ALLOC);
        if (failure == NNG_ECLOSED)
            return;
        if (failure != 0)
            continue;
        auto verified = m_incomingAuthenticator.verify(std::string_view(static_cast<const char*>(data), size), m_address);
        nng_free(data, size);
        if (errorOf(verified)) {
            m_refused++;
            continue;
        }
        onMessage(std::move(valueOf(verified)));
    }
}

bool peer_links::send(const std::string& address, const std::string& bytes)
{
    auto& peerSocket = m_peerSockets[address];
    if (!peerSocket) {
        auto added = std::make_unique<socket_handle>();
        int failure = nng_push0_open(&added->socket);
        if (failure == 0) {
            nng_socket_set_int(added->socket, NNG_OPT_SENDBUF, sendQueueMessages);
            nng_socket_set_ms(added->socket, NNG_OPT_RECONNMINT, minReconnectMs);
            nng_socket_set_ms(added->socket, NNG_OPT_RECONNMAXT, maxReconnectMs);
            failure = nng_dial(added->socket, address.c_str(), nullptr, NNG_FLAG_NONBLOCK);
        }
        if (failure != 0) {
            m_dropped++;
            return false;
        }
        peerSocket = std::move(added);
    }
    std::string message = m_outgoingAuthenticator.sign(bytes, address);
    if (nng_send(peerSocket->socket, message.data(), message.size(), NNG_FLAG_NONBLOCK) != 0) {
        m_dropped++;
        return false;
    }
    return true;
}

} // namespace kumquat
