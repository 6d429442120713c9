// Keys of tenants: whose requests they are, and whether the configuration is new enough to tell.

#include "gateway/internal/implementation.h"
#include "gateway/internal/qualified_id.h"

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// A key that the configuration in force lacks may have been added since it was last known to be the newest. A daemon
// whose reads succeed knows of each version within the time of one long poll.
constexpr milliseconds maxAgeForUnknownKey{2000};

} // namespace

std::optional<milliseconds> gateway::implementation::configurationAge(time_point now) const
{
    const auto &watch = m_watches.at(static_cast<std::size_t>(internal::watch_id::Configuration));
    const auto shownAsOf = watch.shownAsOf();
    return shownAsOf.has_value() ? std::optional(millisecondsBetween(*shownAsOf, now)) : std::nullopt;
}

bool gateway::implementation::canCheckKeys(time_point now) const
{
    return !m_options.keyLifetime.has_value()
        || configurationAge(now).value_or(milliseconds::max()) < *m_options.keyLifetime;
}

void gateway::implementation::logKeyValidity(time_point now)
{
    if (m_table == nullptr) {
        return;
    }
    const bool checked = canCheckKeys(now);
    if (std::exchange(m_keysWereChecked, checked) != checked) {
        log(checked ? log_level::Info : log_level::Warning, checked ? "keys_checked_again" : "keys_not_checked",
            {{"configuration", m_table->source().version},
             {"asks_for_keys", m_table->asksForKeys()},
             {"age_ms", configurationAge(now).value_or(milliseconds(-1)).count()}});
    }
}

// A caller sends its request before it arrives. If the configuration is new enough at the arrival, no version that was
// acknowledged longer ago than the lifetime of keys can have taken the key away; later waits do not change that.
gateway::implementation::key_check gateway::implementation::checkKey(const caller_request &request,
                                                                     const routing::route &route, time_point now) const
{
    if (route.isPublic) {
        return {};
    }
    if (!m_table->asksForKeys()) {
        const bool mayRun = request.credentials.empty() || mayForwardCredentials(now);
        return {.refusal = mayRun ? std::nullopt : std::optional(result_code::ConfigurationStale)};
    }
    if (!canCheckKeys(now)) {
        return {.refusal = result_code::ConfigurationStale};
    }
    const auto *tenant = request.key.empty() ? nullptr : m_table->findTenant(request.key);
    if (tenant != nullptr) {
        return {.tenant = tenant};
    }
    const auto age = configurationAge(now).value_or(milliseconds::max());
    const bool mayBeNew = !request.key.empty() && age > maxAgeForUnknownKey;
    return {.refusal = mayBeNew ? result_code::ConfigurationStale : result_code::UnknownKey};
}

// Credentials of callers reach endpoints only where the configuration in force asks for no keys. With a lifetime of
// keys it must also be new enough: a later version may have brought tenants, whose keys no endpoint may see.
bool gateway::implementation::mayForwardCredentials(time_point now) const
{
    return !m_table->asksForKeys()
        && (!m_options.keyLifetime.has_value()
            || configurationAge(now).value_or(milliseconds::max()) <= maxAgeForUnknownKey);
}

// Whether the request may still be sent: it may have been taken under a configuration that asked for no keys, and wait
// while one that does comes into force, or while the former becomes too old.
bool gateway::implementation::isKeyCheckValid(const request_context &context, time_point now) const
{
    if (context.route->isPublic || context.table->asksForKeys()) {
        return true;
    }
    return !m_table->asksForKeys() && (context.request.credentials.empty() || mayForwardCredentials(now));
}

void gateway::implementation::assignTenant(request_context &context, const routing::tenant *tenant)
{
    context.callerAttempt = context.request.attempt;
    context.tenant = tenant;
    for (auto *id : {&context.request.attempt, &context.request.program, &context.request.previousTurn}) {
        *id = internal::encode({.tenant = tenant == nullptr ? std::string() : tenant->name, .id = std::move(*id)});
    }
}

} // namespace jackdawpick::gateway
