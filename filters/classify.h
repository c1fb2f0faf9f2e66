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
struct RequestTraits {
    PoolId pool;
    bool isService = false;
    bool isStream = false;
    bool hasKey = false;   // an idempotency key came with it
    std::string task;      // header Galenafold-Task
    std::string operation; // of a plain service
    ChatId chat;           // given by the caller or derived from the conversation's head
    AffinityHint hint;
    Tokens prompt = 0;
    Tokens maxOutput = 0; // max_tokens; 0: not given
};

// Lengths

/// Output lengths learnt by customer and class; a bounded moving average.
class OutputLengthEstimator
{
public:
    void addSample(const CustomerId &customer, const std::string &taskClass, Tokens output);

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

struct Classification {
    Call call;
    Reason reason = Reason::None;
};

/// Finds the task class and fills in the call. Does not set `key` and `request`.
Classification classify(Instant now, const Contract &contract, const RequestTraits &shape);

} // namespace galenafold
