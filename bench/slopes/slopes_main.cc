#include "caller_api/caller_api.h"
#include "ledger_replay/ledger_replay.h"
#include "slopes/counting_allocator.h"
#include "slopes/reducer_driver.h"

#include <cstdio>
#include <ctime>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

// Prints one figure a line, "name unit size=value size=value ...", for scripts/slopes, which fits the lines.
// Usage: slopes_measure [seed]

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t usualPieces = 16;
constexpr std::size_t usualMessageBytes = 256;
constexpr std::uint32_t targetDaemons = 340; // A daemon then owns about three shards.

struct figure
{
    std::string name;
    std::string unit;
    std::vector<std::pair<double, double>> values; // By size.

    void print() const
    {
        fmt::print("{} {}", name, unit);
        for (const auto &[size, value] : values) {
            fmt::print(" {:.6g}={:.6g}", size, value);
        }
        fmt::print("\n");
        std::fflush(stdout);
    }
};

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::string textOfBytes(std::size_t bytes)
{
    std::string text = "A caller asks what the tide does at noon. ";
    while (text.size() < bytes) {
        text += text;
    }
    text.resize(bytes);
    return text;
}

program_key keyOf(std::uint32_t number, const std::vector<shard_index> &shards)
{
    return {"wanza", fmt::format("s{}.program-{}", shards.at(number % shards.size()), number)};
}

// The callers of a measurement: each keeps its whole history, as a caller does.
class callers
{
public:
    explicit callers(reducer_driver &driver)
        : m_driver(driver)
        , m_shards(driver.servedShards())
    {
    }

    void turn(std::uint32_t number, std::size_t messageBytes, std::uint32_t pieces)
    {
        auto &history = m_histories[number];
        history.push_back({"user", textOfBytes(messageBytes)});
        const auto turn = static_cast<std::uint32_t>(history.size() + 1) / 2;
        call_request call{.program = keyOf(number, m_shards),
                          .turn = turn,
                          .requestId = fmt::format("{}.{}", number, turn),
                          .rank = "urgent",
                          .path = "/v1/chat/completions"};
        call.body = std::make_shared<const std::string>(history.back().content);
        call.contentDigest = digestOf(fmt::format("{} {}", number, turn));
        call.kind = model_call{.model = "model", .history = digestHistory(history), .maxTokens = 1024, .stream = true};
        call.messages = std::make_shared<const std::vector<message>>(history);
        history.push_back({"assistant", m_driver.call(std::move(call), pieces).answer});
    }

    // Opens programs 0 .. count - 1 with one turn each.
    void open(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            turn(i, usualMessageBytes, usualPieces);
        }
    }

    // Frees what callers keep, so that it does not count as the daemon's memory.
    void forget()
    {
        m_histories.clear();
    }

private:
    reducer_driver &m_driver;
    std::vector<shard_index> m_shards;
    std::map<std::uint32_t, std::vector<message>> m_histories;
};

void measurePrograms(std::uint64_t seed)
{
    figure heap{"program_heap", "bytes/programs", {}};
    figure call{"call_processor", "us/programs", {}};
    for (const std::uint32_t programs : {1000U, 10000U, 50000U}) {
        const auto before = heapBytes();
        reducer_driver driver({.seed = seed, .listedDaemons = targetDaemons});
        driver.start();
        const auto empty = heapBytes();
        callers all(driver);
        all.open(programs);
        constexpr std::uint32_t calls = 1000;
        const auto start = driver.eventSeconds();
        for (std::uint32_t i = 0; i < calls; ++i) {
            all.turn(i, usualMessageBytes, usualPieces);
        }
        call.values.emplace_back(programs, (driver.eventSeconds() - start) / calls * 1e6);
        all.forget();
        heap.values.emplace_back(programs, static_cast<double>(heapBytes() - empty));
        if (programs == 1000U) {
            figure base{"reducer_heap_empty", "bytes/daemons", {{targetDaemons, static_cast<double>(empty - before)}}};
            base.print();
        }
    }
    heap.print();
    call.print();
}

void measureAnswers(std::uint64_t seed)
{
    figure heap{"program_heap_by_answer", "bytes/answer_bytes", {}};
    for (const std::uint32_t pieces : {16U, 64U, 256U}) {
        constexpr std::uint32_t programs = 500;
        reducer_driver driver({.seed = seed});
        driver.start();
        const auto empty = heapBytes();
        callers all(driver);
        for (std::uint32_t i = 0; i < programs; ++i) {
            all.turn(i, usualMessageBytes, pieces);
        }
        all.forget();
        heap.values.emplace_back(pieces * 16.0, static_cast<double>(heapBytes() - empty) / programs);
    }
    heap.print();
}

