#pragma once

#include "core/core.h"
#include "settings/settings.h"

namespace jackdawpick
{

// The reducer's options from the daemon's settings. Throws error(SettingsInvalid) for an unknown policy.
[[nodiscard]] core_options coreOptions(const daemon_settings &settings, const member_identity &self);

} // namespace jackdawpick
