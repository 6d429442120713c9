// Several daemons that compete for a lease over a log with late and lost replies, and stand still at times.

#include "quotas/quotas.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace jackdawpick::quotas
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const store::partition place{"quotas-0", 0};
constexpr milliseconds step{5};
constexpr milliseconds duration{20000};

class leased_issuers
{
public:
    leased_issuers(unsigned seed, std::size_t daemons, tenant_limit limit)
        : m_random(seed)
        , m_limit(limit)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            m_daemons.emplace_back(i);
        }
    }

    void run()
    {
        for (milliseconds passed{0}; passed < duration; passed += step) {
            m_clock.advance(step);
            if (chance(0.003)) {
                change();
            }
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                act(i);
            }
        }
    }

    // The most permits issued in a window.
    [[nodiscard]] std::size_t mostWithin(milliseconds window) const
    {
        std::size_t most = 0;
        for (auto first = m_issued.begin(), last = first; last != m_issued.end(); ++last) {
            while (*last - *first >= window) {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    [[nodiscard]] std::size_t issued() const
    {
        return m_issued.size();
    }

    std::size_t overlaps = 0; // Steps in which two daemons could issue permits.

private:
    struct call_state
    {
        store::call call;
        time_point executeAt;
        time_point replyAt;
        bool executed = false;
        bool lost = false; // No reply; the call may be executed all the same.
        std::optional<store::reply> reply;
    };

    struct daemon
    {
        explicit daemon(std::size_t number)
            : lease(place, {fmt::format("d{}", number), number + 1})
        {
        }

        group_lease lease;
        permit_issuer issuer{quota_rule{}};
        std::optional<call_state> call;
        time_point frozenUntil{};
        bool storeDown = false;
        bool wanted = false;
        std::uint32_t reach = 1;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    milliseconds upTo(int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(0, most)(m_random));
    }

    // Changes what one daemon sees, or stops it for some time.
    void change()
    {
        auto &changed = m_daemons[std::uniform_int_distribution<std::size_t>(0, m_daemons.size() - 1)(m_random)];
        switch (std::uniform_int_distribution<int>(0, 4)(m_random)) {
        case 0:
            changed.frozenUntil = m_clock.now() + upTo(4000);
            return;
        case 1:
            changed.storeDown = !changed.storeDown;
            return;
        case 2:
            changed.reach = static_cast<std::uint32_t>(upTo(4).count());
            return;
        default:
            changed.wanted = !changed.wanted;
            return;
        }
    }

    store::reply execute(const store::call &call)
    {
        if (const auto *append = std::get_if<store::append_call>(&call)) {
            if (*append->expectedEnd != m_log.size()) {
                return store::conflict{m_log.size()};
            }
            m_log.push_back({.offset = m_log.size(), .key = {}, .value = append->records.front().str()});
            return store::appended{m_log.back().offset};
        }
        const auto from = std::get<store::read_call>(call).from;
        store::records_read result{.end = m_log.size(), .records = {}, .next = m_log.size()};
        std::copy(m_log.begin() + static_cast<std::ptrdiff_t>(from), m_log.end(), std::back_inserter(result.records));
        return result;
    }

    void start(daemon &caller, store::call call)
    {
        call_state state{.call = std::move(call), .executeAt = m_clock.now() + upTo(20), .replyAt = {}};
        state.lost = caller.storeDown || chance(0.05);
        const bool late = state.lost && chance(0.5);
        state.executeAt += late ? upTo(3000) : 0ms;
        state.replyAt = state.lost ? m_clock.now() + 80ms : state.executeAt + upTo(20);
        if (state.lost) {
            if (!caller.storeDown || late) {
                m_late.push_back(state);
            }
            state.executed = true;
            state.reply = store::failure::NoReply;
        }
        caller.call = std::move(state);
    }

    void act(std::size_t number)
    {
        const auto now = m_clock.now();
        for (auto &call : m_late) {
            if (!call.executed && call.executeAt <= now) {
                call.executed = true;
                (void)execute(call.call);
            }
        }
        std::erase_if(m_late, [](const call_state &call) { return call.executed; });
        auto &self = m_daemons[number];
        if (self.call.has_value() && !self.call->executed && self.call->executeAt <= now) {
            self.call->executed = true;
            self.call->reply = execute(self.call->call);
        }
        if (now < self.frozenUntil) {
            return;
        }
        if (self.call.has_value() && self.call->executed && self.call->replyAt <= now) {
            const auto reply = *self.call->reply;
            self.call.reset();
            self.lease.onReply(reply, now);
        }
        self.lease.update({.wanted = self.wanted, .reach = self.reach}, now);
        if (auto call = self.lease.poll(self.issuer, now); call.has_value()) {
            start(self, std::move(*call));
        }
        while (auto change = self.lease.takeChange()) {
            if (auto *taken = std::get_if<lease_taken>(&*change); taken != nullptr && taken->start.has_value()) {
                self.issuer.begin(*taken->start, now);
            }
        }
        if (self.lease.isHeld(now)) {
            overlaps += static_cast<std::size_t>(std::ranges::count_if(m_daemons, [&](const daemon &other) {
                return &other != &self && now >= other.frozenUntil && other.lease.isHeld(now);
            }));
            while (issue(self, now)) { }
        }
    }

    bool issue(daemon &self, time_point now)
    {
        const auto grant = self.issuer.take("t", m_limit, {}, now);
        m_issued.insert(m_issued.end(), grant.granted, now);
        return grant.granted > 0;
    }

    manual_clock m_clock;
    std::mt19937 m_random;
    tenant_limit m_limit;
    std::vector<daemon> m_daemons;
    std::vector<store::record> m_log;
    std::vector<call_state> m_late;
    std::vector<time_point> m_issued;
};

} // namespace

// Guards against two daemons that issue permits at the same time, and against permits that are issued twice when the
// lease changes hands. A tenant takes all permits that it can get.
RC_GTEST_PROP(GroupLease, IssuersTogetherKeepTheLimit, (unsigned seed))
{
    const auto daemons = *rc::gen::inRange<std::size_t>(2, 5);
    const auto limit = *rc::gen::element(tenant_limit{100, 100}, tenant_limit{30, 10}, tenant_limit{2, 2});
    leased_issuers issuers(seed, daemons, limit);
    issuers.run();
    const quota_rule rule;
    const auto shares = sharesOf(rule, limit);
    const double allowed = (limit.ratePerSecond * 5 + limit.burst) * (1 + rule.overrun) + rule.slack
        - shares.withoutIssuer - limit.ratePerSecond * std::chrono::duration<double>(shares.lifetime).count();
    RC_ASSERT(issuers.overlaps == 0U);
    RC_ASSERT(static_cast<double>(issuers.mostWithin(rule.window)) <= allowed + 1);
    RC_CLASSIFY(issuers.issued() > 0, "issued");
}

} // namespace jackdawpick::quotas
