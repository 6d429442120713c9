#include "platform/engine_model.h"

#include <gtest/gtest.h>

namespace jackdawpick::standins
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20261204;

engine_request ask(const std::string &id, const std::string &text, std::uint32_t maxTokens = 64)
{
    return {.requestId = id,
            .program = "wanza/" + id,
            .messages = {{.role = "user", .content = text}},
            .maxTokens = maxTokens};
}

struct collected
{
    std::map<run_id, std::string> text;
    std::map<run_id, usage> used;
    std::map<run_id, duration> endAfter;
    std::vector<run_id> endOrder;
    std::vector<run_id> crashes;
};

// Follows the engine's own deadlines, as the HTTP layer does.
collected drain(engine_model &engine, manual_clock &clock, duration bound = 1h)
{
    collected result;
    const auto start = clock.now();
    for (auto next = engine.nextDeadline(); next && *next <= start + bound; next = engine.nextDeadline()) {
        clock.advanceTo(*next);
        for (const auto &output : engine.advance(clock.now())) {
            if (const auto *chunk = std::get_if<engine_chunk>(&output)) {
                EXPECT_EQ(result.text[chunk->run].size(), chunk->firstToken * bytesPerToken);
                result.text[chunk->run] += chunk->text;
            } else if (const auto *end = std::get_if<engine_end>(&output)) {
                result.used[end->run] = end->used;
                result.endAfter[end->run] = clock.now() - start;
                result.endOrder.push_back(end->run);
            } else {
                result.crashes.push_back(std::get<engine_crash>(output).run);
            }
        }
    }
    return result;
}

run_id accepted(std::variant<run_id, engine_refusal> answer)
{
    return std::get<run_id>(answer);
}

} // namespace

// Guards against mixed answers that the load tool could not detect.
TEST(EngineModel, AnswersAreWholeAndBelongToTheirRequest)
{
    manual_clock clock;
    engine_model engine({.slots = 4}, seed);
    const auto first = ask("a", "one");
    const auto second = ask("b", "two");
    const auto a = accepted(engine.submit(first, clock.now()));
    const auto b = accepted(engine.submit(second, clock.now()));
    const auto got = drain(engine, clock);
    for (const auto &[run, request] : {std::pair(a, first), std::pair(b, second)}) {
        const auto plan = planAnswer(request.messages, request.maxTokens);
        EXPECT_EQ(got.text.at(run), answerTokens(plan, 0, plan.tokens));
        EXPECT_EQ(got.used.at(run).completionTokens, plan.tokens);
    }
    EXPECT_NE(got.text.at(a).substr(0, 16), got.text.at(b).substr(0, 16));
}

// Guards against a batch that decodes as fast as a single request.
TEST(EngineModel, DecodingSlowsWithTheBatchAndSlotsAreLimited)
{
    manual_clock clock;
    engine_model alone({.slots = 2, .batchSlowdown = 1}, seed);
    const auto single = accepted(alone.submit(ask("a", "one"), clock.now()));
    const auto quick = drain(alone, clock).endAfter.at(single);

    engine_model shared({.slots = 2, .batchSlowdown = 1}, seed);
    const auto a = accepted(shared.submit(ask("a", "one"), clock.now()));
    const auto b = accepted(shared.submit(ask("b", "one"), clock.now()));
    const auto c = accepted(shared.submit(ask("c", "one"), clock.now()));
    const auto got = drain(shared, clock);
    EXPECT_NEAR(static_cast<double>(got.endAfter.at(a).count()) / static_cast<double>(quick.count()), 2, 0.05);
    EXPECT_EQ(got.endOrder, (std::vector{a, b, c}));
}

TEST(EngineModel, WaitingQueueIsOrderedByPriorityThenArrival)
{
    manual_clock clock;
    engine_model engine({.slots = 1, .maxQueue = 3}, seed);
    auto routine = ask("r", "x");
    routine.priority = 1;
    const auto running = accepted(engine.submit(ask("a", "x"), clock.now()));
    const auto late = accepted(engine.submit(routine, clock.now()));
    const auto urgent1 = accepted(engine.submit(ask("b", "x"), clock.now()));
    const auto urgent2 = accepted(engine.submit(ask("c", "x"), clock.now()));
    EXPECT_EQ(std::get<engine_refusal>(engine.submit(ask("d", "x"), clock.now())), engine_refusal::QueueFull);
    EXPECT_EQ(drain(engine, clock).endOrder, (std::vector{running, urgent1, urgent2, late}));
}

