#pragma once

// The configuration in force, determined by the records of stream `configuration`. A publication is accepted if its
// base version is the current version and its text is valid; its offset becomes the new version. All daemons that read
// the same records accept the same publications, and the version never decreases.
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

// Result of one publication; results are in log order.
struct publication_outcome
{
    std::uint64_t publication = 0;
    result_code code = result_code::Ok; // Ok, ConfigurationConflict or ConfigurationInvalid.
    log_offset version = 0; // The current version after this publication.
    std::vector<configuration_error> errors;
};

// Must be deterministic: daemons that disagree on the validity of a text would disagree on the version from then on.
using configuration_parser = std::function<parsed_configuration(std::string_view)>;

class config_log
{
public:
    explicit config_log(configuration_parser parse);

    // Applies records of stream `configuration`; other record types are ignored.
    [[nodiscard]] std::vector<publication_outcome> onRecords(const std::vector<stream_record> &records, time_point now);
    // To be called when the stream has been read to its end for the first time. If records at the start of the stream
    // have expired, the version at the first retained record is unknown until a renewal states it, and no publication
    // takes effect before. Without a renewal among the retained records, the earlier configuration has expired as well,
    // and the first publication with base version 0 takes effect now.
    void onCaughtUp(time_point now);
    // Offers a configuration received from a peer, which may arrive before the log record. It is adopted if it is valid
    // and newer than the version in force.
    bool onPeerCopy(log_offset version, const std::string &text);

    [[nodiscard]] log_offset version() const; // 0 before the first accepted publication.
    [[nodiscard]] const configuration &current() const;
    [[nodiscard]] const std::string &text() const;

    // Returns a record that keeps the current version from expiring, once `renewAfter` has passed since the version was
    // last written. The caller appends it to stream `configuration`. Daemons should pass different delays, so that
    // usually only one of them writes a renewal.
    [[nodiscard]] std::optional<configuration_renewed> dueRenewal(std::chrono::milliseconds renewAfter, time_point now);

private:
    [[nodiscard]] publication_outcome evaluate(const configuration_published &published, log_offset offset,
                                               time_point now);
    void onRenewal(const configuration_renewed &renewed, time_point now);
    [[nodiscard]] bool accept(log_offset version, const std::string &text, time_point now);

    struct unconfirmed_publication
    {
        log_offset offset = 0;
        configuration_published publication;
    };

    configuration_parser m_parse;
    log_offset m_version = 0; // In force; newer than m_versionInLog after a copy from a peer was adopted.
    configuration m_current;
    std::string m_text;
    // According to the records read so far. Publications are checked against this version only.
    log_offset m_versionInLog = 0;
    time_point m_lastWritten; // When a record with the current version was last read.
    bool m_hasRead = false;
    // False if the first record read was not the start of the stream, until a renewal states the version there.
    bool m_startVersionKnown = true;
    // Read while that version is unknown; evaluated again after the first renewal.
    std::vector<unconfirmed_publication> m_unconfirmed;
};

} // namespace jackdawpick
