#pragma once

// The configuration in force, decided by the order of stream `configuration`. A publication counts if its base version
// is the current version and its text validates; its offset becomes the new version. Every daemon that reads the same
// records comes to the same verdict, and the version never decreases.
//
//   config_log log;
//   for (const auto &outcome : log.onRecords(records, now)) { ... }
//   const configuration &current = log.current();

#include "configuration/configuration.h"
#include "journal/journal.h"

namespace jackdawpick
{

// Verdict on one publication, in log order.
struct publication_outcome
{
    std::uint64_t publication = 0;
    result_code code = result_code::Ok; // Ok, ConfigurationConflict or ConfigurationInvalid.
    log_offset version = 0; // The version in force after the verdict.
    std::vector<configuration_error> errors;
};

class config_log
{
public:
    // Applies records of stream `configuration`; other record types are ignored.
    [[nodiscard]] std::vector<publication_outcome> onRecords(const std::vector<stream_record> &records, time_point now);
    // A copy from a peer, for speed only: adopted if newer than the version in force and valid.
    bool onPeerCopy(log_offset version, const std::string &text);

    [[nodiscard]] log_offset version() const; // 0 before the first accepted publication.
    [[nodiscard]] const configuration &current() const;
    [[nodiscard]] const std::string &text() const;

    // The record that keeps the current version past the retention, once `renewAfter` has passed since it was last
    // written. The caller submits it to stream `configuration`. Asked for by every daemon with its own delay, so that
    // one renewal usually suffices.
    [[nodiscard]] std::optional<configuration_renewed> dueRenewal(std::chrono::milliseconds renewAfter, time_point now);
};

} // namespace jackdawpick
