// Keys of tenants: whose requests they are, what endpoints are told, and what an old configuration may still allow.

#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds keyLifetime{4900};
// Within which daemons that reach the store follow a configuration.
constexpr std::chrono::milliseconds configurationApplyTime{3000};

routing::configuration configurationWithTenants(std::uint64_t version, std::vector<std::string> keysOfRed)
{
    auto configuration = initialConfiguration();
    configuration.version = version;
    configuration.tenants = std::vector<routing::tenant>{{.name = "red", .keys = std::move(keysOfRed), .rank = 3},
                                                         {.name = "blue", .keys = {"blue-key"}}};
    auto open = configuration.routes[1];
    open.name = "open";
    open.pathPrefix = "/open/";
    open.isPublic = true;
    configuration.routes.push_back(open);
    auto openModel = configuration.routes[0];
    openModel.name = "open-model";
    openModel.pathPrefix = "/model/open/";
    openModel.isPublic = true;
    configuration.routes.push_back(openModel);
    return configuration;
}

// A turn of a caller without a key.
caller_request publicTurn(const std::string &program, const std::string &attempt, std::uint32_t budget = 1000,
                          const std::string &previous = {})
{
    auto request = modelTurn(program, attempt, budget, previous);
    request.path = "/model/open/turn";
    request.target = request.path;
    return request;
}

caller_request withKey(caller_request request, const std::string &key)
{
    request.key = key;
    request.credentials = {{"authorization", "Token " + key}};
    return request;
}

// A world whose configuration holds the tenants `red` and `blue`.
class tenant_world : public gateway_world
{
public:
    explicit tenant_world(int daemons)
        : gateway_world({.daemons = daemons, .keyLifetime = keyLifetime})
    {
        warmUp();
        publish(configurationWithTenants(2, {"red-key", "old-key"}));
        runFor(500ms);
    }
};

bool hasHeader(const endpoint_run &run, std::string_view name)
{
    return std::ranges::any_of(run.headers, [name](const auto &header) { return header.first == name; });
}

const endpoint_run *runOf(const gateway_world &world, std::string_view attempt)
{
    const auto found = std::ranges::find(world.runs, attempt, &endpoint_run::attempt);
    return found == world.runs.end() ? nullptr : &*found;
}

} // namespace

// Guards against endpoints that see the key of a tenant, or do not learn whose request they run.
TEST(TenantKeys, EndpointLearnsTheTenantAndNotTheKey)
{
    tenant_world world(1);
    EXPECT_EQ(world.sendAndWait(0, withKey(shopRequest("/read/1", "a1"), "red-key")).status, 200);
    const auto *run = runOf(world, "a1");
    ASSERT_NE(run, nullptr);
    EXPECT_EQ(run->tenant, "red");
    EXPECT_FALSE(hasHeader(*run, "authorization"));
}

// Guards against requests that run without a key that the configuration holds.
TEST(TenantKeys, UnknownAndMissingKeysAreRefused)
{
    tenant_world world(1);
    EXPECT_EQ(world.sendAndWait(0, withKey(shopRequest("/read/1", "a1"), "no-key")).refusal, result_code::UnknownKey);
    EXPECT_EQ(world.sendAndWait(0, shopRequest("/read/1", "a2")).status, 401);
    EXPECT_EQ(runOf(world, "a1"), nullptr);
    EXPECT_EQ(runOf(world, "a2"), nullptr);
}

// Guards against public routes that ask for a key, or pass one on.
TEST(TenantKeys, PublicRoutesNeedNoKey)
{
    tenant_world world(1);
    EXPECT_EQ(world.sendAndWait(0, shopRequest("/open/1", "a1")).status, 200);
    EXPECT_EQ(world.sendAndWait(0, withKey(shopRequest("/open/1", "a2"), "red-key")).status, 200);
    const auto *run = runOf(world, "a2");
    ASSERT_NE(run, nullptr);
    EXPECT_FALSE(hasHeader(*run, "authorization"));
    EXPECT_TRUE(run->tenant.empty());
}

