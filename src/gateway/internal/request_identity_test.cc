#include "gateway/internal/request_identity.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <xxhash.h>

namespace jackdawpick::gateway::internal
{

namespace
{

caller_request readRequest(const std::string &program, const std::string &object)
{
    return {.attempt = "a", .method = "GET", .host = "h", .path = "/p", .program = program, .affinity = object};
}

std::uint64_t hashOf(std::string_view head, std::string_view body)
{
    return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(head.data(), head.size()));
}

} // namespace

// Guards against a caller whose crashing requests have those of a tenant refused, because its ids hold spaces.
RC_GTEST_PROP(RequestIdentity, CallersAreToldApart, ())
{
    const auto text = [] {
        return *rc::gen::container<std::string>(rc::gen::element(' ', '\\', 'a'));
    };
    const auto [tenant, program, object] = std::tuple(text(), text(), text());
    const auto [otherTenant, otherProgram, otherObject] = std::tuple(text(), text(), text());
    const bool same = tenant == otherTenant && program == otherProgram && object == otherObject;
    RC_ASSERT(same
              == (identityOf(readRequest(program, object), tenant).content
                  == identityOf(readRequest(otherProgram, otherObject), otherTenant).content));
}

// Guards against builds that count the failures of one request apart while the daemons are replaced.
TEST(RequestIdentity, IsThatOfEarlierBuilds)
{
    EXPECT_EQ(identityOf(readRequest("p-1", "o-1"), {}).content, hashOf("GET h /p p-1 o-1", ""));
    EXPECT_EQ(identityOf(readRequest("3:red/p-1", ""), "red").content, hashOf("GET h /p red 3:red/p-1 ", ""));
    auto request = readRequest("p-1", "o-1");
    request.body = "text";
    EXPECT_EQ(identityOf(request, "red").content, hashOf("GET h /p red", "text"));
}

} // namespace jackdawpick::gateway::internal
