#pragma once

// Folds journal records into program states, for the ledger and for takeovers, so that both derive the same state.
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

// A program as the records of its journal describe it.
struct replayed_program
{
    program_state state;
    std::optional<call_reserved> openIntent; // Reserved and not settled.
    bool operator==(const replayed_program &) const = default;
};

class program_replay
{
public:
    // Applies a record of a program; others are ignored, and so are records of a program whose first record is missing.
    // `offset` and `journal` become the place of a settled turn.
    void apply(const log_record &record, log_offset offset, const std::string &journal);

    [[nodiscard]] const replayed_program *find(const program_key &key) const;
    // In the order of their keys; leaves this object empty.
    [[nodiscard]] std::vector<replayed_program> takeAll();
    void clear();

private:
    void apply(replayed_program &program, const call_settled &record, log_offset offset, const std::string &journal);

    std::unordered_map<program_key, replayed_program> m_programs;
};

// One shard in one journal. The journal may hold several epochs of the shard, each under its own fence. An epoch begins
// with a seal by the journal's own writer, which directly precedes the snapshots, and is served from shard_opened on. A
// seal with a higher fence ends it; records after that belong to no epoch until the writer begins another one.
class shard_replay
{
public:
    explicit shard_replay(shard_index shard);

    // Records in log order; those of other shards are ignored. `writer` is the daemon that the journal belongs to.
    void apply(const stream_record &record, const daemon_identity &writer, const std::string &journal);

    // The programs of the epoch that was opened under `token`, as they were when it was sealed; nothing if the shard
    // was never opened under that fence. The epoch must have been sealed.
    [[nodiscard]] std::optional<std::vector<replayed_program>> takeEpoch(fence token);

private:
    void onSeal(const shards_sealed &seal, const daemon_identity &writer);

    shard_index m_shard;
    fence m_token = 0; // Highest fence seen in a seal or in shard_opened.
    bool m_void = false; // After a seal by another daemon.
    bool m_opened = false;
    program_replay m_programs;
    std::map<fence, std::vector<replayed_program>> m_epochs; // Opened and sealed, by fence.
};

} // namespace jackdawpick
