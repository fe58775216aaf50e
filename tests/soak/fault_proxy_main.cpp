// A loopback TCP proxy that injects network faults, determined by a seed: it delays bytes, blocks one or both directions,
// resets connections and refuses new ones. Within a connection it never drops, changes or reorders bytes: blocked bytes are
// forwarded later or are discarded together with their connection. Silences of the first links come on request.

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto blockCheckInterval = milliseconds(10);
constexpr auto maxFaultInterval = milliseconds(900);
constexpr auto maxFaultDuration = milliseconds(1600);
// One in extendedBlockOneIn blocks lasts longer by up to this time, so that a router is cut off from the store for longer
// than it may accept API keys without reading the store.
constexpr auto maxBlockExtension = milliseconds(9000);
constexpr unsigned extendedBlockOneIn = 3;

using time_point = std::chrono::steady_clock::time_point;

bool isInFuture(time_point time)
{
    return std::chrono::steady_clock::now() < time;
}
constexpr auto maxDelay = milliseconds(250);

// The faults that are in effect on a link, and when they end. Faults may overlap.
struct link_state {
    milliseconds delay { 0 };
    time_point delayedUntil;
    // End of the block of each direction: towards the target, and back to the caller.
    std::array<time_point, 2> blockedUntil {};
    time_point refusesUntil;
    // Connections of a smaller generation forward no bytes until they are closed, while newer connections work.
    int silentBeforeGeneration = 0;
    // Connections of a smaller generation are reset.
    int resetBeforeGeneration = 0;
    // Generation of the newest connection.
    int generation = 0;
};

// A connection from a caller and the connection to the target that belongs to it. Socket 0 is the caller's, socket 1 the
// target's.
class proxied_connection : public std::enable_shared_from_this<proxied_connection> {
public:
    proxied_connection(tcp::socket caller, std::shared_ptr<link_state> link)
        : m_executor(caller.get_executor())
        , m_sockets { std::move(caller), tcp::socket(m_executor) }
        , m_timers { asio::steady_timer(m_executor), asio::steady_timer(m_executor) }
        , m_link(std::move(link))
        , m_generation(m_link->generation)
    {
    }

    void start(const tcp::endpoint& target)
    {
        m_sockets[1].async_connect(target, [self = shared_from_this()](asio::error_code failure) {
            if (failure)
                return self->reset();
            self->read(0);
            self->read(1);
        });
    }

private:
    bool isReset() const { return m_generation < m_link->resetBeforeGeneration; }
    bool isBlocked(int source) const { return isInFuture(m_link->blockedUntil[source]) || m_generation < m_link->silentBeforeGeneration; }

    void read(int source)
    {
        m_sockets[source].async_read_some(asio::buffer(m_buffers[source]), [self = shared_from_this(), source](asio::error_code failure, std::size_t size) {
            if (failure && failure != asio::error::eof)
                return self->reset();
            self->forward(source, size, isInFuture(self->m_link->delayedUntil) ? self->m_link->delay : milliseconds(0));
        });
    }

    // Forwards the bytes after the delay, as soon as the direction is not blocked. A size of 0 means that the sender has
    // closed this direction.
    void forward(int source, std::size_t size, milliseconds delay)
    {
        if (isReset())
            return reset();
        if (delay > milliseconds(0) || isBlocked(source)) {
            m_timers[source].expires_after(std::max(delay, blockCheckInterval));
            m_timers[source].async_wait([self = shared_from_this(), source, size](asio::error_code) { self->forward(source, size, milliseconds(0)); });
            return;
        }
        asio::error_code ignored;
        if (size == 0) {
            m_sockets[1 - source].shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(m_sockets[1 - source], asio::buffer(m_buffers[source].data(), size), [self = shared_from_this(), source](asio::error_code failure, std::size_t) {
            if (failure)
                return self->reset();
            self->read(source);
        });
    }

    void reset()
    {
        for (auto& socket : m_sockets) {
            asio::error_code ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        }
    }

    tcp::socket::executor_type m_executor;
    std::array<tcp::socket, 2> m_sockets;
    std::array<asio::steady_timer, 2> m_timers;
    std::array<std::array<char, 16384>, 2> m_buffers;
    std::shared_ptr<link_state> m_link;
    int m_generation;
};

// Accepts connections at one port and proxies them to one target.
class proxied_link {
public:
    proxied_link(asio::io_context& context, unsigned short port, unsigned short target)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), port))
        , m_target(asio::ip::address_v4::loopback(), target)
        , m_state(std::make_shared<link_state>())
    {
        accept();
    }

    link_state& state() { return *m_state; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](asio::error_code failure, tcp::socket caller) {
            if (!failure && !isInFuture(m_state->refusesUntil)) {
                ++m_state->generation;
                std::make_shared<proxied_connection>(std::move(caller), m_state)->start(m_target);
            }
            accept();
        });
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    std::shared_ptr<link_state> m_state;
};

