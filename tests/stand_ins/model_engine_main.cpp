// Stands in for a model engine in tests: it generates up to a maximum number of answers at the same time, streams tokens as
// server-sent events, continues an answer from a given prefix, aborts generation when the client disconnects, and slows down
// or crashes on command. The generated text depends only on the prompt.

#include "core/hash.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>

namespace {

using nlohmann::json;

constexpr std::uint32_t minAnswerTokens = 12;
constexpr std::uint32_t answerTokenRange = 24;
constexpr const char* words[] = { "gate", "bell", "lamp", "path", "hall", "tree", "roof", "well", "court", "stone", "garden", "chapter", "verse", "page", "voice", "evening" };

struct engine_state {
    std::mutex mutex;
    std::condition_variable slotFreed;
    std::uint32_t slots = 8;
    std::uint32_t running = 0;
    // Requests that wait for a slot, ordered by priority and then by arrival.
    std::set<std::pair<std::uint32_t, std::uint64_t>> waiting;
    std::uint64_t nextArrivalNumber = 0;
    std::chrono::milliseconds firstTokenDelay { 20 };
    std::chrono::milliseconds interTokenDelay { 5 };
    std::uint32_t slowdownFactor = 1;
    std::string crashMarker;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t aborted = 0;
    std::map<std::string, std::uint64_t> startedByPrompt;

    bool acquireSlot(std::uint32_t priority)
    {
        std::unique_lock lock(mutex);
        const auto ticket = std::make_pair(priority, nextArrivalNumber++);
        waiting.insert(ticket);
        slotFreed.wait(lock, [&] { return running < slots && *waiting.begin() == ticket; });
        waiting.erase(ticket);
        running++;
        slotFreed.notify_all();
        return true;
    }

    void releaseSlot()
    {
        const std::lock_guard lock(mutex);
        running--;
        slotFreed.notify_all();
    }
};

// One answer that is being generated.
struct generation {
    bool isChat = true;
    std::string prompt;
    // Index of the next token, and the index after the last one.
    std::uint32_t nextToken = 0;
    std::uint32_t endToken = 0;
    std::uint32_t priority = 0;
    bool hasSlot = false;
    bool isComplete = false;
};

std::uint32_t countWords(const std::string& text)
{
    return static_cast<std::uint32_t>(std::count(text.begin(), text.end(), ' '));
}

std::string wordAt(const std::string& prompt, std::uint32_t index)
{
    return std::string(words[kumquat::hashBytes(prompt, index) % std::size(words)]) + " ";
}

generation parseRequest(const json& body)
{
    generation result;
    result.isChat = body.contains("messages");
    std::string prefix;
    if (result.isChat) {
        auto messages = body.at("messages");
        if (body.value("continue_final_message", false)) {
            prefix = messages.back().at("content");
            messages.erase(messages.size() - 1);
        }
        result.prompt = messages.dump();
    } else {
        result.prompt = body.at("prompt").dump();
    }
    const auto length = minAnswerTokens + static_cast<std::uint32_t>(kumquat::hashBytes(result.prompt) % answerTokenRange);
    result.nextToken = countWords(prefix);
    result.endToken = std::max(length, result.nextToken);
    if (body.contains("max_tokens"))
        result.endToken = std::min(result.endToken, result.nextToken + body.at("max_tokens").get<std::uint32_t>());
    result.priority = body.value("priority", 0U);
    return result;
}

std::string tokenEvent(const generation& answer, const std::string& text)
{
    json choice = { { "index", 0 }, { "finish_reason", nullptr } };
    if (answer.isChat)
        choice["delta"] = { { "content", text } };
    else
        choice["text"] = text;
    return "data: " + json { { "choices", { choice } } }.dump() + "\n\n";
}

std::string endEvent(const generation& answer)
{
    json choice = { { "index", 0 }, { "finish_reason", "stop" } };
    if (answer.isChat)
        choice["delta"] = json::object();
    else
        choice["text"] = "";
    const json usage = { { "prompt_tokens", answer.prompt.size() / 4 }, { "completion_tokens", answer.endToken } };
    return "data: " + json { { "choices", { choice } }, { "usage", usage } }.dump() + "\n\ndata: [DONE]\n\n";
}

class engine {
public:
    void serve(const httplib::Request& request, httplib::Response& response)
    {
        const auto body = json::parse(request.body, nullptr, false);
        if (body.is_discarded()) {
            response.status = 400;
            return;
        }
        auto answer = std::make_shared<generation>(parseRequest(body));
        crashIfMarked(answer->prompt);
        m_state.acquireSlot(answer->priority);
        answer->hasSlot = true;
        {
            const std::lock_guard lock(m_state.mutex);
            m_state.started++;
            m_state.startedByPrompt[answer->prompt]++;
        }
        response.set_chunked_content_provider(
            "text/event-stream", [this, answer](size_t, httplib::DataSink& sink) { return generateToken(*answer, sink); }, [this, answer](bool) { finish(*answer); });
    }