// Guards against a cache that keeps more than its limit or evicts the wrong program.
TEST(EngineModel, PrefixCacheSavesPrefillAndEvictsTheLeastRecentlyUsed)
{
    manual_clock clock;
    engine_model engine({.cacheTokens = 450, .cacheEventDelay = 500ms, .cacheEventLoss = 0}, seed);
    const std::string prompt(400, 'p');
    for (const auto *name : {"a", "b", "a", "c"}) {
        const auto run = accepted(engine.submit(ask(name, prompt, 32), clock.now()));
        const auto got = drain(engine, clock);
        EXPECT_EQ(got.used.at(run).promptTokens, 100U);
        const bool second = static_cast<std::uint64_t>(run) == 3;
        EXPECT_EQ(got.used.at(run).cachedTokens, second ? 100U : 0U);
    }
    auto big = ask("d", std::string(1000, 'q'), 32);
    (void)accepted(engine.submit(big, clock.now()));
    (void)drain(engine, clock);
    EXPECT_EQ(engine.cachedTokens("wanza/b"), 0U);
    EXPECT_EQ(engine.cachedTokens("wanza/a"), 0U);
    EXPECT_GT(engine.cachedTokens("wanza/d"), 0U);
    EXPECT_TRUE(engine.cacheEvents(1, clock.now()).events.back().sequence < 7) << "the last events are delayed";
    const auto page = engine.cacheEvents(1, clock.now() + 1s);
    EXPECT_FALSE(page.events.back().stored);
    EXPECT_EQ(page.next, page.events.back().sequence + 1);
}

TEST(EngineModel, LostCacheEventsLeaveGaps)
{
    manual_clock clock;
    engine_model engine({.cacheEventLoss = 0.5}, seed);
    for (int i = 0; i < 40; ++i) {
        (void)accepted(engine.submit(ask(std::to_string(i), "x", 4), clock.now()));
    }
    (void)drain(engine, clock);
    const auto page = engine.cacheEvents(1, clock.now() + 1min);
    EXPECT_GT(page.events.size(), 5U);
    EXPECT_LT(page.events.size(), 35U);
    EXPECT_GT(page.next - 1, page.events.size());
}

// Guards against a cancelled request that keeps its slot, and against a resumed stream that repeats or skips tokens.
TEST(EngineModel, CancelFreesTheSlotAndTheStreamResumes)
{
    manual_clock clock;
    engine_model engine({.slots = 1}, seed);
    auto request = ask("a", "long", 512);
    const auto plan = planAnswer(request.messages, request.maxTokens);
    const auto run = accepted(engine.submit(request, clock.now()));
    const auto other = accepted(engine.submit(ask("b", "x"), clock.now()));
    const auto begun = drain(engine, clock, 1s);
    const auto position = begun.text.at(run).size() / bytesPerToken;
    ASSERT_GT(position, 10U);
    engine.cancel(run, clock.now());
    const auto rest = drain(engine, clock);
    EXPECT_FALSE(rest.text.contains(run));
    EXPECT_TRUE(rest.used.contains(other));

    request.resumeFrom = plan.tokens + 1;
    EXPECT_EQ(std::get<engine_refusal>(engine.submit(request, clock.now())), engine_refusal::NotResumable);
    request.resumeFrom = position - 5;
    const auto resumed = accepted(engine.submit(request, clock.now()));
    std::string text;
    while (engine.nextDeadline()) {
        clock.advanceTo(*engine.nextDeadline());
        for (const auto &output : engine.advance(clock.now())) {
            if (const auto *chunk = std::get_if<engine_chunk>(&output)) {
                EXPECT_EQ(chunk->run, resumed);
                text += chunk->text;
            }
        }
    }
    EXPECT_EQ(text, answerTokens(plan, position - 5, plan.tokens));
}

