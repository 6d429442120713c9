#include "config_log/config_log.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace jackdawpick
{

using namespace std::chrono_literals;

namespace
{

// Accepts every text but "invalid"; the text becomes the name of a rank.
parsed_configuration parseName(std::string_view text)
{
    parsed_configuration result;
    if (text == "invalid") {
        result.errors.push_back({"rank", 1, "a name"});
    }
    result.value.ranks.push_back({.name = std::string(text)});
    return result;
}

stream_record at(log_offset offset, log_record record)
{
    return {.offset = offset, .writer = {}, .sequence = offset, .own = false, .record = std::move(record)};
}

result_code codeOf(const std::vector<publication_outcome> &outcomes)
{
    return outcomes.at(0).code;
}

struct config_log_fixture : testing::Test
{
    manual_clock clock;
    config_log log{parseName};

    std::vector<publication_outcome> read(log_offset offset, log_record record)
    {
        return log.onRecords({at(offset, std::move(record))}, clock.now());
    }
};

} // namespace

using ConfigLog = config_log_fixture;

// Guards against a lost update when two operators publish concurrently.
TEST_F(ConfigLog, SecondOfTwoRacingPublicationsConflicts)
{
    EXPECT_EQ(codeOf(read(1, configuration_published{0, "a", "x", 7})), result_code::Ok);
    EXPECT_EQ(codeOf(read(2, configuration_published{0, "b", "y", 8})), result_code::ConfigurationConflict);
    EXPECT_EQ(codeOf(read(3, configuration_published{1, "invalid", "y", 9})), result_code::ConfigurationInvalid);
    EXPECT_EQ(log.version(), 1);
    EXPECT_EQ(log.current().ranks.at(0).name, "a");
}

// Guards against a renewal of an old version, by a daemon that had not read the newer one, reverting the configuration.
TEST_F(ConfigLog, RenewalOfAnOldVersionDoesNotRevert)
{
    read(1, configuration_published{0, "a", "x", 1});
    read(2, configuration_published{1, "b", "x", 2});
    read(3, configuration_renewed{1, "a"});
    EXPECT_EQ(log.version(), 2);
    EXPECT_EQ(log.text(), "b");
}

TEST_F(ConfigLog, RenewalIsDueOnceUntilTheNextPeriod)
{
    EXPECT_FALSE(log.dueRenewal(10s, clock.now()));
    read(1, configuration_published{0, "a", "x", 1});
    clock.advance(9s);
    EXPECT_FALSE(log.dueRenewal(10s, clock.now()));
    read(2, configuration_renewed{1, "a"});
    clock.advance(9s);
    EXPECT_FALSE(log.dueRenewal(10s, clock.now())) << "another daemon's renewal counts";
    clock.advance(1s);
    EXPECT_EQ(log.dueRenewal(10s, clock.now()), (configuration_renewed{1, "a"}));
    EXPECT_FALSE(log.dueRenewal(10s, clock.now()));
}

// Guards against a copy from a peer changing the result of records that are read from the log later.
TEST_F(ConfigLog, PeerCopyDoesNotAffectResults)
{
    read(1, configuration_published{0, "a", "x", 1});
    EXPECT_TRUE(log.onPeerCopy(3, "c"));
    EXPECT_FALSE(log.onPeerCopy(2, "b"));
    EXPECT_EQ(codeOf(read(2, configuration_published{1, "b", "x", 2})), result_code::Ok);
    EXPECT_EQ(log.version(), 3) << "the version in force never decreases";
    EXPECT_EQ(codeOf(read(3, configuration_published{2, "c", "x", 3})), result_code::Ok);
    EXPECT_EQ(log.text(), "c");
}

// Guards against a cluster that accepts no configuration after it was down for longer than the retention.
TEST_F(ConfigLog, PublicationAfterAllRecordsExpiredTakesEffect)
{
    EXPECT_EQ(codeOf(read(40, configuration_published{3, "a", "x", 1})), result_code::ConfigurationConflict);
    EXPECT_EQ(codeOf(read(41, configuration_published{0, "b", "x", 2})), result_code::Ok);
    EXPECT_EQ(log.version(), 0) << "a renewal of another version may still follow";
    log.onCaughtUp(clock.now());
    EXPECT_EQ(log.version(), 41);
    EXPECT_EQ(log.text(), "b");
}

// Guards against daemons that disagree on the configuration. A daemon that starts late reads only the retained records.
// Wherever these begin, it must agree with the others once it has read a renewal of the version current at that time.
TEST(ConfigLogRandom, LateReadersAgreeWithEarlyOnes)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        std::mt19937_64 random(seed);
        config_log reference(parseName);
        std::vector<stream_record> records;
        std::vector<log_offset> versions{0};
        std::vector<log_offset> renewals; // Offsets of renewals, each of the version current at its offset.
        for (log_offset offset = 1; offset <= 60; ++offset) {
            log_record record;
            const log_offset version = reference.version();
            if (version > 0 && random() % 3 == 0) {
                record = configuration_renewed{version, reference.text()};
                renewals.push_back(offset);
            } else {
                const log_offset base = random() % 3 == 0 ? versions[random() % versions.size()] : version;
                record = configuration_published{base, random() % 5 == 0 ? "invalid" : std::to_string(offset), "", 0};
            }
            records.push_back(at(offset, record));
            static_cast<void>(reference.onRecords({records.back()}, {}));
            if (reference.version() != versions.back()) {
                versions.push_back(reference.version());
            }
        }
        for (std::size_t start = 0; start < records.size(); ++start) {
            if (renewals.empty() || renewals.back() <= start) {
                break;
            }
            config_log late(parseName);
            static_cast<void>(
                late.onRecords({records.begin() + static_cast<std::ptrdiff_t>(start), records.end()}, {}));
            late.onCaughtUp({});
            ASSERT_EQ(late.version(), reference.version()) << "start " << start;
            ASSERT_EQ(late.text(), reference.text());
        }
    }
}

} // namespace jackdawpick
