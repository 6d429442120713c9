#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds linkDelay{2};
constexpr milliseconds endpointDelay{2};

const store::partition configurationPlace{"configuration", 0};
const store::partition endpointPlace{"endpoints", 0};
const store::partition daemonPlace{"daemons", 0};

} // namespace

gateway_world::gateway_world(world_options options)
    : m_options(options)
    , m_random(options.seed)
{
    publish(initialConfiguration());
    for (int i = 0; i < options.engines; ++i) {
        putEndpoint({.id = fmt::format("engine-{}", i),
                     .service = "engines",
                     .address = fmt::format("e{}", i),
                     .zone = "z",
                     .slots = 4});
    }
    for (int i = 0; i < options.shops; ++i) {
        putEndpoint({.id = fmt::format("shop-{}", i),
                     .service = "shop",
                     .address = fmt::format("s{}", i),
                     .zone = "z",
                     .slots = 4});
    }
    m_daemons.resize(static_cast<std::size_t>(options.daemons));
    for (int i = 0; i < options.daemons; ++i) {
        start(i);
    }
}

void gateway_world::settle()
{
    runFor(3000ms);
}

void gateway_world::start(int daemon)
{
    auto &state = m_daemons.at(static_cast<std::size_t>(daemon));
    gateway_options options;
    options.self = {.name = fmt::format("daemon-{}", daemon),
                    .incarnation = ++m_order,
                    .zone = "z",
                    .callerAddress = fmt::format("caller-{}", daemon),
                    .peerAddress = fmt::format("peer-{}", daemon)};
    options.layout.configuration = configurationPlace;
    options.layout.configurationKey = "config";
    options.layout.endpoints = endpointPlace;
    options.layout.daemons = daemonPlace;
    options.layout.decodeConfiguration = [this](std::string_view text) {
        const auto found = m_published.find(std::string(text));
        return found == m_published.end() ? std::nullopt : std::optional(found->second);
    };
    options.layout.decodeEndpoint = [this](std::string_view, std::string_view text) {
        const auto found = m_entries.find(std::string(text));
        return found == m_entries.end() ? std::nullopt : std::optional(found->second);
    };
    options.layout.turnTopics = m_options.turnTopics;
    options.layout.partsPerTopic = m_options.parts;
    options.seed = m_random();
    ++state.life;
    state.core = std::make_unique<gateway>(std::move(options));
    feed(daemon, state.life, tick{});
}

void gateway_world::kill(int daemon)
{
    auto &state = m_daemons.at(static_cast<std::size_t>(daemon));
    ++state.life;
    state.core.reset();
    state.wakeAt.reset();
    loseCallers(daemon);
    std::erase_if(m_open, [daemon](const auto &entry) { return entry.first == daemon; });
    const auto links = m_links;
    for (const auto &[end, other] : links) {
        if (end.first == daemon) {
            m_links.erase(end);
            m_links.erase({other.daemon, other.id});
            feed(other.daemon, m_daemons.at(static_cast<std::size_t>(other.daemon)).life, link_closed{other.id});
        }
    }
}

void gateway_world::loseCallers(int daemon)
{
    for (auto &[place, view] : m_callers) {
        if (place.first == daemon && !view->ended()) {
            view->aborted = true;
            view->endedAt = now();
        }
    }
}

void gateway_world::shutdown(int daemon)
{
    feed(daemon, m_daemons.at(static_cast<std::size_t>(daemon)).life, shutdown_requested{});
}

bool gateway_world::isRunning(int daemon) const
{
    return m_daemons.at(static_cast<std::size_t>(daemon)).core != nullptr;
}

gateway &gateway_world::core(int daemon)
{
    return *m_daemons.at(static_cast<std::size_t>(daemon)).core;
}

time_point gateway_world::now() const
{
    return m_clock.now();
}

void gateway_world::after(milliseconds delay, std::function<void()> task)
{
    m_queue.push({now() + delay, ++m_order, std::move(task)});
}

void gateway_world::runFor(milliseconds time)
{
    const auto end = now() + time;
    while (true) {
        auto next = m_queue.empty() ? time_point::max() : m_queue.top().at;
        int waking = -1;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            const auto wake = m_daemons[i].wakeAt.value_or(time_point::max());
            if (wake < next) {
                next = wake;
                waking = static_cast<int>(i);
            }
        }
        if (next > end) {
            break;
        }
        m_clock.advanceTo(next);
        if (waking >= 0) {
            feed(waking, m_daemons[static_cast<std::size_t>(waking)].life, tick{});
        } else {
            const auto task = m_queue.top().task;
            m_queue.pop();
            task();
        }
    }
    m_clock.advanceTo(end);
}

