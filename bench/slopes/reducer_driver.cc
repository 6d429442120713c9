#include "slopes/reducer_driver.h"

#include <ctime>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

constexpr auto logDelay = 1ms;
constexpr auto settlingTime = 60s; // Enough to claim all shards, eight at a time.
constexpr std::uint64_t ownIncarnation = 11;

double processorNow()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

core_options reducerOptions(std::uint64_t seed)
{
    core_options options;
    options.self = {.daemon = {"daemon-0", ownIncarnation},
                    .zone = "zone-0",
                    .httpAddress = "127.0.0.1:4000",
                    .peerAddress = "127.0.0.1:5000"};
    options.seed = seed;
    options.receiptKey = "secret";
    // Calls run one after the other; with the usual interval between appends, virtual time would outrun the leases.
    options.logAppendsPerSecond = 1000000;
    return options;
}

configuration cluster()
{
    configuration value;
    value.ranks = {{.name = "urgent", .queueTarget = 60000ms, .worth = 100, .share = 0.8},
                   {.name = "routine", .queueTarget = 60000ms, .worth = 1, .share = 0.2}};
    value.pools = {{.model = "model", .pool = "engines", .adapters = {}, .version = {}}};
    value.limits.callDeadline = 30s;
    return value;
}

} // namespace

reducer_driver::reducer_driver(driver_options options)
    : m_options(std::move(options))
    , m_reducer(reducerOptions(m_options.seed))
{
}

std::vector<host_entry> reducer_driver::hosts() const
{
    std::vector<host_entry> list;
    for (std::uint32_t i = 0; i < m_options.listedDaemons; ++i) {
        list.push_back({.name = fmt::format("daemon-{}", i),
                        .kind = host_kind::Daemon,
                        .address = fmt::format("127.0.0.1:{}", 4000 + i),
                        .peerAddress = fmt::format("127.0.0.1:{}", 5000 + i),
                        .pool = {},
                        .zone = fmt::format("zone-{}", i % 10)});
    }
    for (std::uint32_t i = 0; i < m_options.engines; ++i) {
        list.push_back({.name = fmt::format("engine-{}", i),
                        .kind = host_kind::Engine,
                        .address = fmt::format("127.0.0.1:{}", 10000 + i),
                        .peerAddress = {},
                        .pool = "engines",
                        .zone = fmt::format("zone-{}", i % 10),
                        .slots = 64});
    }
    return list;
}

void reducer_driver::start()
{
    append("configuration",
           encodeBatch({.writer = {"operator", 1},
                        .firstSequence = 1,
                        .records = {configuration_published{.text = printConfiguration(cluster())}}}));
    deliver(tick{});
    deliver(host_list_received{hosts()});
    runFor(settlingTime);
    if (!m_reducer.ready()) {
        throw error(result_code::InternalError, "the reducer did not become ready");
    }
}

void reducer_driver::deliver(event what)
{
    const bool isTick = std::holds_alternative<tick>(what);
    const auto before = processorNow();
    effects out = m_reducer.reduce(std::move(what), m_clock.now());
    (isTick ? m_tickSeconds : m_seconds) += processorNow() - before;
    perform(std::move(out));
}

void reducer_driver::perform(effects out)
{
    for (auto &what : out) {
        if (auto *request = std::get_if<send_log_request>(&what)) {
            send(request->request);
        } else if (auto *dispatch = std::get_if<start_dispatch>(&what)) {
            m_dispatch = std::move(*dispatch);
        } else if (auto *answer = std::get_if<finish_call>(&what)) {
            m_answer = std::move(*answer);
        } else if (auto *refused = std::get_if<refuse_call>(&what)) {
            m_refused = std::move(refused->reason);
        }
    }
}

