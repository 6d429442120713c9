// Encoding of the records of leases.

#include "quotas/quotas.h"

#include <algorithm>
#include <iterator>
#include <lease_record_generated.h>

namespace jackdawpick::quotas
{

std::string encodeLeaseRecord(const lease_record &record)
{
    flatbuffers::FlatBufferBuilder out;
    std::vector<flatbuffers::Offset<fbs::TenantLevel>> levels;
    std::ranges::transform(record.levels, std::back_inserter(levels), [&out](const tenant_level &entry) {
        return fbs::CreateTenantLevel(out, out.CreateString(entry.tenant), entry.level);
    });
    const auto daemon = out.CreateString(record.daemon);
    out.Finish(fbs::CreateLeaseRecord(out, static_cast<fbs::LeaseKind>(record.kind), daemon, record.incarnation,
                                      record.serial, record.reach, static_cast<std::uint32_t>(record.idle.count()),
                                      out.CreateVector(levels)));
    return {reinterpret_cast<const char *>(out.GetBufferPointer()), out.GetSize()};
}

std::optional<lease_record> decodeLeaseRecord(std::string_view bytes)
{
    // FlatBuffers requires an aligned buffer.
    const std::string aligned(bytes);
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(aligned.data()), aligned.size());
    if (!verifier.VerifyBuffer<fbs::LeaseRecord>(nullptr)) {
        return std::nullopt;
    }
    const auto *root = flatbuffers::GetRoot<fbs::LeaseRecord>(aligned.data());
    if (root->kind() > fbs::LeaseKind::Claim) {
        return std::nullopt;
    }
    lease_record record{.kind = static_cast<lease_kind>(root->kind()),
                        .daemon = root->daemon()->str(),
                        .incarnation = root->incarnation(),
                        .serial = root->serial(),
                        .reach = root->reach(),
                        .idle = std::chrono::milliseconds(root->idle_ms()),
                        .levels = {}};
    if (root->levels() != nullptr) {
        std::ranges::transform(*root->levels(), std::back_inserter(record.levels), [](const auto *entry) {
            return tenant_level{entry->tenant()->str(), entry->level()};
        });
    }
    return record;
}

} // namespace jackdawpick::quotas
