#pragma once

// One randomised history: several reducers joined by a fake log, fake endpoints and a fake network, with failures drawn
// from a seed, and checks on everything that the users require to hold. Everything runs on virtual time.
//
//   soak_world world(seed, options);
//   soak_report report = world.run();
//   for (const auto &fault : report.faults) { ... }

#include "core/core.h"
#include "soak/fake_endpoints.h"
#include "soak/soak_caller.h"
#include "testing/fake_log.h"

#include <queue>

namespace jackdawpick
{

// Breaks one mechanism on purpose, to show that the checks notice.
enum class sabotage : std::uint8_t {
    None,
    DropReleases, // Loses the effect that releases a cache.
    CrossAnswers, // Gives an answer to another caller.
    RepeatDispatch, // Starts some service dispatches twice.
    HideSeals, // Owners never read records that others wrote to their journals.
    DropReceipts, // Callers lose their receipts.
};

[[nodiscard]] std::string_view nameOf(sabotage what);
[[nodiscard]] std::optional<sabotage> sabotageFromName(std::string_view name);

struct soak_options
{
    std::uint32_t daemons = 3;
    std::uint32_t programs = 8;
    std::uint32_t turns = 6;
    std::chrono::milliseconds faultyTime{40000}; // Failures are drawn during this time; then everything heals.
    std::chrono::milliseconds healingTime{180000}; // All programs must have ended by then.
    bool faults = true;
    sabotage broken = sabotage::None;
    bool trace = false; // Prints each step to standard error.
};

struct soak_report
{
    std::vector<std::string> faults;
    std::uint64_t events = 0;
    std::uint32_t turns = 0; // Settled, as seen by callers.
    std::uint32_t crashes = 0;
    std::uint32_t freezes = 0;
    std::uint32_t outages = 0;
    std::uint32_t drains = 0;
    std::uint32_t endpointCrashes = 0;
    std::uint32_t cutLinks = 0;
    std::uint32_t publications = 0;
    std::map<result_code, std::uint32_t> refusals;
};

class soak_world
{
public:
    soak_world(std::uint64_t seed, soak_options options);
    [[nodiscard]] soak_report run();

private:
    struct sink // Where the answer to a request goes.
    {
        std::optional<std::size_t> caller;
        std::size_t fromDaemon = 0; // Forwarded: the daemon that forwarded it.
        std::uint64_t forwardId = 0;
    };
    struct daemon_state
    {
        std::uint32_t number = 0;
        std::unique_ptr<core> reducer;
        member_identity identity;
        std::size_t logClient = 0;
        std::optional<time_point> wake;
        time_point frozenUntil{};
        bool up = false;
        bool draining = false;
        std::vector<event> missed; // Arrived while frozen.
        std::map<request_handle, sink> sinks;
        log_offset seenVersion = 0;
    };
    struct timed_task
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> what;
        bool operator<(const timed_task &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    void at(time_point when, std::function<void()> what);
    [[nodiscard]] duration between(std::chrono::milliseconds low, std::chrono::milliseconds high);
    [[nodiscard]] bool chance(double probability);

    void startDaemon(std::size_t index);
    void crashDaemon(std::size_t index);
    void deliver(std::size_t index, event what);
    void perform(std::size_t index, effects out);
    void perform(std::size_t index, stream_text &what);
    void perform(std::size_t index, finish_call &what);
    void perform(std::size_t index, refuse_call &what);
    void perform(std::size_t index, answer_query &what);
    void perform(std::size_t index, start_dispatch &what);
    void perform(std::size_t index, cancel_dispatch &what);
    void perform(std::size_t index, send_log_request &what);
    void perform(std::size_t index, release_cache &what);
    void perform(std::size_t index, send_to_peer &what);
    void perform(std::size_t index, drained &what);
    template<typename T> void perform(std::size_t, T &)
    {
    }

    void sendToPeer(std::size_t from, std::size_t to, peer_message message);
    void receiveFromPeer(std::size_t from, std::size_t to, const peer_message &message);
    std::optional<std::size_t> takeCaller(std::size_t index, request_handle request, const effect &answer);
    void breakLinks(std::size_t index);
    void callerStep(std::size_t caller);
    void sendCall(std::size_t caller, call_request call);
    [[nodiscard]] std::optional<std::size_t> pickEntry();
    [[nodiscard]] std::optional<std::size_t> indexOf(const std::string &daemon) const;
    void listHosts();
    void publishCacheEvents();
    void publishConfiguration();
    void drawFault();
    void heal();
    void closePrograms();
    void checkEnd();
    void checkDaemon(std::size_t index);
    void fault(std::string text);
    void trace(const std::string &text) const;
    void hideSeals(std::size_t index, read_result &result) const;
    void resetLink(std::size_t from, std::size_t to);
    void linkDown(std::size_t index, std::size_t peer);
    [[nodiscard]] std::optional<time_point> nextTime() const;
    void step();

    std::uint64_t m_seed;
    soak_options m_options;
    std::mt19937_64 m_random;
    manual_clock m_clock;
    fake_log m_log;
    fake_endpoints m_endpoints;
    std::vector<daemon_state> m_daemons;
    std::vector<soak_caller> m_callers;
    std::vector<std::optional<std::pair<std::size_t, request_handle>>> m_outstanding; // By caller.
    std::set<std::pair<std::size_t, std::size_t>> m_cut; // Directed links that lose everything.
    std::map<std::string, call_request> m_callsByBody; // Stands for the HTTP parser.
    std::map<std::string, effect> m_answersByBody; // Stands for the JSON of forwarded answers.
    std::priority_queue<timed_task> m_tasks;
    std::map<std::uint64_t, time_point> m_published; // Publications by number.
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastBody = 0;
    std::uint64_t m_lastIncarnation = 0;
    bool m_healed = false;
    soak_report m_report;
};

} // namespace jackdawpick
