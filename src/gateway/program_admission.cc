// Admission of turns to the model engines: refusals under overload, and waits while no engine has room.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <iterator>

namespace jackdawpick::gateway
{

admission::admission_input gateway::implementation::admissionInputFor(const request_context &context,
                                                                      time_point now) const
{
    return {.turn = urgencyOf(context),
            .utilisationBySlots = m_pool.utilisation(context.service, now),
            .utilisationByMemory = m_pool.memoryUtilisation(context.service, now),
            .urgentShare = m_firstTurns.urgentShare(now),
            .tenantPressure = context.tenantPressure,
            .target = context.route->latencyTarget,
            .timeLeft = millisecondsBetween(now, context.deadline),
            .serviceTime = m_pool.typicalServiceTime(context.service),
            .randomFraction = random(),
            .fitsEngine = m_pool.canEverHold(placementRequestFor(context))};
}

// Whether there is room for the request is known when an endpoint has been chosen.
bool gateway::implementation::admit(request_context &context, time_point now)
{
    if (context.firstTurn) {
        m_firstTurns.onFirstTurn(context.rank(), now);
    }
    if (!context.firstTurn && m_pool.canEverHold(placementRequestFor(context))) {
        return true; // Only first turns are refused, and the utilisation takes time to work out.
    }
    const auto input = admissionInputFor(context, now);
    const auto decision = admission::decide(input);
    if (decision.what == admission::verdict::Admitted) {
        return true;
    }
    refuseProgram(context, input, decision, now);
    return false;
}

bool gateway::implementation::admitWithoutRoom(request_context &context, time_point now)
{
    auto input = admissionInputFor(context, now);
    input.hasRoom = false;
    input.waited = millisecondsBetween(context.waitingForRoomSince.value_or(now), now);
    const auto decision = admission::decide(input);
    switch (decision.what) {
    case admission::verdict::Admitted:
        return true;
    case admission::verdict::Waits:
        if (!context.waitingForRoomSince.has_value()) {
            context.waitingForRoomSince = now;
            logRequest(log_level::Info, "request_waits_for_room", context,
                       {{"utilisation", input.utilisationBySlots}, {"utilisation_memory", input.utilisationByMemory}},
                       now);
        }
        m_waitingRequests.emplace(now + decision.delay, context.id);
        return false;
    case admission::verdict::Refused:
    case admission::verdict::TooLarge:
        refuseProgram(context, input, decision, now);
        return false;
    }
    return true;
}

void gateway::implementation::refuseProgram(request_context &context, const admission::admission_input &input,
                                            const admission::admission_decision &decision, time_point now)
{
    std::vector<log_field> fields{{"verdict", admission::nameOf(decision.what)},
                                  {"utilisation", input.utilisationBySlots},
                                  {"utilisation_memory", input.utilisationByMemory},
                                  {"probability", decision.refusalProbability},
                                  {"waited_ms", input.waited.count()},
                                  {"retry_after_ms", decision.delay.count()}};
    if (input.tenantPressure.has_value()) {
        fields.emplace_back("pressure", *input.tenantPressure);
    }
    logRequest(log_level::Info, "program_refused", context, std::move(fields), now);
    if (decision.what == admission::verdict::TooLarge) {
        refuseRequest(context, result_code::HistoryTooLarge, std::nullopt, now);
    } else {
        refuseRequest(context, result_code::EnginesFull, decision.delay, now);
    }
}

std::vector<service_utilisation> gateway::implementation::utilisations(time_point now) const
{
    std::vector<service_utilisation> result;
    std::ranges::transform(m_pool.memoryUtilisations(now), std::back_inserter(result),
                           [&](const fleet::memory_utilisation &service) {
                               return service_utilisation{.service = service.service,
                                                          .bySlots = m_pool.utilisation(service.service, now),
                                                          .byMemory = service.fraction,
                                                          .memoryTokens = service.memory,
                                                          .sharedTokens = service.sharedParts};
                           });
    return result;
}

} // namespace jackdawpick::gateway
