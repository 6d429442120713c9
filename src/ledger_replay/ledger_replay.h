#pragma once

// Rebuilds the states of programs from the records of a journal, for takeovers.
//
//   program_replay programs;
//   programs.apply(record, "journal.addis-1.9f");
//   if (const replayed_program *program = programs.find(key)) { ... }
//
//   shard_replay shard(17);                 // one shard in one journal, with its seals
//   for (const auto &record : records) { shard.apply(record, writer, journal); }
//   std::optional<std::vector<replayed_program>> found = shard.takeEpoch(fence);

#include "journal/journal.h"

#include <unordered_map>

namespace jackdawpick
{

// State of a program as derived from the records of its journal.
struct replayed_program
{
    program_state state;
    std::optional<call_reserved> unsettledReservation; // Reserved and not settled.
    bool operator==(const replayed_program &) const = default;
};

class program_replay
{
public:
    // Applies a record of a program. Ignores other records and those of a program whose first record is missing.
    // A settled turn is located by `offset` and `journal`.
    void apply(const log_record &record, log_offset offset, const std::string &journal);

    [[nodiscard]] const replayed_program *find(const program_key &key) const;
    // Returns the programs ordered by key and leaves this object empty.
    [[nodiscard]] std::vector<replayed_program> extractAll();
    void clear();

private:
    void apply(replayed_program &program, const call_settled &record, log_offset offset, const std::string &journal);

    std::unordered_map<program_key, replayed_program> m_programs;
};

// Replays the records of one shard in one journal. The journal may hold several epochs of the shard, each under its own
// fencing token. An epoch begins with a seal by the journal's own writer, directly followed by the snapshots;
// the shard is served from the shard_opened record on. A seal with a higher token ends the epoch; later records
// belong to no epoch until the writer begins another one.
class shard_replay
{
public:
    explicit shard_replay(shard_index shard);

    // Takes records in log order and ignores those of other shards. `writer` is the daemon that owns the journal.
    void apply(const stream_record &record, const daemon_identity &writer, const std::string &journal);

    // The programs of the epoch that was opened under `token`, as of the seal that ended it; empty if the shard was
    // never opened under that token. The epoch must have been sealed.
    [[nodiscard]] std::optional<std::vector<replayed_program>> takeEpoch(fence token);

private:
    void onSeal(const shards_sealed &seal, const daemon_identity &writer);

    shard_index m_shard;
    fence m_highestFence = 0; // Highest fencing token seen in a seal or in shard_opened.
    bool m_sealedByOther = false; // The last seal came from another daemon, so records are void.
    bool m_opened = false;
    program_replay m_programs;
    std::map<fence, std::vector<replayed_program>> m_epochs; // Opened and sealed, by fence.
};

} // namespace jackdawpick
