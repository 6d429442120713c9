#pragma once

// One reducer with an in-memory log and one engine on virtual time, to measure its processor time and memory.
//
//   reducer_driver driver({.seed = 7});
//   driver.start();
//   auto answer = driver.call(request, 16);  // 16 pieces of streamed text
//   driver.processorSeconds();               // spent inside reduce() so far

#include "core/core.h"

#include <deque>

namespace jackdawpick
{

struct driver_options
{
    std::uint64_t seed = 1;
    std::uint32_t listedDaemons = 1; // With this one; the others are only names in the host list.
    std::uint32_t engines = 1;
    bool keepJournal = false; // Keeps all batches of the journal; otherwise only what is still to be read.
    std::string answerPiece = "sixteen letters.";
};

struct log_volume
{
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    std::uint64_t bytes = 0; // Encoded batches, before base64.
};

class reducer_driver
{
public:
    explicit reducer_driver(driver_options options);

    // Publishes a configuration and runs until the shards are claimed. Throws error(InternalError) if not ready.
    void start();
    // Runs one call from arrival to the durable answer. Throws error(InternalError) if it is refused.
    [[nodiscard]] finish_call call(call_request request, std::uint32_t pieces);
    // Applies an event and performs its effects.
    void deliver(event what);
    // Advances virtual time and delivers log answers and ticks.
    void runFor(std::chrono::milliseconds time);

    [[nodiscard]] const core &reducer() const;
    [[nodiscard]] double processorSeconds() const;
    // Without ticks, which cost the same without calls.
    [[nodiscard]] double eventSeconds() const;
    [[nodiscard]] std::vector<shard_index> servedShards() const;
    [[nodiscard]] const log_volume &journalVolume() const;
    [[nodiscard]] const std::vector<raw_record> &journal() const; // Only with keepJournal.
    [[nodiscard]] const std::string &journalName() const;
    [[nodiscard]] std::vector<host_entry> hosts() const;
    [[nodiscard]] daemon_identity identity() const;

private:
    struct stream_state
    {
        std::vector<raw_record> records;
        log_offset end = 1;
    };
    struct pending_event
    {
        time_point when;
        event what;
    };

    void perform(effects out);
    void send(const log_request &request);
    [[nodiscard]] read_result read(const read_request &request);
    log_offset append(const std::string &stream, std::string payload);
    void step();

    driver_options m_options;
    manual_clock m_clock;
    core m_reducer;
    std::map<std::string, stream_state> m_streams;
    std::deque<pending_event> m_events;
    double m_seconds = 0; // Of all events but ticks.
    double m_tickSeconds = 0;
    std::uint64_t m_lastRequest = 0;
    std::string m_journal;
    log_volume m_volume;
    std::optional<finish_call> m_answer;
    std::optional<refusal> m_refused;
    std::optional<start_dispatch> m_dispatch;
};

} // namespace jackdawpick
