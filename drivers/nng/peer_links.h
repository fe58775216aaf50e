#pragma once

#include "core/result.h"

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

    // Listens at an address such as "tcp://127.0.0.1:19000". The receiver is called on a thread of this object.
    static result<std::unique_ptr<peer_links>> open(const std::string& address, std::size_t maximumBytes, receiver);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    // Sends without waiting. Called from one thread only. Returns false when the message was dropped.
    bool send(const std::string& address, const std::string& bytes);
    std::uint64_t droppedCount() const { return m_dropped; }

private:
    struct socket_handle;
    peer_links();
    void receiveLoop(const receiver&);

    std::unique_ptr<socket_handle> m_listener;
    std::map<std::string, std::unique_ptr<socket_handle>> m_peers;
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::thread m_thread;
};

} // namespace kumquat
