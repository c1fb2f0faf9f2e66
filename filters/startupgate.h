// Whether requests that come right after the start wait, go on, or are refused.
//
// Load pattern: all routers are killed at one moment, and callers come back within milliseconds, before the store has
// told what is in force and who serves. The store answers in some 20 ms; a refusal costs each caller a quarter of a
// second and one of its few tries. So requests wait while the first answers are awaited, but for a moment only, and not
// at all once the store has failed to answer: then it is not known when they could be served.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

class StartupGate
{
public:
    enum class Verdict : std::uint8_t {
        GoOn, // decide on the request by what is known
        Wait, // until something changes, or `waitUntil`
    };

    void onStart(Instant waitUntil) { m_waitUntil = waitUntil; }
    void onDesiredState() { m_hasDesiredState = true; }
    void onReplicas() { m_hasReplicas = true; }
    void onStoreLost() { m_hasStoreFailed = true; }

    Verdict verdict(Instant now) const;
    Instant waitUntil() const { return m_waitUntil; }

private:
    Instant m_waitUntil{};
    bool m_hasDesiredState = false;
    bool m_hasReplicas = false;
    bool m_hasStoreFailed = false;
};

} // namespace galenafold
