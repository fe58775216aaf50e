#include "drivers/nng/peer_links.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace kumquat {

namespace {

    // Messages that wait for one peer; further messages are dropped until the peer accepts some.
    constexpr int sendQueueMessages = 256;
    constexpr nng_duration reconnectMinimumMs = 50;
    constexpr nng_duration reconnectMaximumMs = 1000;

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
    , m_outgoing(settings.networkKey)
    , m_incoming(settings.networkKey)
{
}

result<std::unique_ptr<peer_links>> peer_links::open(const options& settings, receiver onMessage)
{
    const auto& address = settings.address;
    std::unique_ptr<peer_links> links(new peer_links(settings));
    int failure = nng_pull0_open(&links->m_listener->socket);
    if (failure == 0)
        failure = nng_socket_set_size(links->m_listener->socket, NNG_OPT_RECVMAXSZ, settings.maximumBytes);
    if (failure == 0)
        failure = nng_listen(links->m_listener->socket, address.c_str(), nullptr, 0);
    if (failure != 0)
        return error { "cannot listen on peer address '" + address + "': " + nng_strerror(failure) };
    links->m_thread = std::thread([raw = links.get(), onMessage = std::move(onMessage)] { raw->receiveLoop(onMessage); });
    return links;
}

peer_links::~peer_links()
{
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
        auto opened = m_incoming.open(std::string_view(static_cast<const char*>(data), size), m_address);
        nng_free(data, size);
        if (errorOf(opened)) {
            m_refused++;
            continue;
        }
        onMessage(std::move(valueOf(opened)));
    }
}

bool peer_links::send(const std::string& address, const std::string& bytes)
{
    auto& peer = m_peers[address];
    if (!peer) {
        auto fresh = std::make_unique<socket_handle>();
        int failure = nng_push0_open(&fresh->socket);
        if (failure == 0) {
            nng_socket_set_int(fresh->socket, NNG_OPT_SENDBUF, sendQueueMessages);
            nng_socket_set_ms(fresh->socket, NNG_OPT_RECONNMINT, reconnectMinimumMs);
            nng_socket_set_ms(fresh->socket, NNG_OPT_RECONNMAXT, reconnectMaximumMs);
            failure = nng_dial(fresh->socket, address.c_str(), nullptr, NNG_FLAG_NONBLOCK);
        }
        if (failure != 0) {
            m_dropped++;
            return false;
        }
        peer = std::move(fresh);
    }
    std::string sealed = m_outgoing.seal(bytes, address);
    if (nng_send(peer->socket, sealed.data(), sealed.size(), NNG_FLAG_NONBLOCK) != 0) {
        m_dropped++;
        return false;
    }
    return true;
}

} // namespace kumquat
