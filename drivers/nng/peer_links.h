#pragma once

#include "core/result.h"
#include "drivers/openssl/message_seal.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace kumquat {

// Carries messages between processes: one PULL listener of this process and one PUSH socket per peer. A message that
// cannot be queued at once is dropped; the protocol above repairs losses.
class peer_links {
public:
    using receiver = std::function<void(std::string bytes)>;

    struct options {
        // Address to listen at, such as "tcp://127.0.0.1:19000".
        std::string address;
        std::size_t maximumBytes = 0;
        // Shared by all processes of the system; empty switches authentication off.
        std::string networkKey;
    };

    // Starts listening. The receiver is called on a thread of this object.
    static result<std::unique_ptr<peer_links>> open(const options&, receiver);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    // Sends without waiting. Called from one thread only. Returns false when the message was dropped.
    bool send(const std::string& address, const std::string& bytes);
    std::uint64_t droppedCount() const { return m_dropped; }
    // Messages that were not authenticated or arrived twice.
    std::uint64_t refusedCount() const { return m_refused; }

private:
    struct socket_handle;
    explicit peer_links(const options&);
    void receiveLoop(const receiver&);

    std::unique_ptr<socket_handle> m_listener;
    std::map<std::string, std::unique_ptr<socket_handle>> m_peers;
    std::string m_address;
    message_seal m_outgoing;
    message_seal m_incoming;
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::atomic<std::uint64_t> m_refused { 0 };
    std::thread m_thread;
};

} // namespace kumquat
