// Second filter: what kind of work is it, how long will it run, until when is it of use?
//
// Sections of this file: Shape, Lengths, Classify.
#pragma once

#include "galenafold/galenafold.h"

#include <unordered_map>

namespace galenafold
{

// Shape

/// What the HTTP front read off a request.
struct CallShape {
    PoolId pool;
    bool isService = false;
    bool isStream = false;
    bool hasKey = false;   // an idempotency key came with it
    std::string task;      // header Galenafold-Task
    std::string operation; // of a plain service
    ChatId chat;           // given by the caller or derived from the conversation's head
    EndpointHint hint;
    Tokens prompt = 0;
    Tokens mostOutput = 0; // max_tokens; 0: not given
};

// Lengths

/// Output lengths learnt by customer and class; a bounded moving average.
class LearntLengths
{
public:
    void learn(const CustomerId &customer, const std::string &taskClass, Tokens output);

    /// @return the learnt length, or `fallback` before enough was seen
    Tokens expected(const CustomerId &customer, const std::string &taskClass, Tokens fallback) const;

private:
    struct Length {
        Tokens mean = 0;
        int samples = 0;
    };
    std::unordered_map<std::string, Length> m_lengths;
};

// Classify

struct Classified {
    Call call;
    Reason reason = Reason::None;
};

/// Finds the task class and fills in the call. Does not set `key` and `request`.
Classified classify(Instant now, const Contract &contract, const CallShape &shape);

} // namespace galenafold