// Guards against deployments without tenants whose endpoints no longer get the credentials of their callers.
TEST(TenantKeys, CredentialsAreForwardedWhereThereAreNoTenants)
{
    gateway_world world({.daemons = 1, .keyLifetime = keyLifetime});
    world.warmUp();
    EXPECT_EQ(world.sendAndWait(0, withKey(shopRequest("/read/1", "a1"), "red-key")).status, 200);
    const auto *run = runOf(world, "a1");
    ASSERT_NE(run, nullptr);
    EXPECT_TRUE(hasHeader(*run, "authorization"));
    EXPECT_TRUE(run->tenant.empty());
}

// Guards against a key that still works after the configuration that removes it, and one that does not work after the
// configuration that adds it.
TEST(TenantKeys, KeysFollowTheConfiguration)
{
    tenant_world world(2);
    EXPECT_EQ(world.sendAndWait(0, withKey(shopRequest("/read/1", "a1"), "old-key")).status, 200);
    world.publish(configurationWithTenants(3, {"red-key", "new-key"}));
    world.runFor(configurationApplyTime);
    EXPECT_EQ(world.sendAndWait(1, withKey(shopRequest("/read/1", "a2"), "old-key")).status, 401);
    EXPECT_EQ(world.sendAndWait(1, withKey(shopRequest("/read/1", "a3"), "new-key")).status, 200);
}

// Guards against keys that are served, and shown to endpoints, once a configuration takes the last tenant away, also by
// a daemon that knows nothing of the versions before.
TEST(TenantKeys, NoKeyIsServedOnceThereAreNoTenantsLeft)
{
    tenant_world world(2);
    auto emptied = configurationWithTenants(3, {});
    emptied.tenants->clear();
    world.publish(emptied);
    world.runFor(configurationApplyTime);
    world.kill(1);
    world.start(1);
    world.warmUp();
    for (const int daemon : {0, 1}) {
        for (const auto *key : {"red-key", "blue-key", "no-key"}) {
            const auto request = withKey(shopRequest("/read/1", fmt::format("{}-{}", key, daemon)), key);
            EXPECT_EQ(world.sendAndWait(daemon, request).status, 401);
            EXPECT_EQ(runOf(world, request.attempt), nullptr);
        }
        EXPECT_EQ(world.sendAndWait(daemon, shopRequest("/read/1", fmt::format("none-{}", daemon))).status, 401);
        EXPECT_EQ(world.sendAndWait(daemon, shopRequest("/open/1", fmt::format("open-{}", daemon))).status, 200);
    }
    world.publish(configurationWithTenants(4, {"red-key"}));
    world.runFor(configurationApplyTime);
    EXPECT_EQ(world.sendAndWait(1, withKey(shopRequest("/read/1", "back"), "red-key")).status, 200);
    EXPECT_EQ(world.sendAndWait(1, withKey(shopRequest("/read/1", "unknown"), "no-key")).status, 401);
}

// Guards against keys shown to endpoints by a daemon that is cut off from the store and does not know of the first
// tenants. Requests without credentials are served meanwhile, and all of them where keys have no lifetime.
TEST(TenantKeys, CredentialsAreNotForwardedUnderAnOldConfiguration)
{
    for (const bool isStrict : {true, false}) {
        world_options options{.daemons = 2};
        if (isStrict) {
            options.keyLifetime = keyLifetime;
        }
        gateway_world world(options);
        world.warmUp();
        world.storeBehaviours[0].refuses = true;
        world.blockedLinks = {{0, 1}, {1, 0}};
        world.runFor(100ms);
        world.publish(configurationWithTenants(2, {"red-key"}));
        world.runFor(configurationApplyTime);
        for (int i = 0; i < 6; ++i) {
            const auto attempt = fmt::format("a{}", i);
            const auto &response = world.sendAndWait(0, withKey(shopRequest("/pay/1", attempt), "red-key"));
            EXPECT_EQ(response.status, isStrict ? 503 : 200);
            EXPECT_EQ(world.runsOf(attempt), isStrict ? 0 : 1);
        }
        EXPECT_EQ(world.sendAndWait(0, shopRequest("/pay/1", "none")).status, 200);
        EXPECT_EQ(world.sendAndWait(1, withKey(shopRequest("/pay/1", "other"), "red-key")).status, 200);
    }
}

