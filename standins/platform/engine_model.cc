#include "platform/engine_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawpick::standins
{

namespace
{

// Progress is held in floating point; a boundary reached within this many tokens counts as reached.
constexpr double tokenTolerance = 1e-3;
constexpr std::size_t maxStreams = 1024; // Finished and cancelled streams that can be resumed.
constexpr std::size_t maxEvents = 8192;
constexpr std::size_t maxLoads = 4096;
// Time in which every dispatcher has to learn that the engine leaves (docs/design.md, section 2, line 8).
constexpr std::chrono::seconds leavingGrace{3};

token_count tokensOf(const std::vector<history_step> &steps)
{
    return steps.empty() ? 0 : steps.back().tokens;
}

token_count commonTokens(const std::vector<history_step> &left, const std::vector<history_step> &right)
{
    const auto [end, unused] = std::ranges::mismatch(left, right);
    return end == left.begin() ? 0 : std::prev(end)->tokens;
}

bool containsMarker(const std::vector<message> &messages, const std::string &marker)
{
    return !marker.empty() && std::ranges::any_of(messages, [&marker](const message &m) {
        return m.content.find(marker) != std::string::npos;
    });
}

} // namespace

engine_model::engine_model(const engine_options &options, std::uint64_t seed)
    : m_options(options)
    , m_faults({{"crash_marker", std::string()},
                {"hang", 0.0},
                {"refuse", 0.0},
                {"slow", 1.0},
                {"leaving", 0.0},
                {"load_lag_ms", static_cast<double>(options.loadLag.count())},
                {"cache_event_delay_ms", static_cast<double>(options.cacheEventDelay.count())},
                {"cache_event_loss", options.cacheEventLoss}})
    , m_random(seed)
    , m_models(options.models.begin(), options.models.end())
{
}

std::variant<run_id, engine_refusal> engine_model::submit(const engine_request &request, time_point now)
{
    catchUp(now);
    if (m_faults.isOn("refuse")) {
        return engine_refusal::Refusing;
    }
    if (!serves(request.model)) {
        return engine_refusal::ModelNotLoaded;
    }
    if (m_waiting.size() >= m_options.maxQueue) {
        return engine_refusal::QueueFull;
    }
    run_state run;
    run.id = static_cast<run_id>(++m_lastRun);
    run.request = request;
    run.steps = digestHistory(request.messages);
    run.plan = planAnswer(request.messages, request.maxTokens);
    run.promptTokens = tokensOf(run.steps);
    if (request.resumeFrom) {
        const auto generated = resumePosition(request);
        if (!generated) {
            return engine_refusal::NotResumable;
        }
        run.produced = static_cast<double>(*generated);
        run.emitted = *request.resumeFrom;
    }
    m_acceptedWhileLeaving += m_leavingSince && now - *m_leavingSince > leavingGrace ? 1 : 0;
    const run_id id = run.id;
    m_waiting.emplace(std::pair(request.priority, m_lastRun), std::move(run));
    startWaiting();
    noteLoad();
    return id;
}

std::optional<token_count> engine_model::resumePosition(const engine_request &request)
{
    // A stream that still runs for a connection that went silent is taken over by the new one.
    const auto running =
        std::ranges::find(m_running, request.requestId,
                          [](const run_state &run) -> const std::string & { return run.request.requestId; });
    if (running != m_running.end()) {
        cancel(running->id, m_at);
    }
    const auto found = m_streams.find(request.requestId);
    if (found == m_streams.end() || *request.resumeFrom > found->second) {
        return std::nullopt;
    }
    return found->second;
}

void engine_model::cancel(run_id run, time_point now)
{
    catchUp(now);
    std::erase_if(m_outputs, [run](const engine_output &output) {
        return std::visit([run](const auto &value) { return value.run == run; }, output);
    });
    std::erase_if(m_waiting, [run](const auto &entry) { return entry.second.id == run; });
    const auto found = std::ranges::find(m_running, run, &run_state::id);
    if (found != m_running.end()) {
        rememberStream(*found);
        const auto cancelled = std::move(*found);
        m_running.erase(found);
        if (cancelled.prefillLeft <= 0) {
            storePrefix(cancelled.request.program, cancelled.steps);
        }
        startWaiting();
    }
    noteLoad();
}

double engine_model::decodeSpeed() const
{
    const double others = m_running.empty() ? 0 : static_cast<double>(m_running.size() - 1);
    return m_options.tokensPerSecond / (1 + m_options.batchSlowdown * others) / std::max(1e-3, m_faults.number("slow"));
}

double engine_model::prefillSpeed() const
{
    const auto sharing = std::ranges::count_if(m_running, [](const run_state &run) { return run.prefillLeft > 0; });
    return m_options.prefillTokensPerSecond / static_cast<double>(std::max<std::ptrdiff_t>(1, sharing))
        / std::max(1e-3, m_faults.number("slow"));
}

double engine_model::secondsToBoundary(const run_state &run) const
{
    if (run.prefillLeft > 0) {
        return run.prefillLeft / prefillSpeed();
    }
    const token_count step = run.emitted == 0 ? 1 : m_options.chunkTokens;
    const auto target = static_cast<double>(std::min(run.emitted + step, run.plan.tokens));
    return std::max(0.0, target - run.produced) / decodeSpeed();
}

std::optional<time_point> engine_model::nextDeadline() const
{
    return m_outputs.empty() ? nextBoundary() : m_at;
}

std::optional<time_point> engine_model::nextBoundary() const
{
    if (m_running.empty() || m_faults.isOn("hang")) {
        return std::nullopt;
    }
    double seconds = secondsToBoundary(m_running.front());
    for (const auto &run : m_running) {
        seconds = std::min(seconds, secondsToBoundary(run));
    }
    // Rounded up, so that the boundary is reached at the deadline and not just before it.
    const auto wait = std::chrono::nanoseconds(static_cast<std::int64_t>(std::ceil(seconds * 1e9)));
    return m_at + wait;
}

void engine_model::progressTo(time_point when)
{
    const double seconds = std::chrono::duration<double>(when - m_at).count();
    m_at = std::max(m_at, when);
    if (seconds <= 0 || m_faults.isOn("hang")) {
        return;
    }
    const double prefill = prefillSpeed() * seconds;
    const double decoded = decodeSpeed() * seconds;
    for (auto &run : m_running) {
        if (run.prefillLeft > 0) {
            run.prefillLeft -= prefill;
            run.prefillLeft = run.prefillLeft < tokenTolerance ? 0 : run.prefillLeft;
        } else {
            run.produced = std::min(run.produced + decoded, static_cast<double>(run.plan.tokens));
        }
    }
}

std::vector<engine_output> engine_model::advance(time_point now)
{
    catchUp(now);
    return std::exchange(m_outputs, {});
}

void engine_model::catchUp(time_point now)
{
    if (!m_faults.isOn("leaving")) {
        m_leavingSince.reset();
    } else if (!m_leavingSince) {
        m_leavingSince = now;
    }
    for (auto deadline = nextBoundary(); deadline && *deadline <= now; deadline = nextBoundary()) {
        progressTo(*deadline);
        settleBoundaries();
        startWaiting();
        noteLoad();
    }
    progressTo(now);
}

void engine_model::settleBoundaries()
{
    for (auto &run : m_running) {
        const auto produced = static_cast<token_count>(run.produced + tokenTolerance);
        const token_count step = run.emitted == 0 ? 1 : m_options.chunkTokens;
        if (run.prefillLeft <= 0 && produced >= std::min(run.emitted + step, run.plan.tokens)) {
            emit(run, produced);
        }
    }
    const auto finished = std::stable_partition(m_running.begin(), m_running.end(), [](const run_state &run) {
        return run.emitted < run.plan.tokens || run.prefillLeft > 0;
    });
    std::vector<run_state> ended(std::make_move_iterator(finished), std::make_move_iterator(m_running.end()));
    m_running.erase(finished, m_running.end());
    for (auto &run : ended) {
        rememberStream(run);
        const message answer{.role = "assistant", .content = answerTokens(run.plan, 0, run.plan.tokens)};
        run.steps.push_back(extendHistory(run.steps.empty() ? history_step{} : run.steps.back(), answer));
        storePrefix(run.request.program, std::move(run.steps));
        m_outputs.emplace_back(engine_end{.run = run.id,
                                          .used = {.promptTokens = run.promptTokens,
                                                   .cachedTokens = run.cached,
                                                   .completionTokens = run.plan.tokens}});
    }
}

void engine_model::emit(run_state &run, token_count upTo)
{
    const token_count last = std::min(upTo, run.plan.tokens);
    if (last > run.emitted) {
        m_outputs.emplace_back(
            engine_chunk{.run = run.id, .firstToken = run.emitted, .text = answerTokens(run.plan, run.emitted, last)});
        run.emitted = last;
    }
}

void engine_model::startWaiting()
{
    while (m_running.size() < m_options.slots && !m_waiting.empty()) {
        auto run = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        if (containsMarker(run.request.messages, m_faults.text("crash_marker"))) {
            m_outputs.emplace_back(engine_crash{.run = run.id});
        }
        const auto found = m_cache.find(run.request.program);
        if (found != m_cache.end()) {
            run.cached = commonTokens(found->second.steps, run.steps);
            m_cacheUse.splice(m_cacheUse.end(), m_cacheUse, found->second.use);
        }
        run.prefillLeft = static_cast<double>(run.promptTokens - run.cached);
        m_running.push_back(std::move(run));
    }
}

void engine_model::rememberStream(const run_state &run)
{
    if (m_streams.insert_or_assign(run.request.requestId, static_cast<token_count>(run.produced + tokenTolerance))
            .second) {
        m_streamOrder.push_back(run.request.requestId);
    }
    if (m_streamOrder.size() > maxStreams) {
        m_streams.erase(m_streamOrder.front());
        m_streamOrder.pop_front();
    }
}

bool engine_model::isRunning(const std::string &program) const
{
    return std::ranges::any_of(m_running, [&program](const run_state &run) { return run.request.program == program; });
}

void engine_model::storePrefix(const std::string &program, std::vector<history_step> steps)
{
    const token_count tokens = tokensOf(steps);
    const auto found = m_cache.find(program);
    if (found != m_cache.end()) {
        m_cacheUsed -= tokensOf(found->second.steps);
        m_cacheUse.erase(found->second.use);
        m_cache.erase(found);
    }
    if (program.empty() || tokens == 0 || tokens > m_options.cacheTokens) {
        return;
    }
    m_cacheUsed += tokens;
    m_cache.emplace(program,
                    cache_entry{.steps = std::move(steps), .use = m_cacheUse.insert(m_cacheUse.end(), program)});
    publish(true, program, tokens);
    evictOver(m_options.cacheTokens, program);
}

void engine_model::evictOver(token_count limit, const std::string &kept)
{
    for (auto next = m_cacheUse.begin(); m_cacheUsed > limit && next != m_cacheUse.end();) {
        const std::string program = *next++;
        if (program != kept && !isRunning(program)) {
            erasePrefix(program);
        }
    }
}

void engine_model::erasePrefix(const std::string &program)
{
    const auto found = m_cache.find(program);
    if (found == m_cache.end()) {
        return;
    }
    const token_count tokens = tokensOf(found->second.steps);
    m_cacheUsed -= tokens;
    m_cacheUse.erase(found->second.use);
    m_cache.erase(found);
    publish(false, program, tokens);
}

void engine_model::publish(bool stored, const std::string &program, token_count tokens)
{
    ++m_lastEvent;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.number("cache_event_loss")) {
        return;
    }
    m_events.emplace_back(m_at,
                          cache_event{.sequence = m_lastEvent, .stored = stored, .program = program, .tokens = tokens});
    if (m_events.size() > maxEvents) {
        m_events.pop_front();
    }
}

