#include "drivers/cxxopts/ctl_command_line.h"

#include <cxxopts.hpp>
#include <set>

namespace kumquat {

namespace {

    constexpr const char* positionalHelp = "COMMAND [ARGUMENT]";

    constexpr const char* commandHelp = R"(
Commands:
  validate FILE       check that a document is valid
  diff FILE           show how a document differs from the published one
  publish FILE        publish a document; needs --as or 'operator' in the settings
  status              show the document in the store and on every node
  dump HOST:PORT      print the state of one node
  explain REQUEST_ID  show what the nodes report about a request, or with --log what saved logs record
  completion bash     print a completion script

Exit codes: 0 done, 1 refused or in conflict, 2 wrong usage, 3 outcome unknown.
)";

    constexpr const char* bashCompletion = R"(_kumquat_ctl() {
    local word=${COMP_WORDS[COMP_CWORD]}
    local commands="validate diff publish status dump explain completion"
    local options="--settings --object-api --node --as --base --log --json --help --version"
    case ${COMP_WORDS[COMP_CWORD-1]} in
        validate|diff|publish|--settings|--log) COMPREPLY=($(compgen -f -- "$word")) ;;
        completion) COMPREPLY=($(compgen -W bash -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "$commands $options" -- "$word")) ;;
    esac
}
complete -o filenames -F _kumquat_ctl kumquat-ctl
)";

    error usageError(const std::string& message)
    {
        return { "kumquat-ctl: " + message + "; see --help" };
    }

    result<ctl_command> makeCommand(const std::string& name, const std::vector<std::string>& arguments, const cxxopts::ParseResult& parsed)
    {
        const std::set<std::string> commands { "validate", "diff", "publish", "status", "dump", "explain", "completion" };
        if (!commands.contains(name))
            return usageError("there is no command '" + name + "'");
        const std::size_t expectedCount = name == "status" ? 0 : 1;
        if (arguments.size() != expectedCount)
            return usageError("command '" + name + "' takes " + std::to_string(expectedCount) + " argument(s), not " + std::to_string(arguments.size()));
        if (name == "status")
            return ctl_command { status_command {} };
        const auto& argument = arguments.front();
        if (name == "validate")
            return ctl_command { validate_command { argument } };
        if (name == "diff")
            return ctl_command { diff_command { argument } };
        if (name == "dump")
            return ctl_command { dump_command { argument } };
        if (name == "explain")
            return ctl_command { explain_command { argument, parsed.count("log") ? parsed["log"].as<std::vector<std::string>>() : std::vector<std::string>() } };
        if (name == "completion") {
            if (argument != "bash")
                return usageError("there is no completion for '" + argument + "'");
            return ctl_command { show_command { bashCompletion } };
        }
        publish_command publish { .file = argument };
        if (parsed.count("as"))
            publish.operatorName = parsed["as"].as<std::string>();
        if (parsed.count("base"))
            publish.baseGeneration = parsed["base"].as<std::uint64_t>();
        return ctl_command { publish };
    }

    result<ctl_command_line> makeCommandLine(const cxxopts::ParseResult& parsed, const std::string& help)
    {
        ctl_command_line commandLine;
        if (parsed.count("help")) {
            commandLine.command = show_command { help + commandHelp };
            return commandLine;
        }
        if (parsed.count("version")) {
            commandLine.command = show_command { std::string("kumquat-ctl ") + KUMQUAT_VERSION + "\n" };
            return commandLine;
        }
        if (!parsed.count("words"))
            return usageError("a command is missing");
        auto positionals = parsed["words"].as<std::vector<std::string>>();
        const auto name = positionals.front();
        positionals.erase(positionals.begin());
        const auto command = makeCommand(name, positionals, parsed);
        if (const auto* failure = errorOf(command))
            return *failure;
        commandLine.command = valueOf(command);
        commandLine.json = parsed.count("json") > 0;
        if (parsed.count("settings"))
            commandLine.settingsFile = parsed["settings"].as<std::string>();
        if (parsed.count("object-api"))
            commandLine.objectApi = parsed["object-api"].as<std::string>();
        if (parsed.count("node"))
            commandLine.nodes = parsed["node"].as<std::vector<std::string>>();
        return commandLine;
    }

} // namespace

result<ctl_command_line> parseCtlCommandLine(int argumentCount, const char* const* arguments)
{
    cxxopts::Options options("kumquat-ctl", "Validates and publishes the document, and shows the state of the fleet.");
    options.positional_help(positionalHelp);
    auto add = options.add_options();
    add("settings", "Read addresses and the operator's name from this JSON file", cxxopts::value<std::string>(), "FILE");
    add("object-api", "Address of the object API", cxxopts::value<std::string>(), "HOST:PORT");
    add("node", "Admin address of a node; may be repeated", cxxopts::value<std::vector<std::string>>(), "HOST:PORT");
    add("as", "Name of the operator who publishes", cxxopts::value<std::string>(), "NAME");
    add("base", "Generation that the document is based on; defaults to the one that it names", cxxopts::value<std::uint64_t>(), "GENERATION");
    add("log", "Saved log of a process, for explain; may be repeated", cxxopts::value<std::vector<std::string>>(), "FILE");
    add("json", "Print JSON");
    add("help", "Print this text");
    add("version", "Print the version");
    options.add_options("hidden")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "words" });
    try {
        return makeCommandLine(options.parse(argumentCount, arguments), options.help({ "" }));
    } catch (const cxxopts::exceptions::exception& failure) {
        return usageError(failure.what());
    }
}

} // namespace kumquat
