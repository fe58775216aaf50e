#pragma once

#include "core/result.h"
#include "drivers/openssl/message_authenticator.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace kumquat {

// Exchanges authenticated messages with peer processes: this process has one NNG PULL socket that listens and one PUSH
// socket for each peer. A message that cannot be queued immediately is dropped; the protocol above recovers from losses.
class peer_links {
public:
    using receiver = std::function<void(std::string bytes)>;

    struct options {
        // Address to listen on, such as "tcp://127.0.0.1:19000".
        std::string address;
        // Incoming messages larger than this are discarded.
        std::size_t maxMessageBytes = 0;
        // Shared by all processes of the system; an empty key disables authentication.
        std::string networkKey;
    };

    // Starts to listen. The receiver is called on a thread that this object owns. Returns an error if the address cannot be
    // bound.
    static result<std::unique_ptr<peer_links>> open(const options&, receiver);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    // Queues a message to the peer at this address without blocking, connecting to it at the first message. Must be called
    // from one thread only. Returns false if the message was dropped.
    bool send(const std::string& address, const std::string& bytes);
    // Outgoing messages that could not be queued.
    std::uint64_t droppedCount() const { return m_dropped; }
    // Incoming messages that failed authentication or were replays.
    std::uint64_t refusedCount() const { return m_refused; }

private:
    struct socket_handle;
    explicit peer_links(const options&);
    void receiveLoop(const receiver&);

    std::unique_ptr<socket_handle> m_listener;
    std::map<std::string, std::unique_ptr<socket_handle>> m_peerSockets;
    std::string m_address;
    // Authentication state of the sending thread and of the receiving thread.
    message_authenticator m_outgoingAuthenticator;
    message_authenticator m_incomingAuthenticator;
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::atomic<std::uint64_t> m_refused { 0 };
    std::thread m_thread;
};

} // namespace kumquat