// `listed` daemons share the shards.
void measurePieces(const std::string &name, std::uint32_t listed, std::uint64_t seed)
{
    figure call{name, "us/pieces", {}};
    reducer_driver driver({.seed = seed, .listedDaemons = listed});
    driver.start();
    callers all(driver);
    constexpr std::uint32_t programs = 200;
    all.open(programs);
    for (const std::uint32_t pieces : {16U, 64U, 256U}) {
        const auto start = driver.eventSeconds();
        for (std::uint32_t i = 0; i < programs; ++i) {
            all.turn(i, usualMessageBytes, pieces);
        }
        call.values.emplace_back(pieces, (driver.eventSeconds() - start) / programs * 1e6);
    }
    call.print();
}

// Journal of a turn against the bytes of its new message; the answer has 256 bytes throughout.
void measureJournal(std::uint64_t seed)
{
    figure bytes{"turn_journal_bytes", "bytes/message_bytes", {}};
    figure records{"turn_journal_records", "records/message_bytes", {}};
    figure appends{"turn_journal_appends_alone", "appends/message_bytes", {}};
    for (const std::size_t size : {256U, 1024U, 4096U, 16384U}) {
        reducer_driver driver({.seed = seed});
        driver.start();
        callers all(driver);
        constexpr std::uint32_t programs = 200;
        constexpr std::uint32_t turns = 4;
        for (std::uint32_t i = 0; i < programs; ++i) {
            all.turn(i, size, usualPieces);
        }
        const auto before = driver.journalVolume();
        for (std::uint32_t i = 0; i < programs * turns; ++i) {
            all.turn(i % programs, size, usualPieces);
        }
        const auto after = driver.journalVolume();
        const auto perTurn = [](std::uint64_t first, std::uint64_t last) {
            return static_cast<double>(last - first) / (programs * turns);
        };
        const auto at = static_cast<double>(size);
        bytes.values.emplace_back(at, perTurn(before.bytes, after.bytes));
        records.values.emplace_back(at, perTurn(before.records, after.records));
        appends.values.emplace_back(at, perTurn(before.appends, after.appends));
    }
    bytes.print();
    records.print();
    appends.print();
}

void measureHistory()
{
    figure time{"history_parse", "us/tokens", {}};
    figure heap{"history_heap", "bytes/tokens", {}};
    for (const std::size_t tokens : {1000U, 10000U, 100000U, 460000U}) {
        constexpr std::size_t messageTokens = 250;
        nlohmann::json body = {{"model", "model"},
                               {"jackdawpick", {{"customer", "wanza"}, {"program", "p"}, {"turn", 1}}}};
        for (std::size_t i = 0; i < tokens / messageTokens; ++i) {
            body["messages"].push_back(
                {{"role", i % 2 == 0 ? "user" : "assistant"}, {"content", textOfBytes(messageTokens * bytesPerToken)}});
        }
        const auto text = std::make_shared<const std::string>(body.dump());
        body = {};
        const auto before = heapBytes();
        const auto held = parseCall("/v1/chat/completions", text, {});
        if (!std::holds_alternative<call_request>(held)) {
            throw error(result_code::InternalError, std::get<refusal>(held).message);
        }
        // With the body, which the caller's request holds as well.
        heap.values.emplace_back(tokens,
                                 static_cast<double>(heapBytes() - before) + static_cast<double>(text->capacity()));
        const auto rounds = std::max<std::size_t>(1000000 / tokens, 3);
        const auto start = processorSeconds();
        for (std::size_t i = 0; i < rounds; ++i) {
            if (!std::holds_alternative<call_request>(parseCall("/v1/chat/completions", text, {}))) {
                throw error(result_code::InternalError, "refused");
            }
        }
        time.values.emplace_back(tokens, (processorSeconds() - start) / static_cast<double>(rounds) * 1e6);
    }
    time.print();
    heap.print();
}

struct replay_cost
{
    double seconds = 0;
    double bytes = 0;
};

// Reads a journal back as a takeover does: batches through log_stream, records through one shard_replay a shard.
replay_cost replayJournal(std::uint64_t seed, std::uint32_t programs, std::uint32_t turns)
{
    reducer_driver driver({.seed = seed, .listedDaemons = targetDaemons, .keepJournal = true});
    driver.start();
    callers all(driver);
    for (std::uint32_t turn = 0; turn < turns; ++turn) {
        for (std::uint32_t i = 0; i < programs; ++i) {
            all.turn(i, usualMessageBytes, usualPieces);
        }
    }
    const auto &batches = driver.journal();
    replay_cost cost;
    for (const auto &batch : batches) {
        cost.bytes += static_cast<double>(batch.payload.size());
    }
    const auto start = processorSeconds();
    log_stream reader(driver.journalName(), {"daemon-1", 2}, {});
    std::vector<shard_replay> shards;
    for (const auto shard : driver.servedShards()) {
        shards.emplace_back(shard);
    }
    constexpr std::size_t readLimit = 256;
    for (std::size_t i = 0; i < batches.size(); i += readLimit) {
        const auto last = std::min(i + readLimit, batches.size());
        read_result result{.stream = driver.journalName(),
                           .ok = true,
                           .records = {batches.begin() + static_cast<std::ptrdiff_t>(i),
                                       batches.begin() + static_cast<std::ptrdiff_t>(last)},
                           .first = 1,
                           .end = batches.back().offset + 1};
        reader.requestRead();
        static_cast<void>(reader.poll(time_point(1h)));
        for (const auto &record : reader.onRead(result, time_point(1h))) {
            for (auto &shard : shards) {
                shard.apply(record, driver.identity(), driver.journalName());
            }
        }
    }
    cost.seconds = processorSeconds() - start;
    return cost;
}

