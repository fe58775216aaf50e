// A loopback proxy that harms connections by a seed: it delays, holds one or both directions, resets, and refuses. Bytes
// are never lost, changed or turned round within a connection; what is held is passed on later or dies with its connection.

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

constexpr auto holdCheckInterval = milliseconds(10);
constexpr auto longestQuiet = milliseconds(900);
constexpr auto longestFault = milliseconds(1600);
// Some links are cut for longer than keys may be trusted without the store.
constexpr auto longestCut = milliseconds(9000);
constexpr unsigned cutOneIn = 3;

using moment = std::chrono::steady_clock::time_point;

bool isBefore(moment end)
{
    return std::chrono::steady_clock::now() < end;
}
constexpr auto longestDelay = milliseconds(250);

// What a link does to the bytes and connections that pass it, and until when. Faults may overlap.
struct link_state {
    milliseconds delay { 0 };
    moment delayedUntil;
    // Towards the target, and back.
    std::array<moment, 2> heldUntil {};
    moment refusesUntil;
    // Connections older than this generation are silent for good, while new ones work.
    int silentBefore = 0;
    int resetBefore = 0;
    int generation = 0;
};

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
    bool isReset() const { return m_generation < m_link->resetBefore; }
    bool isHeld(int from) const { return isBefore(m_link->heldUntil[from]) || m_generation < m_link->silentBefore; }

    void read(int from)
    {
        m_sockets[from].async_read_some(asio::buffer(m_buffers[from]), [self = shared_from_this(), from](asio::error_code failure, std::size_t size) {
            if (failure && failure != asio::error::eof)
                return self->reset();
            self->pass(from, size, isBefore(self->m_link->delayedUntil) ? self->m_link->delay : milliseconds(0));
        });
    }

    // Passes bytes on after a delay and once nothing holds them. No bytes are the end of the direction.
    void pass(int from, std::size_t size, milliseconds delay)
    {
        if (isReset())
            return reset();
        if (delay > milliseconds(0) || isHeld(from)) {
            m_timers[from].expires_after(std::max(delay, holdCheckInterval));
            m_timers[from].async_wait([self = shared_from_this(), from, size](asio::error_code) { self->pass(from, size, milliseconds(0)); });
            return;
        }
        asio::error_code ignored;
        if (size == 0) {
            m_sockets[1 - from].shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(m_sockets[1 - from], asio::buffer(m_buffers[from].data(), size), [self = shared_from_this(), from](asio::error_code failure, std::size_t) {
            if (failure)
                return self->reset();
            self->read(from);
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

// Listens for one target.
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
            if (!failure && !isBefore(m_state->refusesUntil)) {
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

// Draws faults for links, one after the other, so that several may last at the same time.
class fault_schedule {
public:
    fault_schedule(asio::io_context& context, std::vector<std::unique_ptr<proxied_link>>& links, unsigned seed)
        : m_timer(context)
        , m_links(links)
        , m_random(seed)
    {
        wait();
    }

private:
    milliseconds draw(milliseconds longest) { return milliseconds(1 + static_cast<int>(m_random() % static_cast<unsigned>(longest.count()))); }

    void wait()
    {
        m_timer.expires_after(draw(longestQuiet));
        m_timer.async_wait([this](asio::error_code) {
            harm(m_links[m_random() % m_links.size()]->state());
            wait();
        });
    }

    void harm(link_state& link)
    {
        const auto end = std::chrono::steady_clock::now() + draw(longestFault);
        const auto cutEnd = m_random() % cutOneIn == 0 ? end + draw(longestCut) : end;
        switch (m_random() % 6) {
        case 0:
            link.delay = draw(longestDelay);
            link.delayedUntil = end;
            break;
        case 1:
            link.heldUntil[m_random() % 2] = cutEnd;
            break;
        case 2:
            link.heldUntil = { cutEnd, cutEnd };
            break;
        case 3:
            link.refusesUntil = end;
            break;
        case 4:
            link.resetBefore = link.generation + 1;
            break;
        case 5:
            link.silentBefore = link.generation + 1;
            break;
        }
    }

    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<proxied_link>>& m_links;
    std::mt19937 m_random;
};

} // namespace

// Arguments: seed, then a listening port and a target port for each link. Seed 0 draws no fault.
int main(int argumentCount, char** arguments)
{
    if (argumentCount < 4 || argumentCount % 2 != 0) {
        std::cerr << "usage: stand-in-fault-proxy SEED (PORT TARGET_PORT)...\n";
        return 2;
    }
    asio::io_context context;
    std::vector<std::unique_ptr<proxied_link>> links;
    for (int at = 2; at + 1 < argumentCount; at += 2)
        links.push_back(std::make_unique<proxied_link>(context, static_cast<unsigned short>(std::atoi(arguments[at])), static_cast<unsigned short>(std::atoi(arguments[at + 1]))));
    const auto seed = static_cast<unsigned>(std::atoi(arguments[1]));
    std::unique_ptr<fault_schedule> faults;
    if (seed != 0)
        faults = std::make_unique<fault_schedule>(context, links, seed);
    context.run();
}
