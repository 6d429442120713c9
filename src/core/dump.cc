#include "core/internal/state.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick
{

namespace
{

nlohmann::json dumpStream(const log_stream &stream)
{
    return {{"name", stream.name()},
            {"healthy", stream.healthy()},
            {"caught_up", stream.caughtUp()},
            {"position", stream.readPosition()},
            {"buffered_bytes", stream.bufferedBytes()},
            {"unconfirmed_records", stream.unconfirmedRecords()},
            {"expected_commit_ms", stream.expectedCommitLatency().count()}};
}

nlohmann::json dumpCall(const running_call &call, time_point when)
{
    return {{"handle", call.handle},
            {"customer", call.request.program.customer},
            {"program", call.request.program.program},
            {"turn", call.request.turn},
            {"rank", call.request.rank},
            {"pool", call.pool},
            {"phase", std::string(nameOf(call.phase))},
            {"idempotent", isIdempotent(call.request)},
            {"attempts", call.attempts},
            {"bytes_offered", call.bytesOffered},
            {"age_ms", millisecondsBetween(call.arrived, when).count()},
            {"deadline_in_ms", millisecondsBetween(when, call.deadline).count()}};
}

nlohmann::json dumpEndpoint(const endpoint_view &view, double load)
{
    return {{"name", view.name},
            {"address", view.address},
            {"pool", view.pool},
            {"zone", view.zone},
            {"kind", std::string(nameOf(view.kind))},
            {"listed", view.listed},
            {"leaving", view.leaving},
            {"checks_fencing", view.checksFencing},
            {"circuit", std::string(nameOf(view.circuit))},
            {"in_flight", view.inFlight},
            {"limit", view.limit},
            {"load", load},
            {"tokens_per_second", view.tokensPerSecond}};
}

nlohmann::json dumpCounters(const core_counters &counters)
{
    nlohmann::json refusals = nlohmann::json::object();
    for (const auto &[code, count] : counters.refusals) {
        refusals[std::string(describe(code).name)] = count;
    }
    return {{"calls_arrived", counters.callsArrived},     {"calls_finished", counters.callsFinished},
            {"calls_forwarded", counters.callsForwarded}, {"retries", counters.retries},
            {"late_answers", counters.lateAnswers},       {"prompt_tokens", counters.promptTokens},
            {"cached_tokens", counters.cachedTokens},     {"completion_tokens", counters.completionTokens},
            {"wasted_tokens", counters.wastedTokens},     {"programs_opened", counters.programsOpened},
            {"programs_closed", counters.programsClosed}, {"refusals", std::move(refusals)}};
}

nlohmann::json dumpProgram(const program_state &state, const call_in_flight *call)
{
    return {{"customer", state.key.customer},
            {"program", state.key.program},
            {"turn", state.settledTurn},
            {"attempt", state.attempt},
            {"rank", state.rank},
            {"budget", state.budget},
            {"spent", state.spent},
            {"carved", state.carved},
            {"reserved_ahead", state.reservedAhead},
            {"attained_service", state.attainedService},
            {"history_tokens", state.history.tokens},
            {"cache_holders", state.cacheHolders},
            {"in_flight", call != nullptr},
            {"closed", state.closed}};
}

} // namespace

nlohmann::json core::implementation::dump(time_point when) const
{
    nlohmann::json live = nlohmann::json::array();
    for (const auto &member : members.liveDaemons(when)) {
        live.push_back({{"name", member.daemon.name}, {"zone", member.zone}, {"http", member.httpAddress}});
    }
    nlohmann::json endpointList = nlohmann::json::array();
    for (const auto id : endpoints.all()) {
        endpointList.push_back(dumpEndpoint(endpoints.view(id), endpoints.load(id, when)));
    }
    nlohmann::json programList = nlohmann::json::array();
    programs.forEach([&programList](const program_state &state, const call_in_flight *call) {
        programList.push_back(dumpProgram(state, call));
    });
    nlohmann::json callList = nlohmann::json::array();
    for (const auto &[handle, call] : calls) {
        callList.push_back(dumpCall(call, when));
    }
    nlohmann::json releases = nlohmann::json::array();
    for (const auto &release : caches.pendingReleases()) {
        releases.push_back({{"program", release.program}, {"endpoint", release.endpoint}});
    }
    const auto &self = options.self;
    return {{"daemon",
             {{"name", self.daemon.name},
              {"incarnation", fmt::format("{:x}", self.daemon.incarnation)},
              {"zone", self.zone},
              {"ready", ready()},
              {"draining", drain},
              {"violations", violations()}}},
            {"configuration", {{"version", configurations.version()}, {"text", configurations.text()}}},
            {"membership", {{"live", std::move(live)}}},
            {"ownership",
             {{"served_shards", owners.servedShards()}, {"takeovers_in_progress", owners.takeoversInProgress()}}},
            {"programs", std::move(programList)},
            {"endpoints", std::move(endpointList)},
            {"scheduler", {{"waiting", queue.waiting()}}},
            {"cache", {{"pending_releases", std::move(releases)}}},
            {"calls", std::move(callList)},
            {"log",
             {{"journal", dumpStream(journal)},
              {"ownership", dumpStream(ownershipStream)},
              {"configuration", dumpStream(configurationStream)}}},
            {"counters", dumpCounters(counters)}};
}

// Inexpensive enough for a running daemon: checks counters and the program of the newest call.
std::vector<std::string> core::implementation::sampledViolations() const
{
    const auto newest = calls.find(lastHandle);
    std::vector<std::string> found =
        newest == calls.end() ? std::vector<std::string>{} : programs.violations(newest->second.request.program);
    const auto require = [&found](bool holds, std::string_view text) {
        if (!holds) {
            found.emplace_back(text);
        }
    };
    require(dispatchesToLeaving == 0, "a call was dispatched to a leaving endpoint");
    require(repeatedDispatches == 0, "a non-idempotent call was dispatched after bytes had been offered");
    require(falseNotRun == 0, "a call was refused as not run after bytes had been offered");
    require(!versionReverted, "the configuration went back to an older version");
    return found;
}

std::vector<std::string> core::implementation::violations() const
{
    std::vector<std::string> found = sampledViolations();
    std::ranges::move(programs.violations(), std::back_inserter(found));
    const auto require = [&found](bool holds, std::string_view text) {
        if (!holds) {
            found.emplace_back(text);
        }
    };
    for (const auto &[key, handle] : callByProgram) {
        require(calls.contains(handle), "a program refers to a call that does not exist");
        require(programs.inFlight(key) != nullptr || calls.at(handle).phase == call_phase::AwaitingCommit,
                "a call runs for a program that has none in flight");
    }
    const auto releases = caches.pendingReleases();
    programs.forEach([&](const program_state &state, const call_in_flight *) {
        for (const auto &holder : state.closed ? state.cacheHolders : std::vector<std::string>{}) {
            const bool pending = std::ranges::any_of(releases, [&](const cache_release &release) {
                return release.endpoint == holder && release.program == toString(state.key);
            });
            require(pending || !endpoints.find(holder) || !endpoints.view(*endpoints.find(holder)).listed,
                    "a closed program's cache has no pending release");
        }
    });
    return found;
}

void core::implementation::checkInvariants()
{
    if (++eventsSeen % std::max(options.invariantSampling, 1U) != 0) {
        return;
    }
    for (const auto &violation : options.throwOnViolation ? violations() : sampledViolations()) {
        if (options.throwOnViolation) {
            throw error(result_code::InternalError, violation);
        }
        log(log_level::Error, "invariant_violated", {{"invariant", violation}});
    }
}

} // namespace jackdawpick