void measureTakeover(std::uint64_t seed)
{
    figure time{"takeover_replay", "ms/live_programs", {}};
    figure bytes{"takeover_journal", "bytes/live_programs", {}};
    for (const std::uint32_t programs : {500U, 1200U, 5000U}) {
        const auto cost = replayJournal(seed, programs, 2);
        time.values.emplace_back(programs, cost.seconds * 1e3);
        bytes.values.emplace_back(programs, cost.bytes);
    }
    time.print();
    bytes.print();
    figure turns{"takeover_replay_by_turns", "ms/turns_in_journal", {}};
    figure turnBytes{"takeover_journal_by_turns", "bytes/turns_in_journal", {}};
    for (const std::uint32_t count : {2U, 8U, 32U}) {
        constexpr std::uint32_t programs = 400;
        const auto cost = replayJournal(seed, programs, count);
        turns.values.emplace_back(programs * count, cost.seconds * 1e3);
        turnBytes.values.emplace_back(programs * count, cost.bytes);
    }
    turns.print();
    turnBytes.print();
}

// A daemon without calls: its ticks and log polls, and the host list of each second.
void measureIdle(std::uint64_t seed)
{
    figure byDaemons{"reducer_idle_processor", "us_per_s/listed_daemons", {}};
    for (const std::uint32_t daemons : {3U, 20U, 100U, 340U}) {
        reducer_driver driver({.seed = seed, .listedDaemons = daemons, .engines = 10});
        driver.start();
        const auto start = driver.processorSeconds();
        constexpr int seconds = 20;
        for (int i = 0; i < seconds; ++i) {
            driver.deliver(host_list_received{driver.hosts()});
            driver.runFor(1s);
        }
        byDaemons.values.emplace_back(daemons, (driver.processorSeconds() - start) / seconds * 1e6);
    }
    byDaemons.print();
    figure list{"reducer_host_list", "us/listed_engines", {}};
    figure load{"reducer_load_report", "us/listed_engines", {}};
    figure heap{"reducer_heap_by_engines", "bytes/listed_engines", {}};
    for (const std::uint32_t engines : {100U, 500U, 2500U}) {
        const auto empty = heapBytes();
        reducer_driver driver({.seed = seed, .listedDaemons = 340, .engines = engines});
        driver.start();
        heap.values.emplace_back(engines, static_cast<double>(heapBytes() - empty));
        constexpr int rounds = 50;
        auto start = driver.processorSeconds();
        for (int i = 0; i < rounds; ++i) {
            driver.deliver(host_list_received{driver.hosts()});
        }
        list.values.emplace_back(engines, (driver.processorSeconds() - start) / rounds * 1e6);
        constexpr std::uint32_t reports = 5000;
        start = driver.processorSeconds();
        for (std::uint32_t i = 0; i < reports; ++i) {
            driver.deliver(load_received{.endpoint = fmt::format("engine-{}", i % engines),
                                         .report = {.running = i % 7, .slots = 64}});
        }
        load.values.emplace_back(engines, (driver.processorSeconds() - start) / reports * 1e6);
    }
    list.print();
    load.print();
    heap.print();
}

void measureFrames()
{
    figure beat{"heartbeat_frame", "bytes/name_bytes", {}};
    for (const std::size_t name : {8U, 16U, 32U}) {
        const heartbeat value{{std::string(name, 'd'), 0x1234567890abcdefU}, "zone-1", 1234567, false};
        beat.values.emplace_back(name, static_cast<double>(encodeFrame(value).size()));
    }
    beat.print();
}

} // namespace

} // namespace jackdawpick

int main(int count, char **values)
{
    using namespace jackdawpick;
    logging::setLevel(log_level::Error);
    try {
        const std::uint64_t seed = count > 1 ? std::stoull(values[1]) : 20261204;
        measureFrames();
        measureHistory();
        measurePieces("call_processor_by_pieces", targetDaemons, seed);
        measurePieces("call_processor_by_pieces_alone", 1, seed);
        measureJournal(seed);
        measureAnswers(seed);
        measureIdle(seed);
        measureTakeover(seed);
        measurePrograms(seed);
    } catch (const std::exception &problem) {
        fmt::print(stderr, "slopes_measure: {}\n", problem.what());
        return 1;
    }
    return 0;
}