TEST(EngineModel, PrefixMovesByExportAndImportAndIsReleased)
{
    manual_clock clock;
    engine_model from({}, seed);
    engine_model to({}, seed);
    (void)accepted(from.submit(ask("a", std::string(400, 'p')), clock.now()));
    (void)drain(from, clock);
    to.importPrefix(from.exportPrefix("wanza/a").value(), clock.now());
    const auto run = accepted(to.submit(ask("a", std::string(400, 'p')), clock.now()));
    EXPECT_EQ(drain(to, clock).used.at(run).cachedTokens, 100U);
    to.release("wanza/a", clock.now());
    EXPECT_EQ(to.cachedTokens("wanza/a"), 0U);
    EXPECT_FALSE(to.exportPrefix("wanza/a"));
}

TEST(EngineModel, LoadReportLags)
{
    manual_clock clock;
    engine_model engine({.slots = 1, .loadLag = 200ms}, seed);
    (void)accepted(engine.submit(ask("a", "x", 512), clock.now()));
    (void)accepted(engine.submit(ask("b", "x", 512), clock.now()));
    EXPECT_EQ(engine.load(clock.now() + 199ms).running, 0U);
    EXPECT_EQ(engine.load(clock.now() + 200ms).running, 1U);
    EXPECT_EQ(engine.load(clock.now() + 200ms).queued, 1U);
}

TEST(EngineModel, OrdersCheckTheFenceOnlyIfTheEngineDoes)
{
    manual_clock clock;
    engine_model checking({.modelLoadTime = 1s, .models = {"tide-7b"}}, seed);
    engine_model trusting({.checksFencing = false}, seed);
    const engine_order current{.orderFence = 7, .kind = "load", .model = "lesson-3b"};
    const engine_order stale{.orderFence = 6, .kind = "role", .model = "prefill"};
    EXPECT_EQ(checking.applyOrder(current, clock.now()), order_result::Accepted);
    EXPECT_EQ(checking.applyOrder(stale, clock.now()), order_result::StaleFence);
    EXPECT_EQ(trusting.applyOrder(current, clock.now()), order_result::Accepted);
    EXPECT_EQ(trusting.applyOrder(stale, clock.now()), order_result::Accepted);
    EXPECT_EQ(trusting.role(), "prefill");

    auto request = ask("a", "x");
    request.model = "lesson-3b";
    EXPECT_EQ(std::get<engine_refusal>(checking.submit(request, clock.now())), engine_refusal::ModelNotLoaded);
    clock.advance(1s);
    EXPECT_TRUE(std::holds_alternative<run_id>(checking.submit(request, clock.now())));
}

// Guards against a crash while the request only waits: then the dispatcher could not blame it.
TEST(EngineModel, MarkerCrashesOnlyWhenTheRequestRuns)
{
    manual_clock clock;
    engine_model engine({.slots = 1}, seed);
    engine.faults().assign("crash_marker=poison");
    const auto healthy = accepted(engine.submit(ask("a", "x", 8), clock.now()));
    const auto deadly = accepted(engine.submit(ask("b", "some poison here", 8), clock.now()));
    EXPECT_TRUE(drain(engine, clock, 10ms).crashes.empty());
    const auto got = drain(engine, clock, 1s);
    EXPECT_EQ(got.endOrder.front(), healthy);
    EXPECT_EQ(got.crashes, std::vector{deadly});
}

TEST(EngineModel, FaultsHangSlowRefuseAndLeaving)
{
    manual_clock clock;
    engine_model engine({}, seed);
    const auto run = accepted(engine.submit(ask("a", "x"), clock.now()));
    engine.faults().assign("hang");
    EXPECT_FALSE(engine.nextDeadline());
    clock.advance(1min);
    EXPECT_TRUE(engine.advance(clock.now()).empty());
    engine.faults().assign("hang=0");
    EXPECT_TRUE(drain(engine, clock).used.contains(run));
    engine.faults().assign("leaving");
    (void)engine.advance(clock.now());
    (void)engine.submit(ask("b", "x"), clock.now() + 3s);
    EXPECT_EQ(engine.acceptedWhileLeaving(), 0U);
    (void)engine.submit(ask("c", "x"), clock.now() + 4s);
    EXPECT_EQ(engine.acceptedWhileLeaving(), 1U);
    engine.faults().assign("refuse");
    EXPECT_EQ(std::get<engine_refusal>(engine.submit(ask("d", "x"), clock.now())), engine_refusal::Refusing);
}

} // namespace jackdawpick::standins