log_offset reducer_driver::append(const std::string &stream, std::string payload)
{
    auto &state = m_streams[stream];
    if (stream.starts_with("journal.")) {
        m_journal = stream;
        ++m_volume.appends;
        m_volume.bytes += payload.size();
        if (const auto batch = decodeBatch(payload)) {
            m_volume.records += batch->records.size();
        }
    }
    state.records.push_back({state.end, std::move(payload)});
    return state.end++;
}

read_result reducer_driver::read(const read_request &request)
{
    auto &state = m_streams[request.stream];
    if (!m_options.keepJournal && request.stream == m_journal) {
        std::erase_if(state.records, [&](const raw_record &record) { return record.offset < request.from; });
        state.records.shrink_to_fit();
    }
    read_result result{.stream = request.stream, .tag = request.tag, .ok = true, .records = {}, .first = 1};
    result.end = state.end;
    const log_offset first = state.records.empty() ? state.end : state.records.front().offset;
    for (auto i = std::max(request.from, first); i < state.end && result.records.size() < request.limit; ++i) {
        result.records.push_back(state.records[i - first]);
    }
    return result;
}

void reducer_driver::send(const log_request &request)
{
    const auto when = m_clock.now() + logDelay;
    if (const auto *write = std::get_if<append_request>(&request)) {
        m_events.push_back({when, append_finished{{write->stream, append(write->stream, write->payload)}}});
    } else {
        m_events.push_back({when, read_finished{read(std::get<read_request>(request))}});
    }
}

void reducer_driver::step()
{
    auto next = m_reducer.nextDeadline().value_or(m_clock.now() + 1s);
    if (!m_events.empty()) {
        next = std::min(next, m_events.front().when);
    }
    m_clock.advanceTo(next);
    if (!m_events.empty() && m_events.front().when <= m_clock.now()) {
        auto what = std::move(m_events.front().what);
        m_events.pop_front();
        deliver(std::move(what));
    } else {
        deliver(tick{});
    }
}

void reducer_driver::runFor(std::chrono::milliseconds time)
{
    const auto end = m_clock.now() + time;
    while (m_clock.now() < end) {
        step();
    }
}

finish_call reducer_driver::call(call_request request, std::uint32_t pieces)
{
    m_answer.reset();
    m_refused.reset();
    m_dispatch.reset();
    deliver(call_arrived{request_handle{++m_lastRequest}, std::move(request), {}});
    for (int i = 0; i < 10000 && !m_answer && !m_refused; ++i) {
        if (m_dispatch) {
            const auto dispatch = *std::exchange(m_dispatch, std::nullopt);
            m_clock.advance(1ms);
            for (std::uint32_t piece = 0; piece < pieces; ++piece) {
                deliver(dispatch_progress{dispatch.dispatch, dispatch.requestId, m_options.answerPiece});
            }
            deliver(dispatch_finished{.dispatch = dispatch.dispatch,
                                      .requestId = dispatch.requestId,
                                      .used = {.promptTokens = 100, .completionTokens = token_count{4} * pieces},
                                      .body = {}});
        } else {
            step();
        }
    }
    if (!m_answer) {
        throw error(result_code::InternalError, m_refused ? m_refused->message : "no answer");
    }
    return *std::exchange(m_answer, std::nullopt);
}

const core &reducer_driver::reducer() const
{
    return m_reducer;
}

double reducer_driver::eventSeconds() const
{
    return m_seconds;
}

double reducer_driver::processorSeconds() const
{
    return m_seconds + m_tickSeconds;
}

std::vector<shard_index> reducer_driver::servedShards() const
{
    return m_reducer.dump(m_clock.now())["ownership"]["served_shards"].get<std::vector<shard_index>>();
}

const log_volume &reducer_driver::journalVolume() const
{
    return m_volume;
}

const std::vector<raw_record> &reducer_driver::journal() const
{
    return m_streams.at(m_journal).records;
}

const std::string &reducer_driver::journalName() const
{
    return m_journal;
}

daemon_identity reducer_driver::identity() const
{
    return {"daemon-0", ownIncarnation};
}

} // namespace jackdawpick