void gateway_world::feed(int daemon, int life, event what)
{
    auto &state = m_daemons.at(static_cast<std::size_t>(daemon));
    if (state.life != life || state.core == nullptr) {
        return;
    }
    auto effects = state.core->handle(std::move(what), now());
    for (auto &effect : effects) {
        perform(daemon, effect);
    }
    if (state.life == life && state.core != nullptr) {
        state.wakeAt = state.core->nextDeadline();
    }
}

void gateway_world::perform(int daemon, effect &what)
{
    std::visit([&](auto &body) { on(daemon, body); }, what);
}

// ---- Callers ----

caller_view &gateway_world::ask(int daemon, caller_request request)
{
    auto &view = m_views.emplace_back();
    const caller_id caller{++m_lastCaller};
    m_callers.emplace(std::pair(daemon, caller), &view);
    m_places.emplace(&view, std::pair(daemon, caller));
    if (!isRunning(daemon)) {
        view.aborted = true;
        view.endedAt = now();
        return view;
    }
    const int life = m_daemons.at(static_cast<std::size_t>(daemon)).life;
    after(1ms, [=, this, request = std::move(request)]() mutable {
        feed(daemon, life, request_arrived{caller, std::move(request)});
    });
    return view;
}

caller_view &gateway_world::askAndWait(int daemon, caller_request request)
{
    auto &view = ask(daemon, std::move(request));
    runFor(std::chrono::seconds(1));
    return view;
}

void gateway_world::leave(const caller_view &view)
{
    const auto [daemon, caller] = m_places.at(&view);
    feed(daemon, m_daemons.at(static_cast<std::size_t>(daemon)).life, caller_disconnected{caller});
}

caller_view *gateway_world::viewOf(int daemon, caller_id caller)
{
    const auto found = m_callers.find({daemon, caller});
    return found == m_callers.end() || found->second->ended() ? nullptr : found->second;
}

void gateway_world::on(int daemon, const start_response &what)
{
    if (auto *view = viewOf(daemon, what.caller)) {
        view->status = what.status;
    }
}

void gateway_world::on(int daemon, const response_bytes &what)
{
    if (auto *view = viewOf(daemon, what.caller)) {
        view->body += what.bytes;
    }
}

void gateway_world::on(int daemon, const end_response &what)
{
    if (auto *view = viewOf(daemon, what.caller)) {
        view->complete = true;
        view->endedAt = now();
    }
}

void gateway_world::on(int daemon, const abort_response &what)
{
    if (auto *view = viewOf(daemon, what.caller)) {
        view->aborted = true;
        view->endedAt = now();
    }
}

void gateway_world::on(int daemon, const refuse &what)
{
    if (auto *view = viewOf(daemon, what.caller)) {
        view->status = describe(what.code).httpStatus;
        view->retryAfter = what.retryAfter;
        view->refusal = what.code;
        view->complete = true;
        view->endedAt = now();
    }
}

// ---- Endpoints ----

void gateway_world::on(int daemon, const start_dispatch &what)
{
    const int life = m_daemons.at(static_cast<std::size_t>(daemon)).life;
    m_open.emplace(daemon, what.dispatch);
    m_attempts[{daemon, what.dispatch}] = what.attempt;
    after(endpointDelay, [=, this] {
        if (m_open.contains({daemon, what.dispatch})) {
            runAtEndpoint(daemon, life, what);
        }
    });
}

