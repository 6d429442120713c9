#pragma once

// Numbered result codes. Each code says whether the request ran, did not run or may have run, so that a caller knows
// whether it may send a non-idempotent request again. The table is the only place where codes are described;
// `docs/result-codes.md` is checked against it.
//
//   const auto &row = describe(result_code::Overloaded);
//   reply(row.httpStatus, row.name, nameOf(row.execution));

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace jackdawpick
{

// Whether the request took effect at an endpoint.
enum class execution : std::uint8_t {
    Ran,
    NotRun,
    Unknown,
};

[[nodiscard]] std::string_view nameOf(execution value);

// Numbers are stable: 1xx requests, 2xx programs, 3xx capacity, 4xx endpoints, 5xx ownership and log,
// 6xx configuration and settings, 9xx faults of jackdawpick itself.
enum class result_code : std::uint16_t {
    Ok = 0,
    MalformedRequest = 100,
    RequestTooLarge = 101,
    HistoryTooLarge = 102,
    UnknownModel = 103,
    UnknownService = 104,
    UnknownRank = 105,
    NotFound = 106,
    MethodNotAllowed = 107,
    TooManyConnections = 108,
    RequestTimeout = 109,
    UnknownCustomer = 110,
    UnknownRoute = 111,
    UnknownKey = 112,
    MemoryFull = 113,
    ProgramIdRequired = 200,
    TurnOutOfOrder = 201,
    TurnAlreadySettled = 202,
    TurnConflict = 203,
    CallInProgress = 204,
    HistoryMismatch = 205,
    BudgetExceeded = 206,
    TurnLimitReached = 207,
    ProgramClosed = 208,
    ReceiptInvalid = 209,
    ParentUnknown = 210,
    UnknownTurn = 211,
    Overloaded = 300,
    RetryBudgetExhausted = 301,
    Draining = 302,
    EnginesFull = 303,
    QuotaExceeded = 304,
    EndpointFailed = 400,
    OutcomeUnknown = 401,
    DeadlineExceeded = 402,
    RequestQuarantined = 403,
    NoEndpoint = 404,
    Cancelled = 405,
    DeadlineExceededNotRun = 406,
    RejectedByEndpoints = 407,
    EndpointsUnreachable = 408,
    RequestBlocked = 409,
    DeadlineBeforeDispatch = 410,
    OwnershipLost = 500,
    OwnerUnreachable = 501,
    LogUnavailable = 502,
    NotReady = 503,
    OwnedElsewhere = 504,
    BudgetUndecided = 505,
    BudgetUnavailable = 506,
    HistoryUnavailable = 507,
    ConfigurationStale = 508,
    QuotaUndecided = 509,
    ConfigurationInvalid = 600,
    ConfigurationConflict = 601,
    SettingsInvalid = 602,
    InternalError = 900,
};

// Whether and when the same request may be sent again.
enum class retry_advice : std::uint8_t {
    Never, // The same request will be refused again.
    Later, // Send it again after the stated time.
    IfIdempotent, // Send it again only if running it twice is harmless.
};

[[nodiscard]] std::string_view nameOf(retry_advice value);

struct result_description
{
    result_code code;
    std::string_view name;
    execution outcome;
    retry_advice retry;
    std::uint16_t httpStatus;
    std::string_view remedy; // What the caller or operator does next, one sentence.
};

// All codes in ascending order of number.
[[nodiscard]] std::span<const result_description> allResults();

// The row of `code`; the row of InternalError for a number that is not in the table.
[[nodiscard]] const result_description &describe(result_code code);

// Error at the edge of the program (settings, files, sockets). Inside the reducer refusals are values.
class error : public std::runtime_error
{
public:
    error(result_code code, const std::string &message);
    [[nodiscard]] result_code code() const;

private:
    result_code m_code;
};

} // namespace jackdawpick
