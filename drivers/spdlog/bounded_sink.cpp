#include "drivers/spdlog/bounded_sink.h"

#include <chrono>
#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace kumquat {

namespace {

    constexpr std::size_t maxWaitingBytes = 262144;
    // Routine lines may fill only this much of the buffer, so that warnings and errors still fit.
    constexpr std::size_t maxRoutineWaitingBytes = maxWaitingBytes / 2;
    constexpr int maxRoutineLinesPerSecond = 600;
    constexpr int maxLinesPerSecond = 1200;

    class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
    public:
        std::uint64_t dropped() const { return m_dropped; }

        bool hasRoom() const { return m_waiting.size() <= maxWaitingBytes; }
        // While exempt, lines are admitted regardless of the line rate, as long as the buffer has capacity.
        void exemptFromRate(bool exempt) { m_exempt = exempt; }

        // Writes buffered bytes until the buffer is empty or standard output accepts no more.
        void drain()
        {
            while (!m_waiting.empty()) {
                const auto size = ::write(STDOUT_FILENO, m_waiting.data(), m_waiting.size());
                if (size <= 0)
                    return;
                m_waiting.erase(0, static_cast<std::size_t>(size));
            }
        }

    protected:
        void sink_it_(const spdlog::details::log_msg& message) override
        {
            const bool routine = message.level < spdlog::level::warn;
            if (!admits(routine, message.time)) {
                ++m_dropped;
                return;
            }
            spdlog::memory_buf_t line;
            formatter_->format(message, line);
            m_waiting.append(line.data(), line.size());
        }

        void flush_() override { drain(); }

    private:
        bool admits(bool routine, spdlog::log_clock::time_point at)
        {
            const auto second = std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
            if (second != m_second) {
                m_second = second;
                m_linesInSecond = 0;
            }
            ++m_linesInSecond;
            return (m_exempt || m_linesInSecond <= (routine ? maxRoutineLinesPerSecond : maxLinesPerSecond))
                && m_waiting.size() <= (routine ? maxRoutineWaitingBytes : maxWaitingBytes);
        }

        bool m_exempt = false;
        std::string m_waiting;
        std::uint64_t m_dropped = 0;
        std::int64_t m_second = 0;
        int m_linesInSecond = 0;
    };

    std::shared_ptr<bounded_sink> activeSink;
    // How many dropped lines the log has already reported.
    std::uint64_t reportedDrops = 0;

} // namespace

void openBoundedLog()
{
    const auto flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    activeSink = std::make_shared<bounded_sink>();
    auto logger = std::make_shared<spdlog::logger>("router", activeSink);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::off);
    spdlog::set_default_logger(logger);
}

void flushBoundedLog()
{
    if (!activeSink)
        return;
    activeSink->drain();
    if (activeSink->dropped() == reportedDrops || !activeSink->hasRoom())
        return;
    activeSink->exemptFromRate(true);
    spdlog::warn("event=log_lines_dropped count={} total={}", activeSink->dropped() - reportedDrops, activeSink->dropped());
    activeSink->exemptFromRate(false);
    reportedDrops = activeSink->dropped();
    activeSink->drain();
}

std::uint64_t droppedLogLines()
{
    return activeSink ? activeSink->dropped() : 0;
}

} // namespace kumquat
