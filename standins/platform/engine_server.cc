#include "platform/servers.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>

namespace jackdawpick::standins
{

using nlohmann::json;

namespace
{

// Time until a failed fetch from the weight store is tried again where the store does not say.
constexpr std::chrono::seconds fetchRetry{1};

std::string textOf(const json &content)
{
    return content.is_string() ? content.get<std::string>() : content.dump();
}

std::uint64_t unsignedOf(const json &body, const char *name, std::uint64_t otherwise)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : otherwise;
}

std::string stringOf(const json &body, const char *name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

engine_request requestOf(const json &body, const std::string &headerId)
{
    engine_request request;
    request.requestId = body.contains("request_id") ? stringOf(body, "request_id") : headerId;
    request.program = stringOf(body, "program");
    request.model = stringOf(body, "model");
    request.priority = static_cast<std::uint32_t>(unsignedOf(body, "priority", 0));
    request.maxTokens = static_cast<std::uint32_t>(unsignedOf(body, "max_tokens", request.maxTokens));
    for (const auto &entry : body.value("messages", json::array())) {
        if (entry.is_object()) {
            request.messages.push_back(
                {.role = stringOf(entry, "role"), .content = textOf(entry.value("content", json("")))});
        }
    }
    if (body.contains("resume_from")) {
        request.resumeFrom = unsignedOf(body, "resume_from", 0);
    }
    return request;
}

json usageJson(const usage &used)
{
    return {{"prompt_tokens", used.promptTokens},
            {"cached_tokens", used.cachedTokens},
            {"completion_tokens", used.completionTokens}};
}

json stepsJson(const std::vector<history_step> &steps)
{
    json result = json::array();
    for (const auto &step : steps) {
        result.push_back({step.value, step.tokens});
    }
    return result;
}

std::string event(const json &data)
{
    return fmt::format("data: {}\n\n", data.dump());
}

} // namespace

engine_server::engine_server(net::loop &loop, const clock_source &clock, const engine_server_options &options)
    : m_clock(clock)
    , m_options(options)
    , m_model(options.options, options.seed)
    , m_server(loop, m_model.faults())
{
    m_server.onRequest([this](const net::http_request &request) { receive(request); });
    m_server.onFaultChange([this] { pump(); });
    m_server.onDisconnect([this](net::request_id id) {
        const auto run = m_runs.find(id);
        if (run != m_runs.end()) {
            ++m_cancelled;
            m_model.cancel(run->second, m_clock.now());
            m_answers.erase(run->second);
            m_runs.erase(run);
            pump();
        }
    });
}

std::string engine_server::listen(const std::string &address)
{
    return m_server.listen(address);
}

fault_table &engine_server::faults()
{
    return m_model.faults();
}

void engine_server::receive(const net::http_request &request)
{
    const bool post = request.method == "POST";
    if (post && request.path == "/v1/chat/completions") {
        complete(request);
    } else if (post && request.path.starts_with("/kv/")) {
        prefix(request);
    } else if (post && request.path == "/orders") {
        order(request);
    } else if (!post && request.path == "/load") {
        load(request);
    } else if (!post && request.path == "/kv/events") {
        events(request);
    } else if (!post && request.path == "/admin/stats") {
        stats(request);
    } else {
        m_server.notFound(request);
    }
}

void engine_server::complete(const net::http_request &request)
{
    const json body = objectOf(request.body);
    const auto wanted = requestOf(body, headerOf(request, "x-request-id"));
    if (wanted.messages.empty() || wanted.maxTokens == 0) {
        m_server.answer(request.id, 400, {{"error", "expected messages and max_tokens above 0"}});
        return;
    }
    const auto accepted = m_model.submit(wanted, m_clock.now());
    if (const auto *refused = std::get_if<engine_refusal>(&accepted)) {
        switch (*refused) {
        case engine_refusal::Refusing:
            m_server.refuse(request.id, 503, "the engine takes no requests", std::chrono::seconds(1));
            break;
        case engine_refusal::QueueFull:
            m_server.refuse(request.id, 429, "the queue is full", std::chrono::milliseconds(200));
            break;
        case engine_refusal::ModelNotLoaded:
            m_server.answer(request.id, 404, {{"error", "the model is not loaded"}});
            break;
        case engine_refusal::NotResumable:
            m_server.answer(request.id, 409, {{"error", "the stream cannot be resumed at that token"}});
            break;
        }
    } else {
        const auto run = std::get<run_id>(accepted);
        const bool stream = body.value("stream", json(false)) == json(true);
        m_answers[run] = {.request = request.id, .requestId = wanted.requestId, .stream = stream, .text = {}};
        m_runs[request.id] = run;
        if (stream) {
            m_server.beginStream(request.id);
        }
    }
    pump();
}

void engine_server::pump()
{
    for (const auto &output : m_model.advance(m_clock.now())) {
        std::visit([this](const auto &value) { send(value); }, output);
    }
    m_server.loop().wakeAt(m_model.nextDeadline(), [this] { pump(); });
}

void engine_server::send(const engine_chunk &chunk)
{
    const auto found = m_answers.find(chunk.run);
    if (found == m_answers.end()) {
        return;
    }
    auto &answer = found->second;
    if (answer.stream) {
        const json delta{{"index", 0}, {"delta", {{"content", chunk.text}}}};
        m_server.write(answer.request, event({{"request_id", answer.requestId}, {"choices", json::array({delta})}}));
    } else {
        answer.text += chunk.text;
    }
}

void engine_server::send(const engine_end &end)
{
    const auto found = m_answers.find(end.run);
    if (found == m_answers.end()) {
        return;
    }
    const auto &answer = found->second;
    ++m_completed;
    m_promptTokens += end.used.promptTokens;
    m_cachedTokens += end.used.cachedTokens;
    m_completionTokens += end.used.completionTokens;
    json last{{"request_id", answer.requestId}, {"usage", usageJson(end.used)}};
    if (answer.stream) {
        last["choices"] = json::array({{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}});
        m_server.write(answer.request, event(last) + "data: [DONE]\n\n");
        m_server.endStream(answer.request);
    } else {
        const json text{{"role", "assistant"}, {"content", answer.text}};
        last["choices"] = json::array({{{"index", 0}, {"message", text}, {"finish_reason", "stop"}}});
        m_server.answer(answer.request, 200, last);
    }
    m_runs.erase(answer.request);
    m_answers.erase(found);
}

void engine_server::send(const engine_crash &)
{
    // As after a fault in the engine's own code: no clean-up, all connections are reset by the system.
    std::_Exit(70);
}

void engine_server::events(const net::http_request &request)
{
    const std::string text = queryOf(request, "from");
    std::uint64_t from = 1;
    std::from_chars(text.data(), text.data() + text.size(), from);
    const auto page = m_model.cacheEvents(from, m_clock.now());
    json list = json::array();
    for (const auto &entry : page.events) {
        list.push_back({{"seq", entry.sequence},
                        {"op", entry.stored ? "stored" : "evicted"},
                        {"program", entry.program},
                        {"tokens", entry.tokens}});
    }
    m_server.answer(request.id, 200, {{"events", list}, {"next", page.next}});
}

void engine_server::load(const net::http_request &request)
{
    const auto report = m_model.load(m_clock.now());
    m_server.answer(request.id, 200,
                    {{"running", report.running},
                     {"queued", report.queued},
                     {"slots", report.slots},
                     {"kv_used_tokens", report.cacheUsedTokens},
                     {"kv_total_tokens", report.cacheTotalTokens}});
}

void engine_server::prefix(const net::http_request &request)
{
    const json body = objectOf(request.body);
    const std::string program = stringOf(body, "program");
    if (request.path == "/kv/release") {
        m_model.release(program, m_clock.now());
        m_server.answer(request.id, 200, {{"ok", true}});
    } else if (request.path == "/kv/export") {
        const auto exported = m_model.exportPrefix(program);
        if (!exported) {
            m_server.answer(request.id, 404, {{"error", "no cache of that program"}});
        } else {
            m_server.answer(request.id, 200, {{"program", program}, {"blocks", stepsJson(exported->steps)}});
        }
    } else if (request.path == "/kv/import") {
        cached_prefix prefix{.program = program, .steps = {}};
        for (const auto &block : body.value("blocks", json::array())) {
            if (!block.is_array() || block.size() != 2 || !block[0].is_number_unsigned()
                || !block[1].is_number_unsigned()) {
                m_server.answer(request.id, 400, {{"error", "blocks: expected those of /kv/export"}});
                return;
            }
            prefix.steps.push_back({.value = block[0].get<digest>(), .tokens = block[1].get<token_count>()});
        }
        m_model.importPrefix(prefix, m_clock.now());
        m_server.answer(request.id, 200, {{"ok", true}});
    } else {
        m_server.notFound(request);
    }
}

void engine_server::order(const net::http_request &request)
{
    const json body = objectOf(request.body);
    const engine_order order{
        .orderFence = unsignedOf(body, "fence", 0), .kind = stringOf(body, "kind"), .model = stringOf(body, "model")};
    switch (m_model.applyOrder(order, m_clock.now())) {
    case order_result::Accepted:
        if (m_options.options.loadsFromStore && (order.kind == "load" || order.kind == "adapter")) {
            fetchWeights(order.model);
        }
        m_server.answer(request.id, 200, {{"ok", true}});
        break;
    case order_result::StaleFence:
        m_server.answer(request.id, 409, {{"error", "stale fence"}});
        break;
    case order_result::UnknownKind:
        m_server.answer(request.id, 400, {{"error", "kind: expected load, unload, adapter or role"}});
        break;
    }
}

void engine_server::fetchWeights(const std::string &model)
{
    net::client_request fetch;
    fetch.address = m_options.weightStore;
    fetch.path = "/weights/" + model;
    m_server.loop().request(fetch, [this, model](const net::client_result &result) {
        if (result.error == net::client_error::None && result.status == 200) {
            m_model.finishLoad(model);
            return;
        }
        const auto wait =
            unsignedOf(objectOf(result.body), "retry_after_ms", std::chrono::milliseconds(fetchRetry).count());
        m_server.loop().after(std::chrono::milliseconds(wait), [this, model] { fetchWeights(model); });
    });
}

void engine_server::stats(const net::http_request &request)
{
    m_server.answer(request.id, 200,
                    {{"completed", m_completed},
                     {"cancelled", m_cancelled},
                     {"prompt_tokens", m_promptTokens},
                     {"cached_tokens", m_cachedTokens},
                     {"completion_tokens", m_completionTokens},
                     {"accepted_while_leaving", m_model.acceptedWhileLeaving()},
                     {"role", m_model.role()}});
}

} // namespace jackdawpick::standins
