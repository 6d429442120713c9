#include "config_log/config_log.h"

#include <algorithm>

namespace jackdawpick
{

config_log::config_log(configuration_parser parse)
    : m_parse(std::move(parse))
{
}

std::vector<publication_outcome> config_log::onRecords(const std::vector<stream_record> &records, time_point now)
{
    std::vector<publication_outcome> outcomes;
    for (const auto &record : records) {
        if (!m_hasRead) {
            m_hasRead = true;
            m_startVersionKnown = record.offset == 1;
        }
        if (const auto *published = std::get_if<configuration_published>(&record.record)) {
            outcomes.push_back(evaluate(*published, record.offset, now));
            if (!m_startVersionKnown) {
                m_unconfirmed.push_back({record.offset, *published});
            }
        } else if (const auto *renewed = std::get_if<configuration_renewed>(&record.record)) {
            onRenewal(*renewed, now);
        }
    }
    return outcomes;
}

publication_outcome config_log::evaluate(const configuration_published &published, log_offset offset, time_point now)
{
    publication_outcome outcome{.publication = published.publication, .version = m_versionInLog, .errors = {}};
    if (published.baseVersion != m_versionInLog) {
        outcome.code = result_code::ConfigurationConflict;
        return outcome;
    }
    auto parsed = m_parse(published.text);
    if (!parsed.errors.empty()) {
        outcome.code = result_code::ConfigurationInvalid;
        outcome.errors = std::move(parsed.errors);
        return outcome;
    }
    if (accept(offset, published.text, now)) {
        outcome.version = offset;
    }
    return outcome;
}

// A renewal may have been written by a daemon that had not read a newer publication; it must not restore the older
// version.
void config_log::onRenewal(const configuration_renewed &renewed, time_point now)
{
    if (m_startVersionKnown) {
        m_lastWritten = renewed.version == m_versionInLog ? now : m_lastWritten;
        return;
    }
    // The version at the first retained record is now known; evaluate later publications again.
    if (m_parse(renewed.text).errors.empty()) {
        m_startVersionKnown = true;
        static_cast<void>(accept(renewed.version, renewed.text, now));
        for (const auto &[offset, publication] : std::exchange(m_unconfirmed, {})) {
            if (offset > m_versionInLog && publication.baseVersion == m_versionInLog) {
                static_cast<void>(evaluate(publication, offset, now));
            }
        }
    }
}

void config_log::onCaughtUp(time_point now)
{
    m_hasRead = true;
    if (m_startVersionKnown) {
        return;
    }
    m_startVersionKnown = true;
    for (const auto &[offset, publication] : std::exchange(m_unconfirmed, {})) {
        if (offset == m_versionInLog) {
            static_cast<void>(accept(offset, publication.text, now));
        }
    }
}

bool config_log::accept(log_offset version, const std::string &text, time_point now)
{
    auto parsed = m_parse(text);
    if (!parsed.errors.empty()) {
        return false;
    }
    m_versionInLog = version;
    m_lastWritten = now;
    if (m_startVersionKnown && version >= m_version) {
        m_version = version;
        m_text = text;
        m_current = std::move(parsed.value);
    }
    return true;
}

bool config_log::onPeerCopy(log_offset version, const std::string &text)
{
    if (version <= m_version) {
        return false;
    }
    auto parsed = m_parse(text);
    if (!parsed.errors.empty()) {
        return false;
    }
    m_version = version;
    m_text = text;
    m_current = std::move(parsed.value);
    return true;
}

log_offset config_log::version() const
{
    return m_version;
}

const configuration &config_log::current() const
{
    return m_current;
}

const std::string &config_log::text() const
{
    return m_text;
}

std::optional<configuration_renewed> config_log::dueRenewal(std::chrono::milliseconds renewAfter, time_point now)
{
    if (m_version == 0 || m_version != m_versionInLog || now < m_lastWritten + renewAfter) {
        return std::nullopt;
    }
    m_lastWritten = now;
    return configuration_renewed{m_version, m_text};
}

} // namespace jackdawpick
