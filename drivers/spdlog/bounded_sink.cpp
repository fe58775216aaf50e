#include "drivers/spdlog/bounded_sink.h"

#include <chrono>
#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace kumquat {

namespace {

    constexpr std::size_t maxBufferedBytes = 262144;
    // Routine lines may fill only this much of the buffer, so that warnings and errors still fit.
    constexpr std::size_t maxRoutineBufferedBytes = maxBufferedBytes / 2;
    constexpr int maxRoutineLinesPerSecond = 600;
    constexpr int maxLinesPerSecond = 1200;

    class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
    public:
        std::uint64_t dropped() const { return m_dropped; }

        bool hasCapacity() const { return m_buffer.size() <= maxBufferedBytes; }
        // While exempt, lines are admitted regardless of the line rate, as long as the buffer has capacity.
        void setRateExempt(bool exempt) { m_rateExempt = exempt; }

        // Writes buffered bytes until the buffer is empty or standard output accepts no more.
        void writeBuffered()
        {
            while (!m_buffer.empty()) {
                const auto size = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
                if (size <= 0)
                    return;
                m_buffer.erase(0, static_cast<std::size_t>(size));
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
            m_buffer.append(line.data(), line.size());
        }

        void flush_() override { writeBuffered(); }

    private:
        // Counts the line towards the rate and returns whether the limits of rate and buffer size permit it.
        bool admits(bool routine, spdlog::log_clock::time_point time)
        {
            const auto second = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
            if (second != m_currentSecond) {
                m_currentSecond = second;
                m_linesInCurrentSecond = 0;
            }
            ++m_linesInCurrentSecond;
            return (m_rateExempt || m_linesInCurrentSecond <= (routine ? maxRoutineLinesPerSecond : maxLinesPerSecond))
                && m_buffer.size() <= (routine ? maxRoutineBufferedBytes : maxBufferedBytes);
        }

        bool m_rateExempt = false;
        std::string m_buffer;
        std::uint64_t m_dropped = 0;
        std::int64_t m_currentSecond = 0;
        int m_linesInCurrentSecond = 0;
    };

    std::shared_ptr<bounded_sink> activeSink;
    // How many dropped lines the log has already reported.
    std::uint64_t reportedDroppedLines = 0;

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
    activeSink->writeBuffered();
    if (activeSink->dropped() == reportedDroppedLines || !activeSink->hasCapacity())
        return;
    activeSink->setRateExempt(true);
    spdlog::warn("event=log_lines_dropped count={} total={}", activeSink->dropped() - reportedDroppedLines, activeSink->dropped());
    activeSink->setRateExempt(false);
    reportedDroppedLines = activeSink->dropped();
    activeSink->writeBuffered();
}

std::uint64_t droppedLogLines()
{
    return activeSink ? activeSink->dropped() : 0;
}

} // namespace kumquat
