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
        if (!m_started) {
            m_started = true;
            m_established = record.offset == 1;
        }
        if (const auto *published = std::get_if<configuration_published>(&record.record)) {
            outcomes.push_back(judge(*published, record.offset, now));
            if (!m_established) {
                m_candidates.push_back({record.offset, *published});
            }
        } else if (const auto *renewed = std::get_if<configuration_renewed>(&record.record)) {
            onRenewal(*renewed, now);
        }
    }
    return outcomes;
}

publication_outcome config_log::judge(const configuration_published &what, log_offset offset, time_point now)
{
    publication_outcome outcome{.publication = what.publication, .version = m_logVersion, .errors = {}};
    if (what.baseVersion != m_logVersion) {
        outcome.code = result_code::ConfigurationConflict;
        return outcome;
    }
    auto parsed = m_parse(what.text);
    if (!parsed.errors.empty()) {
        outcome.code = result_code::ConfigurationInvalid;
        outcome.errors = std::move(parsed.errors);
        return outcome;
    }
    if (accept(offset, what.text, now)) {
        outcome.version = offset;
    }
    return outcome;
}

// A renewal written before its writer had read a newer publication must not bring the older version back.
void config_log::onRenewal(const configuration_renewed &what, time_point now)
{
    if (m_established) {
        m_written = what.version == m_logVersion ? now : m_written;
        return;
    }
    // The version at the start of the kept part is known now; what was published since is judged again.
    if (m_parse(what.text).errors.empty()) {
        m_established = true;
        static_cast<void>(accept(what.version, what.text, now));
        for (const auto &[offset, publication] : std::exchange(m_candidates, {})) {
            if (offset > m_logVersion && publication.baseVersion == m_logVersion) {
                static_cast<void>(judge(publication, offset, now));
            }
        }
    }
}

void config_log::onCaughtUp(time_point now)
{
    m_started = true;
    if (m_established) {
        return;
    }
    m_established = true;
    for (const auto &[offset, publication] : std::exchange(m_candidates, {})) {
        if (offset == m_logVersion) {
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
    m_logVersion = version;
    m_written = now;
    if (m_established && version >= m_version) {
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
    if (m_version == 0 || m_version != m_logVersion || now < m_written + renewAfter) {
        return std::nullopt;
    }
    m_written = now;
    return configuration_renewed{m_version, m_text};
}

} // namespace jackdawpick
