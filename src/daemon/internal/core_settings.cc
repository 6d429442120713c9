#include "daemon/internal/core_settings.h"

#include "scheduler/scheduler_options.h"

#include <fmt/format.h>

namespace jackdawpick
{

namespace
{

template<typename Policy>
Policy requirePolicy(const std::optional<Policy> &policy, const std::string &key, const std::string &name)
{
    if (!policy) {
        throw error(result_code::SettingsInvalid, fmt::format("scheduler.{}: unknown policy \"{}\"", key, name));
    }
    return *policy;
}

} // namespace

core_options coreOptions(const daemon_settings &settings, const member_identity &self)
{
    auto scheduling = std::make_shared<scheduler_options>();
    scheduling->order = requirePolicy(orderFromName(settings.order), "order", settings.order);
    scheduling->routing = requirePolicy(routingFromName(settings.routing), "routing", settings.routing);
    scheduling->admission = requirePolicy(admissionFromName(settings.admission), "admission", settings.admission);
    core_options options;
    options.self = self;
    options.seed = self.daemon.incarnation;
    options.logAppendsPerSecond = settings.appendsPerSecond;
    options.retention = settings.retention;
    options.configurationPollInterval = settings.configurationPoll;
    options.ownershipPollInterval = settings.ownershipPoll;
    options.logTimeout = settings.logTimeout;
    options.endpointIdleTimeout = settings.silence;
    options.drainTimeout = settings.drainBound;
    options.maxBufferedBytes = settings.maxBufferedBytes;
    options.maxAttempts = settings.maxAttempts;
    options.receiptKey = settings.receiptKey;
    options.members.neighboursEachSide = settings.neighboursEachSide;
    options.members.heartbeatInterval = settings.heartbeatInterval;
    options.members.suspectAfter = settings.suspectAfter;
    options.members.entryListLifetime = settings.entryKeep;
    options.scheduling = std::move(scheduling);
    return options;
}

} // namespace jackdawpick
