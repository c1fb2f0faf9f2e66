// Second filter: determines the task class of a call, its expected output length and its deadline.
//
// Sections of this file: Request traits, Lengths, Classify.
#pragma once

#include "galenafold/galenafold.h"

#include <unordered_map>

namespace galenafold
{

// Request traits

/// Properties of a request that the HTTP front end extracts for classification.
struct RequestTraits {
    PoolId pool;
    bool isService = false; // plain service, not a model
    bool isStream = false;
    bool hasIdempotencyKey = false; // the request carries an idempotency key
    std::string task;               // value of the header Galenafold-Task
    std::string operation;          // operation of a plain service that the call names
    ChatId chat;                    // given by the caller or derived from the start of the conversation
    AffinityHint hint;
    Tokens prompt = 0;
    Tokens maxOutput = 0; // max_tokens; 0: not given
};

// Lengths

/// Estimates output lengths per customer and task class by a moving average. Bounded in size.
class OutputLengthEstimator
{
public:
    void addSample(const CustomerId &customer, const std::string &taskClass, Tokens output);

    /// @return the estimated length, or `fallback` while there are too few samples
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
    Reason reason = Reason::None; // why the call is refused
};

/// Finds the task class and fills in the call. Does not set `key` and `request`.
Classification classify(Instant now, const Contract &contract, const RequestTraits &traits);

} // namespace galenafold