// Guards against a request that was taken under a configuration without keys, waits for a place, and is sent with its
// credentials, or for no tenant, once the configuration in force asks for keys.
TEST(TenantKeys, RequestThatWaitsIsNotSentUnderANewerConfigurationThatAsksForKeys)
{
    gateway_world world({.daemons = 1, .shopEndpoints = 1, .keyLifetime = keyLifetime});
    world.warmUp();
    world.endpointLimits["shop-0"] = 1; // A request a second.
    for (int i = 0; i < 3; ++i) {
        world.sendAndWait(0, shopRequest("/read/1", fmt::format("warm-{}", i)));
    }
    constexpr int requests = 4;
    std::vector<const caller_response *> responses;
    responses.reserve(requests);
    for (int i = 0; i < requests; ++i) {
        responses.push_back(&world.send(0, withKey(shopRequest("/pay/1", fmt::format("wait-{}", i)), "red-key")));
    }
    world.publish(configurationWithTenants(2, {"red-key"}));
    world.runFor(50ms);
    const auto sentBefore = world.runs.size();
    world.runFor(4s);
    for (auto run = world.runs.begin() + static_cast<std::ptrdiff_t>(sentBefore); run != world.runs.end(); ++run) {
        EXPECT_FALSE(hasHeader(*run, "authorization")) << run->attempt;
        EXPECT_EQ(run->tenant, "red") << run->attempt;
    }
    EXPECT_TRUE(std::ranges::any_of(
        responses, [](const auto *response) { return response->refusal == result_code::ConfigurationStale; }));
}

// Guards against a removed key that runs at a daemon which is cut off from the store and from its peers. Public routes
// need no configuration that new.
TEST(TenantKeys, RemovedKeysEndAtADaemonThatIsCutOff)
{
    tenant_world world(2);
    world.storeBehaviours[0].unavailable = true;
    world.blockedLinks = {{0, 1}, {1, 0}};
    world.runFor(100ms);
    const auto removedAt = world.now();
    world.publish(configurationWithTenants(3, {"red-key"}));
    for (int i = 0; world.now() - removedAt < 8s; ++i) {
        world.sendAndWait(0, withKey(shopRequest("/read/1", fmt::format("cut-{}", i)), "old-key"));
    }
    const auto lastRun = std::ranges::max(world.runs, {}, &endpoint_run::at).at;
    EXPECT_LT(lastRun - removedAt, 5s);
    EXPECT_EQ(world.sendAndWait(0, withKey(shopRequest("/read/1", "late"), "old-key")).refusal,
              result_code::ConfigurationStale);
    EXPECT_EQ(world.sendAndWait(0, shopRequest("/open/1", "public")).status, 200);
    EXPECT_EQ(world.sendAndWait(1, withKey(shopRequest("/read/1", "other"), "red-key")).status, 200);
}

// Guards against a removed key that runs at a daemon that stood still while the configuration changed, before it has
// read the store again.
TEST(TenantKeys, RemovedKeysEndWhileADaemonStandsStill)
{
    tenant_world world(2);
    world.freeze(0);
    world.runFor(100ms);
    world.publish(configurationWithTenants(3, {"red-key"}));
    world.runFor(5500ms);
    const auto &response = world.send(0, withKey(shopRequest("/read/1", "a1"), "old-key"));
    world.thaw(0);
    world.runFor(1s);
    EXPECT_EQ(runOf(world, "a1"), nullptr);
    EXPECT_NE(response.status, 200);
}

// Guards against refusals of sound keys while only the own path to the store is lost: peers read the configuration.
TEST(TenantKeys, PeersKeepTheConfigurationFresh)
{
    tenant_world world(2);
    world.storeBehaviours[0].unavailable = true;
    world.runFor(7s);
    EXPECT_EQ(world.sendAndWait(0, withKey(shopRequest("/read/1", "a1"), "red-key")).status, 200);
}