void gateway_world::runAtEndpoint(int daemon, int life, const start_dispatch &what)
{
    const auto mood = endpoints.contains(what.endpoint) ? endpoints.at(what.endpoint) : endpoint_mood::Answers;
    const auto send = [=, this](milliseconds delay, const event &content) {
        after(delay, [=, this] {
            if (m_open.contains({daemon, what.dispatch})) {
                feed(daemon, life, content);
            }
        });
    };
    const auto end = [&](milliseconds delay, dispatch_outcome how) {
        send(delay, dispatch_finished{what.dispatch, how});
    };
    if (mood == endpoint_mood::Unreachable) {
        end(0ms, dispatch_outcome::NotSent);
        return;
    }
    if (mood == endpoint_mood::Rejects) {
        send(0ms, response_head{.dispatch = what.dispatch, .status = 503, .notExecuted = true, .headers = {}});
        return;
    }
    runs.push_back({what.endpoint, what.attempt, what.body, now()});
    if (mood == endpoint_mood::Silent) {
        return;
    }
    if (mood == endpoint_mood::LosesAnswer) {
        end(m_options.serviceTime, dispatch_outcome::Lost);
        return;
    }
    const bool stream = what.target.starts_with("/model/");
    const header_list headers{{"content-type", stream ? "text/event-stream" : "text/plain"}};
    const int pieces = stream ? m_options.eventsPerTurn : 1;
    const auto gap = stream ? m_options.eventGap : m_options.serviceTime;
    const auto content = stream ? std::string() : "done:" + what.attempt;
    const auto length = stream ? std::nullopt : std::optional<std::uint64_t>(content.size());
    send(gap,
         response_head{.dispatch = what.dispatch,
                       .status = 200,
                       .hasEndpointSignature = true,
                       .headers = headers,
                       .contentLength = length});
    const int passed = mood == endpoint_mood::BreaksOff ? pieces / 2 : pieces;
    for (int i = 1; i <= passed; ++i) {
        const auto text = stream ? fmt::format("id: {0}\ndata: {1}-{0}\n\n", i, what.attempt) : content;
        send(gap * i, response_chunk{what.dispatch, text});
    }
    end(gap * pieces + 1ms, mood == endpoint_mood::BreaksOff ? dispatch_outcome::Lost : dispatch_outcome::Complete);
}

void gateway_world::on(int daemon, const cancel_dispatch &what)
{
    m_open.erase({daemon, what.dispatch});
    cancelled.push_back(m_attempts.at({daemon, what.dispatch}));
}

int gateway_world::runsOf(const std::string &attempt) const
{
    return static_cast<int>(std::ranges::count(runs, attempt, &run_at_endpoint::attempt));
}

// ---- Store ----

void gateway_world::on(int daemon, const make_store_call &what)
{
    ++storeCalls;
    const int life = m_daemons.at(static_cast<std::size_t>(daemon)).life;
    const auto &mood = stores[daemon];
    const auto answer = [=, this](milliseconds delay, const store::reply &result) {
        after(delay, [=, this] { feed(daemon, life, store_replied{what.id, result}); });
    };
    const auto topic = std::visit([](const auto &body) { return body.where.topic; }, what.call);
    if (mood.away || awayTopics.contains(topic)) {
        answer(what.timeout, store::failure::NoReply);
        return;
    }
    if (mood.refuses) {
        answer(1ms, store::failure::Refused);
        return;
    }
    const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < mood.losesReply;
    // A read that waits for records is answered at the end of its wait: nothing depends on being told at once.
    const auto *read = std::get_if<store::read_call>(&what.call);
    const auto wait = read == nullptr ? 0ms : read->wait;
    const auto half = mood.delay / 2;
    after(half + wait, [=, this] {
        const auto result = execute(what.call);
        if (lost) {
            answer(what.timeout, store::failure::NoReply);
        } else {
            answer(mood.delay - half, result);
        }
    });
}

store::reply gateway_world::execute(const store::call &what)
{
    return std::visit([this](const auto &body) { return execute(body); }, what);
}

store::reply gateway_world::execute(const store::append_call &what)
{
    auto &records = m_partitions[what.where].records;
    const std::uint64_t first = records.size();
    if (what.expectedEnd.has_value() && *what.expectedEnd != first) {
        return store::conflict{first};
    }
    for (const auto &value : what.records) {
        records.push_back({.offset = records.size(), .key = {}, .value = value});
    }
    return store::appended{first};
}

store::reply gateway_world::execute(const store::put_call &what)
{
    auto &records = m_partitions[what.where].records;
    records.push_back({.offset = records.size(), .key = what.key, .value = what.value});
    return store::appended{records.back().offset};
}

store::reply gateway_world::execute(const store::read_call &what)
{
    const auto &[records, first] = m_partitions[what.where];
    if (what.from < first) {
        return store::expired{first};
    }
    const auto from = std::min<std::size_t>(what.from, records.size());
    return store::records_read{
        records.size(), {records.begin() + static_cast<std::ptrdiff_t>(from), records.end()}, records.size()};
}

store::reply gateway_world::execute(const store::trim_call &what)
{
    auto &content = m_partitions[what.where];
    content.first = std::max(content.first, what.before);
    return store::trimmed{};
}