cache_event_page engine_model::cacheEvents(std::uint64_t from, time_point now) const
{
    const std::chrono::milliseconds delay(static_cast<std::int64_t>(m_faults.number("cache_event_delay_ms")));
    cache_event_page page;
    page.next = std::max<std::uint64_t>(1, from);
    for (const auto &[at, event] : m_events) {
        if (now - at >= delay && event.sequence >= from) {
            page.events.push_back(event);
            page.next = event.sequence + 1;
        }
    }
    return page;
}

void engine_model::noteLoad()
{
    const load_report report{.running = static_cast<std::uint32_t>(m_running.size()),
                             .queued = static_cast<std::uint32_t>(m_waiting.size()),
                             .slots = m_options.slots,
                             .cacheUsedTokens = m_cacheUsed,
                             .cacheTotalTokens = m_options.cacheTokens};
    m_loads.emplace_back(m_at, report);
    if (m_loads.size() > maxLoads) {
        m_loads.pop_front();
    }
}

load_report engine_model::load(time_point now)
{
    const std::chrono::milliseconds lag(static_cast<std::int64_t>(m_faults.number("load_lag_ms")));
    load_report report{.slots = m_options.slots, .cacheTotalTokens = m_options.cacheTokens};
    for (const auto &[at, value] : m_loads) {
        if (now - at < lag) {
            break;
        }
        report = value;
    }
    return report;
}

