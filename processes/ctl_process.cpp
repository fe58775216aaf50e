#include "processes/ctl_process.h"

#include "core/overloaded.h"
#include "drivers/cxxopts/ctl_command_line.h"
#include "drivers/http/admin_client.h"
#include "drivers/json/document_text.h"
#include "drivers/json/operator_report.h"
#include "drivers/json/settings_codec.h"
#include "processes/file_reader.h"
#include "processes/fleet_client.h"
#include "servers/explain/request_timeline.h"

#include <iostream>
#include <sstream>

namespace kumquat {

namespace {

    constexpr int exitSuccess = 0;
    constexpr int exitRefused = 1;
    constexpr int exitUsage = 2;
    constexpr int exitUnknown = 3;

    int fail(const error& failure, int code)
    {
        std::cerr << failure.message << "\n";
        return code;
    }

    result<object_api_address> parseAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        const auto digits = colon == std::string::npos ? "" : text.substr(colon + 1);
        const bool isNumber = !digits.empty() && digits.size() <= 5 && digits.find_first_not_of("0123456789") == std::string::npos;
        if (!isNumber || colon == 0)
            return error { "kumquat-ctl: '" + text + "' is not an address of the form HOST:PORT" };
        return object_api_address { text.substr(0, colon), std::stoi(digits) };
    }

    result<operator_settings> loadSettings(const ctl_command_line& line)
    {
        operator_settings settings;
        if (!line.settingsFile.empty()) {
            const auto text = readFile(line.settingsFile);
            if (const auto* failure = errorOf(text))
                return *failure;
            auto parsed = parseOperatorSettings("settings '" + line.settingsFile + "'", valueOf(text));
            if (const auto* failure = errorOf(parsed))
                return *failure;
            settings = std::move(valueOf(parsed));
        }
        if (!line.objectApi.empty()) {
            const auto address = parseAddress(line.objectApi);
            if (const auto* failure = errorOf(address))
                return *failure;
            settings.objectApi = valueOf(address);
        }
        if (!line.nodes.empty())
            settings.nodes = line.nodes;
        for (const auto& node : settings.nodes) {
            const auto address = parseAddress(node);
            if (const auto* failure = errorOf(address))
                return *failure;
        }
        return settings;
    }

    class ctl_process {
    public:
        ctl_process(operator_settings settings, bool json)
            : m_settings(std::move(settings))
            , m_json(json)
        {
        }

        int run(const show_command&) const;
        int run(const validate_command&) const;
        int run(const diff_command&) const;
        int run(const publish_command&) const;
        int run(const status_command&) const;
        int run(const dump_command&) const;
        static int explainFromLogs(const explain_command&);
        int run(const explain_command&) const;

    private:
        bool hasStore() const { return !m_settings.objectApi.host.empty(); }

        operator_settings m_settings;
        bool m_json;
    };

    const error missingStoreError { "kumquat-ctl: the address of the object API is missing; use --object-api HOST:PORT or --settings FILE" };
    const error missingNodesError { "kumquat-ctl: no node address is given; use --node HOST:PORT or --settings FILE" };

    // Reads a document file and returns its text if the document is valid.
    result<std::string> readDocumentFile(const std::string& path)
    {
        auto text = readFile(path);
        if (errorOf(text))
            return text;
        const auto opened = openPublishedDocument("document '" + path + "'", valueOf(text));
        if (const auto* failure = errorOf(opened))
            return *failure;
        return text;
    }

    int ctl_process::run(const show_command& command) const
    {
        std::cout << command.text;
        return exitSuccess;
    }

    int ctl_process::run(const validate_command& command) const
    {
        const auto text = readDocumentFile(command.file);
        const auto* failure = errorOf(text);
        (failure && !m_json ? std::cerr : std::cout) << formatValidity(failure ? failure->message : "", m_json);
        return failure ? exitRefused : exitSuccess;
    }

    int ctl_process::run(const diff_command& command) const
    {
        if (!hasStore())
            return fail(missingStoreError, exitUsage);
        const auto text = readDocumentFile(command.file);
        if (const auto* failure = errorOf(text))
            return fail(*failure, exitRefused);
        const auto inForce = fleet_client(m_settings).readDocument();
        if (const auto* failure = errorOf(inForce))
            return fail(*failure, exitUnknown);
        if (valueOf(inForce).version == 0)
            return fail({ "the store does not contain a document yet" }, exitRefused);
        const auto changes = compareDocuments(valueOf(inForce).value, valueOf(text));
        if (const auto* failure = errorOf(changes))
            return fail(*failure, exitRefused);
        std::cout << formatChanges(valueOf(changes), m_json);
        return exitSuccess;
    }

    int exitCodeOf(const publication_outcome& outcome)
    {
        const auto visitor = overloaded {
            [](const publication_accepted& item) { return item.nodesInForce == 0 && !item.supersededOnNode.empty() ? exitRefused : exitSuccess; },
            [](const publication_conflict&) { return exitRefused; },
            [](const publication_not_sent&) { return exitRefused; },
            [](const publication_unknown&) { return exitUnknown; },
        };
        return std::visit(visitor, outcome);
    }

