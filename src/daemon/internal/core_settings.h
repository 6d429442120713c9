#pragma once

#include "core/core.h"
#include "settings/settings.h"

namespace jackdawpick
{

// Converts the daemon's settings to the options of the reducer. Throws error(SettingsInvalid) for an unknown policy.
[[nodiscard]] core_options coreOptions(const daemon_settings &settings, const member_identity &self);

} // namespace jackdawpick
