#pragma once

// The configuration in force, decided by the order of stream `configuration`. A publication counts if its base version
// is the current version and its text validates; its offset becomes the new version. Every daemon that reads the same
// records comes to the same verdict, and the version never decreases.
//
//   config_log log(parseConfiguration);
//   for (const auto &outcome : log.onRecords(records, now)) { ... }
//   const configuration &current = log.current();

#include "configuration/configuration.h"
#include "journal/journal.h"

#include <functional>
#include <utility>

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

// Must be deterministic: daemons with different verdicts on one text would disagree on the version from then on.
using configuration_parser = std::function<parsed_configuration(std::string_view)>;

class config_log
{
public:
    explicit config_log(configuration_parser parse);

    // Applies records of stream `configuration`; other record types are ignored.
    [[nodiscard]] std::vector<publication_outcome> onRecords(const std::vector<stream_record> &records, time_point now);
    // The stream has been read to its end for the first time. A reader that began behind the start of the stream puts
    // no publication in force before a renewal has told it the version there; without any renewal in the kept part the
    // earlier configuration has expired, and the first publication with base version 0 holds from here on.
    void onCaughtUp(time_point now);
    // A copy from a peer, for speed only: adopted if newer than the version in force and valid.
    bool onPeerCopy(log_offset version, const std::string &text);

    [[nodiscard]] log_offset version() const; // 0 before the first accepted publication.
    [[nodiscard]] const configuration &current() const;
    [[nodiscard]] const std::string &text() const;

    // The record that keeps the current version past the retention, once `renewAfter` has passed since it was last
    // written. The caller submits it to stream `configuration`. Asked for by every daemon with its own delay, so that
    // one renewal usually suffices.
    [[nodiscard]] std::optional<configuration_renewed> dueRenewal(std::chrono::milliseconds renewAfter, time_point now);

private:
    [[nodiscard]] publication_outcome judge(const configuration_published &what, log_offset offset, time_point now);
    void onRenewal(const configuration_renewed &what, time_point now);
    [[nodiscard]] bool accept(log_offset version, const std::string &text, time_point now);

    struct candidate
    {
        log_offset offset = 0;
        configuration_published publication;
    };

    configuration_parser m_parse;
    log_offset m_version = 0; // In force; ahead of m_logVersion after a copy from a peer.
    configuration m_current;
    std::string m_text;
    log_offset m_logVersion = 0; // By the records read so far; verdicts depend on this one only.
    time_point m_written; // When a record with the current version was last seen.
    bool m_started = false;
    // False while the reader began behind the start of the stream and no renewal has told it the version there.
    bool m_established = true;
    std::vector<candidate> m_candidates; // Publications seen until then; judged again by the first renewal.
};

} // namespace jackdawpick