    int ctl_process::run(const publish_command& command) const
    {
        if (!hasStore())
            return fail(missingStoreError, exitUsage);
        const auto name = command.operatorName.empty() ? m_settings.operatorName : command.operatorName;
        if (name.empty())
            return fail({ "kumquat-ctl: the name of the operator is missing; use --as NAME" }, exitUsage);
        const auto text = readDocumentFile(command.file);
        if (const auto* failure = errorOf(text))
            return fail(*failure, exitRefused);
        const auto base = command.baseGeneration ? command.baseGeneration : baseGenerationOf(valueOf(text));
        const auto outcome = fleet_client(m_settings).publish(valueOf(text), name, base);
        std::cout << formatOutcome(outcome, m_json);
        return exitCodeOf(outcome);
    }

    int ctl_process::run(const status_command&) const
    {
        if (!hasStore() && m_settings.nodes.empty())
            return fail(missingNodesError, exitUsage);
        const fleet_client fleet(m_settings);
        fleet_status status;
        status.storeProblem = "not queried";
        if (hasStore()) {
            const auto object = fleet.readDocument();
            const auto parsed = errorOf(object) ? result<stored_publication>(*errorOf(object)) : parseStoredPublication(valueOf(object).version, valueOf(object).version ? valueOf(object).value : "{\"generation\":0}");
            status.storeProblem = errorOf(parsed) ? errorOf(parsed)->message : "";
            if (!errorOf(parsed)) {
                status.storedGeneration = valueOf(parsed).latest.generation;
                status.storedOperator = valueOf(parsed).latest.operatorName;
            }
        }
        status.nodes = fleet.askNodes();
        std::cout << formatStatus(status, m_json);
        return status.nodes.unreachable > 0 || (hasStore() && !status.storeProblem.empty()) ? exitUnknown : exitSuccess;
    }

    int ctl_process::run(const dump_command& command) const
    {
        const auto address = parseAddress(command.address);
        if (const auto* failure = errorOf(address))
            return fail(*failure, exitUsage);
        const auto answer = fetchFromNodes({ command.address }, "/dump").front();
        if (const auto* failure = errorOf(answer))
            return fail(*failure, exitUnknown);
        std::cout << valueOf(answer) << "\n";
        return exitSuccess;
    }

    int ctl_process::explainFromLogs(const explain_command& command)
    {
        std::vector<log_line> lines;
        for (const auto& file : command.logFiles) {
            const auto text = readFile(file);
            if (const auto* failure = errorOf(text))
                return fail(*failure, exitUsage);
            std::istringstream stream(valueOf(text));
            for (std::string logLine; std::getline(stream, logLine);) {
                if (auto line = parseLogLine(logLine, file))
                    lines.push_back(std::move(*line));
            }
        }
        const auto timeline = buildRequestTimeline(command.requestId, lines);
        if (!timeline.found())
            return fail({ "no line in " + std::to_string(command.logFiles.size()) + " log files belongs to request '" + command.requestId + "'" }, exitRefused);
        std::cout << formatRequestTimeline(command.requestId, timeline);
        return timeline.missing.empty() ? exitSuccess : exitUnknown;
    }

    int ctl_process::run(const explain_command& command) const
    {
        if (!command.logFiles.empty())
            return explainFromLogs(command);
        if (m_settings.nodes.empty())
            return fail(missingNodesError, exitUsage);
        std::vector<std::string> lines;
        std::size_t unreadableNodes = 0;
        for (const auto& answer : fetchFromNodes(m_settings.nodes, "/dump")) {
            const auto requestLines = errorOf(answer) ? result<std::vector<std::string>>(*errorOf(answer)) : findRequestRecords(command.requestId, valueOf(answer));
            if (const auto* failure = errorOf(requestLines)) {
                std::cerr << failure->message << "\n";
                unreadableNodes++;
                continue;
            }
            lines.insert(lines.end(), valueOf(requestLines).begin(), valueOf(requestLines).end());
        }
        std::cout << formatRequestLines(lines, m_json);
        if (!lines.empty())
            return exitSuccess;
        std::cerr << "no node that answered has a record of request '" << command.requestId << "'\n";
        return unreadableNodes > 0 ? exitUnknown : exitRefused;
    }

} // namespace

int runCtl(int argumentCount, const char* const* arguments)
{
    const auto parsed = parseCtlCommandLine(argumentCount, arguments);
    if (const auto* failure = errorOf(parsed))
        return fail(*failure, exitUsage);
    const auto& line = valueOf(parsed);
    auto settings = loadSettings(line);
    if (const auto* failure = errorOf(settings))
        return fail(*failure, exitUsage);
    const ctl_process process(std::move(valueOf(settings)), line.json);
    return std::visit([&](const auto& command) { return process.run(command); }, line.command);
}

} // namespace kumquat
