#include "results/results.h"

#include <algorithm>
#include <array>

namespace jackdawpick
{

namespace
{

using enum execution;
using enum retry_advice;

constexpr std::array resultTable{
    result_description{result_code::Ok, "Ok", Ran, Never, 200, "Nothing to do."},
    result_description{result_code::MalformedRequest, "MalformedRequest", NotRun, Never, 400,
                       "Correct the request; the message names the field."},
    result_description{result_code::RequestTooLarge, "RequestTooLarge", NotRun, Never, 413,
                       "Send a smaller header or body."},
    result_description{result_code::HistoryTooLarge, "HistoryTooLarge", NotRun, Never, 413,
                       "Shorten the history or start a new program."},
    result_description{result_code::UnknownModel, "UnknownModel", NotRun, Never, 404,
                       "Use a model that the configuration names."},
    result_description{result_code::UnknownService, "UnknownService", NotRun, Never, 404,
                       "Use a service that the configuration names."},
    result_description{result_code::UnknownRank, "UnknownRank", NotRun, Never, 400,
                       "Use a rank that the configuration names."},
    result_description{result_code::NotFound, "NotFound", NotRun, Never, 404, "Check the path; see docs/interface.md."},
    result_description{result_code::MethodNotAllowed, "MethodNotAllowed", NotRun, Never, 405,
                       "Use the method stated in docs/interface.md."},
    result_description{result_code::TooManyConnections, "TooManyConnections", NotRun, Later, 503,
                       "Connect to another entry address."},
    result_description{result_code::RequestTimeout, "RequestTimeout", NotRun, Later, 408,
                       "Send the whole request without pauses."},
    result_description{result_code::UnknownCustomer, "UnknownCustomer", NotRun, Never, 403,
                       "Use a customer that the configuration names."},
    result_description{result_code::UnknownRoute, "UnknownRoute", NotRun, Never, 404,
                       "The configuration has no route for this host and path."},
    result_description{result_code::UnknownKey, "UnknownKey", NotRun, Never, 401,
                       "Send a key that the configuration holds."},
    result_description{result_code::MemoryFull, "MemoryFull", NotRun, Later, 503,
                       "The daemon has no memory left for the turn; send it again or to another entry address."},
    result_description{result_code::ProgramIdRequired, "ProgramIdRequired", NotRun, Never, 400,
                       "Choose a program id before sending a non-idempotent call."},
    result_description{result_code::TurnOutOfOrder, "TurnOutOfOrder", NotRun, Never, 409,
                       "Send the turn after the last settled one; the message names it."},
    result_description{result_code::TurnAlreadySettled, "TurnAlreadySettled", NotRun, Never, 409,
                       "Read the program's history; this send did not run, the settled one did."},
    result_description{result_code::TurnConflict, "TurnConflict", NotRun, Never, 409,
                       "The turn settled with another body; read the program's history."},
    result_description{result_code::CallInProgress, "CallInProgress", Unknown, Later, 409,
                       "The same turn is still running; ask again after the stated time."},
    result_description{result_code::HistoryMismatch, "HistoryMismatch", NotRun, Never, 409,
                       "Send the messages as answered; read the program's history."},
    result_description{result_code::BudgetExceeded, "BudgetExceeded", NotRun, Never, 402,
                       "The worst case of the call does not fit the rest of the budget."},
    result_description{result_code::TurnLimitReached, "TurnLimitReached", NotRun, Never, 429,
                       "The program reached the configured number of turns."},
    result_description{result_code::ProgramClosed, "ProgramClosed", NotRun, Never, 410, "Start a new program."},
    result_description{result_code::ReceiptInvalid, "ReceiptInvalid", NotRun, Never, 400,
                       "Send the receipt exactly as received, or none."},
    result_description{result_code::ParentUnknown, "ParentUnknown", NotRun, Never, 404,
                       "Open the parent program first."},
    result_description{result_code::UnknownTurn, "UnknownTurn", NotRun, Never, 404,
                       "No such turn is kept; start the program again."},
    result_description{result_code::Overloaded, "Overloaded", NotRun, Later, 429,
                       "Send the call again after the stated time."},
    result_description{result_code::RetryBudgetExhausted, "RetryBudgetExhausted", NotRun, Later, 429,
                       "The customer's retry budget is used up; slow down."},
    result_description{result_code::Draining, "Draining", NotRun, Later, 503,
                       "Ask for the entry addresses again and use another one."},
    result_description{result_code::EnginesFull, "EnginesFull", NotRun, Later, 503,
                       "The engines serve programs under way; begin after the stated time."},
    result_description{result_code::QuotaExceeded, "QuotaExceeded", NotRun, Later, 429,
                       "The tenant's quota is used up; send it again after the stated time."},
    result_description{result_code::EndpointFailed, "EndpointFailed", Unknown, IfIdempotent, 502,
                       "The endpoint failed while it ran the call."},
    result_description{result_code::OutcomeUnknown, "OutcomeUnknown", Unknown, Never, 502,
                       "Ask the service whether the request took effect; it will not be sent again."},
    result_description{result_code::DeadlineExceeded, "DeadlineExceeded", Unknown, IfIdempotent, 504,
                       "The deadline passed while the call ran."},
    result_description{result_code::RequestQuarantined, "RequestQuarantined", NotRun, Never, 422,
                       "Endpoints died while running this request; change it before sending it again."},
    result_description{result_code::NoEndpoint, "NoEndpoint", NotRun, Later, 503,
                       "No endpoint of the pool can take the call now."},
    result_description{result_code::Cancelled, "Cancelled", Unknown, IfIdempotent, 499,
                       "The caller closed the connection."},
    result_description{result_code::DeadlineExceededNotRun, "DeadlineExceededNotRun", NotRun, Later, 504,
                       "The deadline passed before an endpoint was free."},
    result_description{result_code::RejectedByEndpoints, "RejectedByEndpoints", NotRun, Later, 503,
                       "All endpoints that were asked are full or leaving."},
    result_description{result_code::EndpointsUnreachable, "EndpointsUnreachable", NotRun, Later, 503,
                       "No endpoint that was tried took a byte of the request."},
    result_description{result_code::RequestBlocked, "RequestBlocked", NotRun, Never, 503,
                       "Endpoints broke while they ran this request; change it before sending it again."},
    result_description{result_code::DeadlineBeforeDispatch, "DeadlineBeforeDispatch", NotRun, Later, 503,
                       "Too little of the time was left for an endpoint."},
    result_description{result_code::OwnershipLost, "OwnershipLost", Unknown, IfIdempotent, 503,
                       "Send the same turn again; the new owner knows whether it settled."},
    result_description{result_code::OwnerUnreachable, "OwnerUnreachable", NotRun, Later, 503,
                       "The program's owner is changing; send the call again."},
    result_description{result_code::LogUnavailable, "LogUnavailable", NotRun, Later, 503,
                       "The log does not answer and the call needs it; send it again."},
    result_description{result_code::NotReady, "NotReady", NotRun, Later, 503,
                       "The daemon is starting; use another entry address."},
    result_description{result_code::OwnedElsewhere, "OwnedElsewhere", NotRun, Later, 421,
                       "Ask the daemon whose address the message names."},
    result_description{result_code::BudgetUndecided, "BudgetUndecided", NotRun, Later, 503,
                       "No daemon decided on the budget in time; send it again."},
    result_description{result_code::BudgetUnavailable, "BudgetUnavailable", NotRun, Later, 503,
                       "The budget cannot be read or written now; send it again."},
    result_description{result_code::HistoryUnavailable, "HistoryUnavailable", NotRun, Later, 503,
                       "The turn that it continues cannot be read now; send it again."},
    result_description{result_code::ConfigurationStale, "ConfigurationStale", NotRun, Later, 503,
                       "The daemon cannot tell whether the key is still valid; use another entry address."},
    result_description{result_code::QuotaUndecided, "QuotaUndecided", NotRun, Later, 503,
                       "No daemon decided on the quota in time; send it again."},
    result_description{result_code::ConfigurationInvalid, "ConfigurationInvalid", NotRun, Never, 422,
                       "Correct the configuration; the message lists each error."},
    result_description{result_code::ConfigurationConflict, "ConfigurationConflict", NotRun, Never, 409,
                       "Another configuration was accepted first; publish against its version."},
    result_description{result_code::SettingsInvalid, "SettingsInvalid", NotRun, Never, 500,
                       "Correct the settings file; each error names file, line and key."},
    result_description{result_code::InternalError, "InternalError", Unknown, IfIdempotent, 500,
                       "Report it with the state dump of the daemon."},
};

} // namespace

std::string_view nameOf(execution value)
{
    constexpr std::array<std::string_view, 3> names{"ran", "not_run", "unknown"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view nameOf(retry_advice value)
{
    constexpr std::array<std::string_view, 3> names{"never", "later", "if_idempotent"};
    return names.at(static_cast<std::size_t>(value));
}

std::span<const result_description> allResults()
{
    return resultTable;
}

const result_description &describe(result_code code)
{
    const auto row = std::ranges::find(resultTable, code, &result_description::code);
    return row != resultTable.end() ? *row : resultTable.back();
}

error::error(result_code code, const std::string &message)
    : std::runtime_error(message)
    , m_code(code)
{
}

result_code error::code() const
{
    return m_code;
}

} // namespace jackdawpick
