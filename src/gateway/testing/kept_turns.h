#pragma once

// Checks in a gateway_world that every record of a turn that was answered whole exists until its retention has passed.
//
//   kept_turns kept(world, 60s);
//   const auto &response = world.sendAndWait(0, request);
//   kept.noteEnd(request.attempt, response);
//   world.runFor(70s);
//   EXPECT_TRUE(kept.violations().empty());

#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace jackdawpick::gateway::testing
{

class kept_turns
{
public:
    // The world must outlive this object, and has one such object at most.
    kept_turns(gateway_world &world, std::chrono::milliseconds retention)
        : m_world(world)
        , m_retention(retention)
    {
        m_world.onTrim = [this](const store::trim_call &call) {
            checkTrim(call);
        };
    }
    kept_turns(const kept_turns &) = delete;
    kept_turns &operator=(const kept_turns &) = delete;
    ~kept_turns()
    {
        m_world.onTrim = {};
    }

    // The response to the turn has ended. Has no effect unless it is whole.
    void noteEnd(const std::string &turn, const caller_response &response)
    {
        if (!response.complete || response.status != okStatus) {
            return;
        }
        promise kept{.turn = turn, .places = {}, .until = response.endedAt + m_retention};
        const auto place = m_world.findTurn(turn, kept.places);
        if (!place.has_value()) {
            m_violations.push_back(fmt::format("{} was answered whole and is not in the store", turn));
            return;
        }
        kept.places.push_back(*place);
        m_promises.push_back(std::move(kept));
    }

    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

private:
    static constexpr int okStatus = 200;

    struct promise
    {
        std::string turn;
        std::vector<programs::turn_location> places;
        time_point until;
    };

    void checkTrim(const store::trim_call &call)
    {
        for (const auto &kept : m_promises) {
            const bool needed = std::ranges::any_of(kept.places, [&call](const auto &place) {
                return fmt::format("turns-{}", place.topic) == call.where.topic && place.part == call.where.number
                    && place.offset < call.before;
            });
            if (needed && m_world.now() < kept.until) {
                m_violations.push_back(fmt::format("a record of {} is deleted {} ms before its retention ends",
                                                   kept.turn, millisecondsBetween(m_world.now(), kept.until).count()));
            }
        }
    }

    gateway_world &m_world;
    std::chrono::milliseconds m_retention;
    std::vector<promise> m_promises;
    std::vector<std::string> m_violations;
};

} // namespace jackdawpick::gateway::testing
