// A model engine for tests: it batches up to a limit, streams tokens as server-sent events, resumes from a prefix,
// aborts when its client leaves, and fails on order. Its text depends on the prompt alone.

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

constexpr std::uint32_t shortestAnswerTokens = 12;
constexpr std::uint32_t answerLengthSpread = 24;
constexpr const char* words[] = { "gate", "bell", "lamp", "path", "hall", "tree", "roof", "well", "court", "stone", "garden", "chapter", "verse", "page", "voice", "evening" };

struct engine_state {
    std::mutex mutex;
    std::condition_variable slotFreed;
    std::uint32_t slots = 8;
    std::uint32_t running = 0;
    // Waiting calls by priority, then arrival.
    std::set<std::pair<std::uint32_t, std::uint64_t>> waiting;
    std::uint64_t nextTicket = 0;
    std::chrono::milliseconds firstToken { 20 };
    std::chrono::milliseconds betweenTokens { 5 };
    std::uint32_t slowdown = 1;
    std::string crashMarker;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t aborted = 0;
    std::map<std::string, std::uint64_t> startedByPrompt;

    bool acquire(std::uint32_t priority)
    {
        std::unique_lock lock(mutex);
        const auto ticket = std::make_pair(priority, nextTicket++);
        waiting.insert(ticket);
        slotFreed.wait(lock, [&] { return running < slots && *waiting.begin() == ticket; });
        waiting.erase(ticket);
        running++;
        slotFreed.notify_all();
        return true;
    }

    void release()
    {
        const std::lock_guard lock(mutex);
        running--;
        slotFreed.notify_all();
    }
};

struct generation {
    bool isChat = true;
    std::string prompt;
    std::uint32_t next = 0;
    std::uint32_t end = 0;
    std::uint32_t priority = 0;
    bool holdsSlot = false;
    bool complete = false;
};

std::uint32_t countWords(const std::string& text)
{
    return static_cast<std::uint32_t>(std::count(text.begin(), text.end(), ' '));
}

std::string wordAt(const std::string& prompt, std::uint32_t index)
{
    return std::string(words[kumquat::hashBytes(prompt, index) % std::size(words)]) + " ";
}

generation readRequest(const json& body)
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
    const auto length = shortestAnswerTokens + static_cast<std::uint32_t>(kumquat::hashBytes(result.prompt) % answerLengthSpread);
    result.next = countWords(prefix);
    result.end = std::max(length, result.next);
    if (body.contains("max_tokens"))
        result.end = std::min(result.end, result.next + body.at("max_tokens").get<std::uint32_t>());
    result.priority = body.value("priority", 0U);
    return result;
}

std::string tokenEvent(const generation& run, const std::string& text)
{
    json choice = { { "index", 0 }, { "finish_reason", nullptr } };
    if (run.isChat)
        choice["delta"] = { { "content", text } };
    else
        choice["text"] = text;
    return "data: " + json { { "choices", { choice } } }.dump() + "\n\n";
}

std::string endEvent(const generation& run)
{
    json choice = { { "index", 0 }, { "finish_reason", "stop" } };
    if (run.isChat)
        choice["delta"] = json::object();
    else
        choice["text"] = "";
    const json usage = { { "prompt_tokens", run.prompt.size() / 4 }, { "completion_tokens", run.end } };
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
        auto run = std::make_shared<generation>(readRequest(body));
        crashIfOrdered(run->prompt);
        m_state.acquire(run->priority);
        run->holdsSlot = true;
        {
            const std::lock_guard lock(m_state.mutex);
            m_state.started++;
            m_state.startedByPrompt[run->prompt]++;
        }
        response.set_chunked_content_provider(
            "text/event-stream", [this, run](size_t, httplib::DataSink& sink) { return produce(*run, sink); }, [this, run](bool) { end(*run); });
    }

    void control(const httplib::Request& request, httplib::Response& response)
    {
        const auto order = json::parse(request.body, nullptr, false);
        const std::lock_guard lock(m_state.mutex);
        if (order.value("crash", false))
            _exit(1);
        m_state.slowdown = order.value("slowdown", m_state.slowdown);
        m_state.crashMarker = order.value("crash_marker", m_state.crashMarker);
        m_state.firstToken = std::chrono::milliseconds(order.value("first_token_ms", m_state.firstToken.count()));
        m_state.betweenTokens = std::chrono::milliseconds(order.value("between_tokens_ms", m_state.betweenTokens.count()));
        response.set_content("{}", "application/json");
    }

    void statistics(httplib::Response& response)
    {
        const std::lock_guard lock(m_state.mutex);
        const json body = { { "running", m_state.running }, { "waiting", m_state.waiting.size() }, { "started", m_state.started }, { "finished", m_state.finished }, { "aborted", m_state.aborted }, { "started_by_prompt", m_state.startedByPrompt } };
        response.set_content(body.dump(), "application/json");
    }

    engine_state& state() { return m_state; }

private:
    void crashIfOrdered(const std::string& prompt)
    {
        const std::lock_guard lock(m_state.mutex);
        if (!m_state.crashMarker.empty() && prompt.find(m_state.crashMarker) != std::string::npos)
            _exit(1);
    }

    bool produce(generation& run, httplib::DataSink& sink)
    {
        const bool isFirst = run.next == 0;
        std::chrono::milliseconds wait;
        {
            const std::lock_guard lock(m_state.mutex);
            wait = (isFirst ? m_state.firstToken : m_state.betweenTokens) * m_state.slowdown;
        }
        std::this_thread::sleep_for(wait);
        if (run.next >= run.end) {
            const auto bytes = endEvent(run);
            sink.write(bytes.data(), bytes.size());
            run.complete = true;
            sink.done();
            return true;
        }
        const auto bytes = tokenEvent(run, wordAt(run.prompt, run.next));
        run.next++;
        return sink.write(bytes.data(), bytes.size());
    }

    void end(generation& run)
    {
        if (!run.holdsSlot)
            return;
        run.holdsSlot = false;
        m_state.release();
        const std::lock_guard lock(m_state.mutex);
        (run.complete ? m_state.finished : m_state.aborted)++;
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
    engine served;
    if (argumentCount > 2)
        served.state().slots = static_cast<std::uint32_t>(std::atoi(arguments[2]));
    if (argumentCount > 3)
        served.state().firstToken = std::chrono::milliseconds(std::atoi(arguments[3]));
    if (argumentCount > 4)
        served.state().betweenTokens = std::chrono::milliseconds(std::atoi(arguments[4]));
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(64); };
    server.set_tcp_nodelay(true);
    const auto serve = [&](const httplib::Request& request, httplib::Response& response) { served.serve(request, response); };
    server.Post("/v1/chat/completions", serve);
    server.Post("/v1/completions", serve);
    server.Post("/control", [&](const httplib::Request& request, httplib::Response& response) { served.control(request, response); });
    server.Get("/statistics", [&](const httplib::Request&, httplib::Response& response) { served.statistics(response); });
    server.Get("/health", [](const httplib::Request&, httplib::Response& response) { response.set_content("ok", "text/plain"); });
    return server.listen("127.0.0.1", std::atoi(arguments[1])) ? 0 : 1;
}
