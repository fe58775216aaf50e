#include "drivers/spdlog/event_log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace kumquat {

namespace {

    spdlog::level::level_enum spdlogLevel(log_level level)
    {
        switch (level) {
        case log_level::debug:
            return spdlog::level::debug;
        case log_level::info:
            return spdlog::level::info;
        case log_level::warning:
            return spdlog::level::warn;
        case log_level::error:
            break;
        }
        return spdlog::level::err;
    }

    // Whether a value can be written without quotes.
    bool isPlain(const std::string& value)
    {
        for (const unsigned char character : value) {
            if (character <= ' ' || character == '"' || character == '=' || character == '\\' || character == 0x7f)
                return false;
        }
        return !value.empty();
    }

    // Returns the value in quotes, with backslashes before quotes and backslashes. A newline becomes \n; any other control
    // character becomes a question mark.
    std::string quoted(const std::string& value)
    {
        std::string text = "\"";
        for (const unsigned char character : value) {
            if (character == '"' || character == '\\')
                text += '\\';
            if (character == '\n')
                text += "\\n";
            else if (character < ' ' || character == 0x7f)
                text += '?';
            else
                text += static_cast<char>(character);
        }
        return text + "\"";
    }

} // namespace

void openLog(const std::string& program, log_level level)
{
    auto logger = spdlog::stderr_logger_mt(program);
    logger->set_level(spdlogLevel(level));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l program=%n %v", spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

std::string formatFields(const log_event& event)
{
    std::string line = "event=" + event.name;
    for (const auto& [key, value] : event.fields)
        line += " " + key + "=" + (isPlain(value) ? value : quoted(value));
    return line;
}

void writeLog(const log_event& event)
{
    const auto level = spdlogLevel(event.level);
    if (spdlog::should_log(level))
        spdlog::log(level, "{}", formatFields(event));
}

} // namespace kumquat