void engine_model::release(const std::string &program, time_point now)
{
    catchUp(now);
    erasePrefix(program);
    noteLoad();
}

std::optional<cached_prefix> engine_model::exportPrefix(const std::string &program) const
{
    const auto found = m_cache.find(program);
    if (found == m_cache.end()) {
        return std::nullopt;
    }
    return cached_prefix{.program = program, .steps = found->second.steps};
}

void engine_model::importPrefix(const cached_prefix &prefix, time_point now)
{
    catchUp(now);
    storePrefix(prefix.program, prefix.steps);
    noteLoad();
}

order_result engine_model::applyOrder(const engine_order &order, time_point now)
{
    if (m_options.checksFencing && order.orderFence < m_fence) {
        return order_result::StaleFence;
    }
    if (order.kind == "load" || order.kind == "adapter") {
        m_loading[order.model] = m_options.loadsFromStore ? time_point::max() : now + m_options.modelLoadTime;
    } else if (order.kind == "unload") {
        m_models.erase(order.model);
        m_loading.erase(order.model);
    } else if (order.kind == "role") {
        m_role = order.model;
    } else {
        return order_result::UnknownKind;
    }
    m_fence = std::max(m_fence, order.orderFence);
    return order_result::Accepted;
}

void engine_model::finishLoad(const std::string &model)
{
    if (m_loading.erase(model) > 0) {
        m_models.insert(model);
    }
}

bool engine_model::serves(const std::string &model) const
{
    const auto loading = m_loading.find(model);
    return m_options.models.empty() || m_models.contains(model)
        || (loading != m_loading.end() && loading->second <= m_at);
}

const std::string &engine_model::role() const
{
    return m_role;
}

std::uint64_t engine_model::acceptedWhileLeaving() const
{
    return m_acceptedWhileLeaving;
}

token_count engine_model::cachedTokens(const std::string &program) const
{
    const auto found = m_cache.find(program);
    return found == m_cache.end() ? 0 : tokensOf(found->second.steps);
}

fault_table &engine_model::faults()
{
    return m_faults;
}

} // namespace jackdawpick::standins
