#include "drivers/spdlog/bounded_sink.h"

#include <array>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <string>
#include <unistd.h>

using namespace kumquat;

namespace {

// Replaces standard output by a pipe that is read only when the test asks for it. The destructor restores standard output and
// the default logger.
class unread_output {
public:
    unread_output()
        : m_logger(spdlog::default_logger())
        , m_output(::dup(STDOUT_FILENO))
    {
        REQUIRE(::pipe(m_pipe.data()) == 0);
        ::dup2(m_pipe[1], STDOUT_FILENO);
        ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    }

    ~unread_output()
    {
        ::dup2(m_output, STDOUT_FILENO);
        for (const int descriptor : { m_pipe[0], m_pipe[1], m_output })
            ::close(descriptor);
        spdlog::set_default_logger(m_logger);
    }

    // Reads all bytes that are in the pipe.
    std::string readAvailable()
    {
        std::string received;
        std::array<char, 4096> buffer {};
        for (auto size = ::read(m_pipe[0], buffer.data(), buffer.size()); size > 0; size = ::read(m_pipe[0], buffer.data(), buffer.size()))
            received.append(buffer.data(), static_cast<std::size_t>(size));
        return received;
    }

private:
    std::shared_ptr<spdlog::logger> m_logger;
    int m_output;
    std::array<int, 2> m_pipe {};
};

} // namespace

TEST_CASE("a log whose output is not read never blocks, reports dropped lines and writes only complete lines", "[log]")
{
    std::string received;
    std::uint64_t dropped = 0;
    {
        unread_output output;
        openBoundedLog();
        const std::string text(200, 'x');
        for (int number = 0; number < 20000; ++number) {
            spdlog::info("event=routine number={} text={}", number, text);
            spdlog::warn("event=failure number={} text={}", number, text);
            if (number % 1000 == 0)
                flushBoundedLog();
        }
        dropped = droppedLogLines();
        for (int round = 0; round < 100; ++round) {
            flushBoundedLog();
            received += output.readAvailable();
        }
    }
    CHECK(dropped > 0);
    CHECK(received.find("event=log_lines_dropped count=") != std::string::npos);
    CHECK(received.ends_with('\n'));
    std::size_t lines = 0;
    std::size_t complete = 0;
    for (std::size_t lineStart = 0; lineStart < received.size(); lineStart = received.find('\n', lineStart) + 1, ++lines)
        complete += received.compare(lineStart, 5, "time=") == 0 ? 1 : 0;
    CHECK(lines == complete);
}