    void applyControl(const httplib::Request& request, httplib::Response& response)
    {
        const auto command = json::parse(request.body, nullptr, false);
        const std::lock_guard lock(m_state.mutex);
        if (command.value("crash", false))
            _exit(1);
        m_state.slowdownFactor = command.value("slowdown", m_state.slowdownFactor);
        m_state.crashMarker = command.value("crash_marker", m_state.crashMarker);
        m_state.firstTokenDelay = std::chrono::milliseconds(command.value("first_token_ms", m_state.firstTokenDelay.count()));
        m_state.interTokenDelay = std::chrono::milliseconds(command.value("between_tokens_ms", m_state.interTokenDelay.count()));
        response.set_content("{}", "application/json");
    }

    void writeStatistics(httplib::Response& response)
    {
        const std::lock_guard lock(m_state.mutex);
        const json body = { { "running", m_state.running }, { "waiting", m_state.waiting.size() }, { "started", m_state.started }, { "finished", m_state.finished }, { "aborted", m_state.aborted }, { "started_by_prompt", m_state.startedByPrompt } };
        response.set_content(body.dump(), "application/json");
    }

    engine_state& state() { return m_state; }

private:
    void crashIfMarked(const std::string& prompt)
    {
        const std::lock_guard lock(m_state.mutex);
        if (!m_state.crashMarker.empty() && prompt.find(m_state.crashMarker) != std::string::npos)
            _exit(1);
    }

    bool generateToken(generation& answer, httplib::DataSink& sink)
    {
        const bool isFirst = answer.nextToken == 0;
        std::chrono::milliseconds tokenDelay;
        {
            const std::lock_guard lock(m_state.mutex);
            tokenDelay = (isFirst ? m_state.firstTokenDelay : m_state.interTokenDelay) * m_state.slowdownFactor;
        }
        std::this_thread::sleep_for(tokenDelay);
        if (answer.nextToken >= answer.endToken) {
            const auto bytes = endEvent(answer);
            sink.write(bytes.data(), bytes.size());
            answer.isComplete = true;
            sink.done();
            return true;
        }
        const auto bytes = tokenEvent(answer, wordAt(answer.prompt, answer.nextToken));
        answer.nextToken++;
        return sink.write(bytes.data(), bytes.size());
    }

    // Frees the slot and counts the answer, whether it was completed or the client disconnected.
    void finish(generation& answer)
    {
        if (!answer.hasSlot)
            return;
        answer.hasSlot = false;
        m_state.releaseSlot();
        const std::lock_guard lock(m_state.mutex);
        (answer.isComplete ? m_state.finished : m_state.aborted)++;
    }

    engine_state m_state;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 2) {
        std::cerr << "usage: stand-in-model-engine PORT [SLOTS] [FIRST_TOKEN_MS] [BETWEEN_TOKENS_MS]\n";
        return 2;
    }
    engine modelEngine;
    if (argumentCount > 2)
        modelEngine.state().slots = static_cast<std::uint32_t>(std::atoi(arguments[2]));
    if (argumentCount > 3)
        modelEngine.state().firstTokenDelay = std::chrono::milliseconds(std::atoi(arguments[3]));
    if (argumentCount > 4)
        modelEngine.state().interTokenDelay = std::chrono::milliseconds(std::atoi(arguments[4]));
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(64); };
    server.set_tcp_nodelay(true);
    const auto serve = [&](const httplib::Request& request, httplib::Response& response) { modelEngine.serve(request, response); };
    server.Post("/v1/chat/completions", serve);
    server.Post("/v1/completions", serve);
    server.Post("/control", [&](const httplib::Request& request, httplib::Response& response) { modelEngine.applyControl(request, response); });
    server.Get("/statistics", [&](const httplib::Request&, httplib::Response& response) { modelEngine.writeStatistics(response); });
    server.Get("/health", [](const httplib::Request&, httplib::Response& response) { response.set_content("ok", "text/plain"); });
    return server.listen("127.0.0.1", std::atoi(arguments[1])) ? 0 : 1;
}