store::reply gateway_world::execute(const store::newest_call &what)
{
    const auto &records = m_partitions[what.where].records;
    std::map<std::string, store::record> newest;
    for (const auto &record : records) {
        newest[record.key] = record;
    }
    store::newest_page page{.records = {}, .end = records.size()};
    for (const auto &[key, record] : newest) {
        if (!record.value.empty()) {
            page.records.push_back(record);
        }
    }
    return page;
}

void gateway_world::publish(routing::configuration what)
{
    const auto text = fmt::format("configuration {}", what.version);
    m_published[text] = std::move(what);
    execute(store::put_call{configurationPlace, "config", text});
}

void gateway_world::putEndpoint(const fleet::endpoint_entry &entry)
{
    const auto text = fmt::format("{} {} {}", entry.id, entry.address, entry.draining);
    m_entries[text] = entry;
    execute(store::put_call{endpointPlace, entry.id, text});
}

void gateway_world::removeEndpoint(const std::string &id)
{
    execute(store::put_call{endpointPlace, id, ""});
}

std::size_t gateway_world::recordsIn(std::string_view topicPrefix) const
{
    std::size_t count = 0;
    for (const auto &[where, content] : m_partitions) {
        count += where.topic.starts_with(topicPrefix) ? content.records.size() - content.first : 0;
    }
    return count;
}

std::set<std::string> gateway_world::topics() const
{
    std::set<std::string> names;
    for (const auto &[where, content] : m_partitions) {
        if (!content.records.empty()) {
            names.insert(where.topic);
        }
    }
    return names;
}

// ---- Links ----

int gateway_world::daemonAt(const std::string &peerAddress) const
{
    for (int i = 0; i < m_options.daemons; ++i) {
        if (peerAddress == fmt::format("peer-{}", i)) {
            return i;
        }
    }
    return -1;
}

void gateway_world::on(int daemon, const open_link &what)
{
    const int other = daemonAt(what.address);
    const int life = m_daemons.at(static_cast<std::size_t>(daemon)).life;
    const bool possible = other >= 0 && isRunning(other) && !cutLinks.contains({daemon, other});
    if (!possible) {
        after(linkDelay, [=, this] { feed(daemon, life, link_closed{what.link}); });
        return;
    }
    constexpr std::uint64_t incomingStep = 2;
    m_lastLink += incomingStep;
    const link_id incoming{m_lastLink};
    m_links[{daemon, what.link}] = {other, incoming};
    m_links[{other, incoming}] = {daemon, what.link};
    const int otherLife = m_daemons.at(static_cast<std::size_t>(other)).life;
    after(linkDelay, [=, this] {
        feed(other, otherLife, link_opened{.link = incoming, .incoming = true});
        feed(daemon, life, link_opened{.link = what.link});
    });
}

void gateway_world::on(int daemon, const send_message &what)
{
    const auto found = m_links.find({daemon, what.link});
    if (found == m_links.end() || cutLinks.contains({daemon, found->second.daemon})) {
        return;
    }
    const auto to = found->second;
    const int life = m_daemons.at(static_cast<std::size_t>(to.daemon)).life;
    after(linkDelay, [=, this] { feed(to.daemon, life, link_message{to.id, what.content}); });
}

void gateway_world::on(int daemon, const close_link &what)
{
    const auto node = m_links.extract({daemon, what.link});
    if (node) {
        const auto to = node.mapped();
        m_links.erase({to.daemon, to.id});
        const int life = m_daemons.at(static_cast<std::size_t>(to.daemon)).life;
        after(linkDelay, [=, this] { feed(to.daemon, life, link_closed{to.id}); });
    }
}

// ---- The rest ----

void gateway_world::on(int daemon, const log_line &what)
{
    ++m_lines[what.event];
    if (m_options.printLog) {
        fmt::print("{:>8} daemon-{} {}\n", millisecondsBetween(time_point(), now()).count(), daemon,
                   logging::format(what.level, what.event, what.fields));
    }
}

int gateway_world::linesWith(std::string_view event) const
{
    const auto found = m_lines.find(std::string(event));
    return found == m_lines.end() ? 0 : found->second;
}

void gateway_world::on(int /*daemon*/, const increment_counter & /*what*/)
{
}

void gateway_world::on(int /*daemon*/, const record_duration & /*what*/)
{
}

void gateway_world::on(int /*daemon*/, const close_idle_connections & /*what*/)
{
}

void gateway_world::on(int daemon, const stop_process & /*what*/)
{
    // Not from within the call of the gateway.
    after(0ms, [=, this] { kill(daemon); });
}

} // namespace jackdawpick::gateway::testing