// Guards against a tenant that continues or reads the turn of another one.
TEST(TenantKeys, TurnsOfAnotherTenantDoNotExist)
{
    tenant_world world(1);
    ASSERT_EQ(world.sendAndWait(0, withKey(modelTurn("p", "t1"), "red-key")).status, 200);
    EXPECT_EQ(world.sendAndWait(0, withKey(modelTurn("p", "t2", 1000, "t1"), "blue-key")).status, 404);
    EXPECT_EQ(world.sendAndWait(0, withKey(modelTurn("p", "t3", 1000, "t1"), "red-key")).status, 200);
    EXPECT_EQ(runOf(world, "t2"), nullptr);
}

// Guards against a caller without a key that gets, or replaces, the conversation of a tenant with an id that holds the
// tenant's name.
TEST(TenantKeys, TurnsOfATenantDoNotExistForCallersWithoutAKey)
{
    tenant_world world(2);
    ASSERT_EQ(world.sendAndWait(0, withKey(modelTurn("p", "t1"), "red-key")).status, 200);
    EXPECT_EQ(world.sendAndWait(1, publicTurn("p", "o1", 1000, "t1")).status, 404);
    EXPECT_EQ(world.sendAndWait(1, publicTurn("p", "o2", 1000, "3:red/t1")).status, 404);
    ASSERT_EQ(world.sendAndWait(0, publicTurn("p", "3:red/t1")).status, 200);
    const auto turn = withKey(modelTurn("p", "t2", 1000, "t1"), "red-key");
    for (const int daemon : {0, 1}) {
        auto next = turn;
        next.attempt += fmt::format("-{}", daemon);
        ASSERT_EQ(world.sendAndWait(daemon, next).status, 200);
        EXPECT_EQ(world.runs.back().body, modelTurn("p", "t1").body + eventTextOf("t1") + next.body);
    }
    // The caller finds its own turn.
    ASSERT_EQ(world.sendAndWait(1, publicTurn("p", "o3", 1000, "3:red/t1")).status, 200);
    EXPECT_EQ(world.runs.back().body,
              publicTurn("p", "3:red/t1").body + eventTextOf("3:red/t1") + publicTurn("p", "o3").body);
}

// Guards against a caller without a key that uses up the budget of a tenant's program.
TEST(TenantKeys, BudgetOfATenantIsNotThatOfCallersWithoutAKey)
{
    tenant_world world(1);
    constexpr std::uint32_t budget = 60; // One turn.
    ASSERT_EQ(world.sendAndWait(0, publicTurn("3:red/p", "o1", budget)).status, 200);
    EXPECT_EQ(world.sendAndWait(0, withKey(modelTurn("p", "r1", budget), "red-key")).status, 200);
    EXPECT_EQ(world.sendAndWait(0, publicTurn("3:red/p", "o2", budget)).status, 402);
}

// Guards against programs of two tenants that share a budget because they have the same id.
TEST(TenantKeys, BudgetsAreToldApartByTenant)
{
    tenant_world world(1);
    constexpr std::uint32_t budget = 60; // One turn.
    ASSERT_EQ(world.sendAndWait(0, withKey(modelTurn("p", "r1", budget), "red-key")).status, 200);
    EXPECT_EQ(world.sendAndWait(0, withKey(modelTurn("p", "b1", budget), "blue-key")).status, 200);
    EXPECT_EQ(world.sendAndWait(0, withKey(modelTurn("p", "r2", budget), "red-key")).status, 402);
}

// Guards against a tenant that is served with the rank of the route although the configuration gives it one.
TEST(TenantKeys, RankOfTheTenantPrecedesThatOfTheRoute)
{
    tenant_world world(1);
    world.sendAndWait(0, withKey(modelTurn("p", "r1"), "red-key"));
    world.sendAndWait(0, withKey(modelTurn("q", "b1"), "blue-key"));
    const auto *red = runOf(world, "r1");
    const auto *blue = runOf(world, "b1");
    ASSERT_TRUE(red != nullptr && blue != nullptr);
    EXPECT_GT(red->priority, blue->priority);
}

} // namespace jackdawpick::gateway::testing