// Injects random faults into random links. A new fault may begin before the previous ones have ended.
class fault_schedule {
public:
    // With a duration of 0, faults never end.
    fault_schedule(asio::io_context& context, std::vector<std::unique_ptr<proxied_link>>& links, unsigned seed, std::chrono::seconds duration)
        : m_timer(context)
        , m_endTimer(context)
        , m_links(links)
        , m_random(seed)
    {
        scheduleNextFault();
        if (duration.count() == 0)
            return;
        m_endTimer.expires_after(duration);
        m_endTimer.async_wait([this](asio::error_code) { endFaults(); });
    }

private:
    // Restores all links. Silent connections are reset.
    void endFaults()
    {
        m_hasEnded = true;
        for (auto& link : m_links) {
            auto& state = link->state();
            const auto silentBeforeGeneration = state.silentBeforeGeneration;
            const auto resetBeforeGeneration = state.resetBeforeGeneration;
            state = { .resetBeforeGeneration = std::max(silentBeforeGeneration, resetBeforeGeneration), .generation = state.generation };
        }
    }

    milliseconds randomDuration(milliseconds maxDuration) { return milliseconds(1 + static_cast<int>(m_random() % static_cast<unsigned>(maxDuration.count()))); }

    void scheduleNextFault()
    {
        m_timer.expires_after(randomDuration(maxFaultInterval));
        m_timer.async_wait([this](asio::error_code) {
            if (m_hasEnded)
                return;
            injectFault(m_links[m_random() % m_links.size()]->state());
            scheduleNextFault();
        });
    }

    void injectFault(link_state& link)
    {
        const auto end = std::chrono::steady_clock::now() + randomDuration(maxFaultDuration);
        const auto blockEnd = m_random() % extendedBlockOneIn == 0 ? end + randomDuration(maxBlockExtension) : end;
        switch (m_random() % 6) {
        case 0:
            link.delay = randomDuration(maxDelay);
            link.delayedUntil = end;
            break;
        case 1:
            link.blockedUntil[m_random() % 2] = blockEnd;
            break;
        case 2:
            link.blockedUntil = { blockEnd, blockEnd };
            break;
        case 3:
            link.refusesUntil = end;
            break;
        case 4:
            link.resetBeforeGeneration = link.generation + 1;
            break;
        case 5:
            link.silentBeforeGeneration = link.generation + 1;
            break;
        }
    }

    asio::steady_timer m_timer;
    asio::steady_timer m_endTimer;
    bool m_hasEnded = false;
    std::vector<std::unique_ptr<proxied_link>>& m_links;
    std::mt19937 m_random;
};

// Silences the first links when a datagram asks for it, which has a time in milliseconds as text. Bytes that meet the silence are lost
// with their connections: these stay silent after it, until they are closed, while new connections work.
class silence_control {
public:
    silence_control(asio::io_context& context, std::vector<std::unique_ptr<proxied_link>>& links, std::size_t silencedLinks, unsigned short port)
        : m_socket(context, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), port))
        , m_timer(context)
        , m_links(links)
        , m_silencedLinks(std::min(silencedLinks, links.size()))
    {
        receive();
    }

private:
    void receive()
    {
        m_socket.async_receive(asio::buffer(m_buffer), [this](asio::error_code failure, std::size_t size) {
            if (!failure)
                silence(milliseconds(std::atoi(std::string(m_buffer.data(), size).c_str())));
            receive();
        });
    }

    void silence(milliseconds span)
    {
        // Blocked bytes are forwarded only after the end of the silence, when their connections are already silent.
        const auto blockedUntil = std::chrono::steady_clock::now() + span + 2 * blockCheckInterval;
        for (std::size_t index = 0; index < m_silencedLinks; ++index)
            m_links[index]->state().blockedUntil = { blockedUntil, blockedUntil };
        m_timer.expires_after(span);
        m_timer.async_wait([this](asio::error_code failure) {
            if (!failure)
                end();
        });
    }

    void end()
    {
        for (std::size_t index = 0; index < m_silencedLinks; ++index) {
            auto& state = m_links[index]->state();
            state.silentBeforeGeneration = state.generation + 1;
            state.blockedUntil = {};
        }
    }

    asio::ip::udp::socket m_socket;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<proxied_link>>& m_links;
    std::size_t m_silencedLinks;
    std::array<char, 32> m_buffer {};
};

} // namespace

// Arguments: seed, seconds of faults (0 if they never end), UDP port and number of the links that can be silenced, then a listening
// port and a target port for each link. With seed 0 no fault is injected at random.
int main(int argumentCount, char** arguments)
{
    if (argumentCount < 7 || argumentCount % 2 == 0) {
        std::cerr << "usage: soak-fault-proxy SEED SECONDS SILENCE_PORT SILENCED_LINKS (PORT TARGET_PORT)...\n";
        return 2;
    }
    asio::io_context context;
    std::vector<std::unique_ptr<proxied_link>> links;
    for (int index = 5; index + 1 < argumentCount; index += 2)
        links.push_back(std::make_unique<proxied_link>(context, static_cast<unsigned short>(std::atoi(arguments[index])), static_cast<unsigned short>(std::atoi(arguments[index + 1]))));
    const auto seed = static_cast<unsigned>(std::atoi(arguments[1]));
    silence_control silences(context, links, static_cast<std::size_t>(std::atoi(arguments[4])), static_cast<unsigned short>(std::atoi(arguments[3])));
    std::unique_ptr<fault_schedule> faults;
    if (seed != 0)
        faults = std::make_unique<fault_schedule>(context, links, seed, std::chrono::seconds(std::atoi(arguments[2])));
    context.run();
}
