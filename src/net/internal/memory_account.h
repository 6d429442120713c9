#pragma once

// The account of the bytes and connections that clients make this process hold, over all listeners of a loop, and the
// rule that names the connection that has to give way when one of them is full. Decisions only: sockets and clocks are
// the business of its users.
//
//   memory_account account({.heldBytes = 20U << 20U, .connections = 900});
//   account_entry entry(account, client, now);        // counted until it is destroyed
//   entry.hold(held_kind::Body, 4096);
//   if (account.isFull()) { account.relieve(now); }   // calls client.giveWay() of the one that the rule names
//
// Thread compatible.

#include "clock/clock.h"
#include "net/net.h"

#include <array>
#include <cstddef>
#include <vector>

namespace jackdawpick::net::internal
{

class account_entry;

// What a connection is for now, in the order in which connections give way.
enum class standing : std::uint8_t {
    Closing, // Its last answer has been written.
    Incomplete, // Part of a request has arrived, or none yet on a new connection.
    Idle, // Between two requests.
    Serving, // A request waits for its answer; only answers that are not read give way.
    Control, // Links, store and endpoints; counted, but never named.
};

enum class scarce_resource : std::uint8_t {
    Memory,
    Connections,
};

// A connection as the account sees it.
class account_client
{
public:
    virtual ~account_client() = default;
    // Refuses or closes the connection. What it held is no longer counted afterwards.
    virtual void giveWay(scarce_resource reason) = 0;
};

class memory_account
{
public:
    // Bytes that a connection has to move before that counts as progress: single bytes at long intervals do not.
    static constexpr std::size_t progressBytes = 4096;
    // Requests up to this size are taken while those that wait for their answers, with the texts that are held for
    // them, leave room in the account; larger ones only while these use less than `servedShare` of it, so that they
    // leave room to ordinary ones.
    static constexpr std::size_t smallRequestBytes = 256U << 10U;
    static constexpr double servedShare = 0.75;

    explicit memory_account(client_limits limits = {});

    void setLimits(const client_limits &limits);
    [[nodiscard]] const client_limits &limits() const;
    [[nodiscard]] const client_usage &usage() const;
    [[nodiscard]] std::size_t heldBytes() const; // Of all kinds.
    [[nodiscard]] bool isFull() const;
    // Returns whether a complete request of this size, which its entry holds already, may be handed on.
    [[nodiscard]] bool mayServe(std::size_t bytes) const;
    // Lets connections give way until the account is not full any more or none is left that may be named.
    void relieve(time_point now);
    // Makes room for one more connection. Returns false if all connections are needed.
    bool makeRoomForConnection(time_point now);
    // The entry that has to give way first: the earliest standing, and among these the largest product of what it holds
    // of the resource and the time since its last progress. Null if there is none.
    [[nodiscard]] account_entry *nextToGiveWay(scarce_resource resource, time_point now) const;
    void countTurnedAway(turn_away_reason reason);

private:
    friend class account_entry;

    client_limits m_limits;
    client_usage m_usage;
    std::size_t m_heldBytes = 0;
    std::size_t m_servedBytes = 0; // Requests of entries that are being served.
    std::vector<account_entry *> m_entries; // Of clients; unordered.
};

// What one connection holds. Its address must not change.
class account_entry
{
public:
    // Control traffic: has no client and is never named.
    explicit account_entry(memory_account &account);
    account_entry(memory_account &account, account_client &client, time_point now);
    ~account_entry();
    account_entry(const account_entry &) = delete;
    account_entry &operator=(const account_entry &) = delete;

    // Replaces the number of bytes held of this kind.
    void hold(held_kind kind, std::size_t bytes);
    void setStanding(standing value);
    // Notes that bytes were received or written.
    void noteMoved(std::size_t bytes, time_point now);
    // Notes that a request or an answer is complete.
    void noteProgress(time_point now);
    [[nodiscard]] std::size_t held(held_kind kind) const;
    [[nodiscard]] std::size_t heldBytes() const; // Of all kinds.
    [[nodiscard]] duration stalledFor(time_point now) const; // Time since the last progress.

private:
    friend class memory_account;
    struct priority
    {
        standing rank; // Lower ones give way first.
        double weight;
    };
    // Nothing if the entry has nothing of the resource that it may lose.
    [[nodiscard]] std::optional<priority> priorityFor(scarce_resource resource, time_point now) const;
    [[nodiscard]] std::size_t requestBytes() const;

    memory_account &m_account;
    account_client *m_client = nullptr;
    std::size_t m_index = 0; // In the list of the account.
    std::array<std::size_t, heldKindCount> m_held{};
    standing m_standing = standing::Control;
    std::size_t m_moved = 0; // Since the last progress.
    time_point m_progressAt;
};

} // namespace jackdawpick::net::internal
