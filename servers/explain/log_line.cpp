#include "servers/explain/log_line.h"

#include <algorithm>
#include <charconv>

namespace kumquat {

namespace {

    constexpr std::string_view timeKey = "time=";

    // Parses exactly `length` digits at a position.
    std::optional<int> numberAt(std::string_view text, std::size_t position, std::size_t length)
    {
        int value = 0;
        if (position + length > text.size())
            return std::nullopt;
        const auto* begin = text.data() + position;
        const auto parsed = std::from_chars(begin, begin + length, value);
        if (parsed.ec != std::errc() || parsed.ptr != begin + length)
            return std::nullopt;
        return value;
    }

    // Parses a time such as 2026-01-31T12:34:56.789Z.
    std::optional<std::chrono::sys_time<std::chrono::milliseconds>> parseTime(std::string_view text)
    {
        const auto year = numberAt(text, 0, 4);
        const auto month = numberAt(text, 5, 2);
        const auto day = numberAt(text, 8, 2);
        const auto hour = numberAt(text, 11, 2);
        const auto minute = numberAt(text, 14, 2);
        const auto second = numberAt(text, 17, 2);
        const auto millisecond = numberAt(text, 20, 3);
        if (!year || !month || !day || !hour || !minute || !second || !millisecond)
            return std::nullopt;
        const std::chrono::year_month_day date { std::chrono::year(*year), std::chrono::month(static_cast<unsigned>(*month)), std::chrono::day(static_cast<unsigned>(*day)) };
        if (!date.ok())
            return std::nullopt;
        return std::chrono::sys_days(date) + std::chrono::hours(*hour) + std::chrono::minutes(*minute) + std::chrono::seconds(*second) + std::chrono::milliseconds(*millisecond);
    }

    // Removes one value, quoted or plain, and the character after it from the front of a text. Returns the value without
    // its quotation marks and escapes.
    std::string takeValue(std::string_view& text)
    {
        std::string value;
        const bool quoted = text.starts_with('"');
        std::size_t position = quoted ? 1 : 0;
        for (; position < text.size() && text[position] != (quoted ? '"' : ' '); ++position) {
            if (quoted && text[position] == '\\' && position + 1 < text.size())
                ++position;
            value += text[position];
        }
        text.remove_prefix(std::min(text.size(), position + 1));
        return value;
    }

} // namespace

const std::string* log_line::find(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const auto& field) { return field.first == name; });
    return found == fields.end() ? nullptr : &found->second;
}

std::optional<log_line> parseLogLine(std::string_view line, const std::string& sourceName)
{
    const auto begin = line.find(timeKey);
    if (begin == std::string_view::npos)
        return std::nullopt;
    const auto time = parseTime(line.substr(begin + timeKey.size()));
    if (!time)
        return std::nullopt;
    log_line parsed;
    parsed.time = *time;
    parsed.text = line.substr(begin);
    auto before = line.substr(0, begin);
    while (before.ends_with(' '))
        before.remove_suffix(1);
    parsed.source = before.empty() ? sourceName : std::string(before.substr(before.rfind(' ') + 1));
    for (auto rest = line.substr(begin); !rest.empty();) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        auto value = takeValue(rest);
        while (rest.starts_with(' '))
            rest.remove_prefix(1);
        if (key == "event")
            parsed.event = std::move(value);
        else
            parsed.fields.emplace_back(std::move(key), std::move(value));
    }
    if (parsed.event.empty())
        return std::nullopt;
    return parsed;
}

} // namespace kumquat
