// Matches a call against the task classes of its contract, and estimates output lengths.
#include "filters/classify.h"

#include <algorithm>

namespace galenafold
{

constexpr int longLanePriorityOffset = 10; // puts long work behind all short work; engines serve 0 first
constexpr int minSamples = 8;              // before an estimate is used
constexpr double minLearningRate = 0.05;   // weight of the newest sample once many were seen
constexpr std::size_t maxEntries = 16384;  // 640 customers with some 25 classes each

static std::string lengthKey(const CustomerId &customer, const std::string &taskClass)
{
    return customer.text + '/' + taskClass;
}

void OutputLengthEstimator::addSample(const CustomerId &customer, const std::string &taskClass, Tokens output)
{
    if (m_lengths.size() >= maxEntries) {
        m_lengths.clear();
    }
    Length &length = m_lengths[lengthKey(customer, taskClass)];
    ++length.samples;
    const double rate = std::max(minLearningRate, 1.0 / length.samples);
    length.mean += rate * (output - length.mean);
}

Tokens OutputLengthEstimator::expected(const CustomerId &customer, const std::string &taskClass, Tokens fallback) const
{
    const auto length = m_lengths.find(lengthKey(customer, taskClass));
    const bool hasEnoughSamples = length != m_lengths.end() && length->second.samples >= minSamples;
    return hasEnoughSamples ? length->second.mean : fallback;
}

static bool isAllowed(const Contract &contract, const RequestTraits &traits)
{
    const std::vector<PoolId> &allowed = traits.isService ? contract.services : contract.models;
    return std::find(allowed.begin(), allowed.end(), traits.pool) != allowed.end();
}

static bool matches(const TaskClass &task, const RequestTraits &traits)
{
    const bool taskFits = task.task.empty() || task.task == traits.task;
    const bool operationFits = task.operation.empty() || task.operation == traits.operation;
    return taskFits && operationFits && traits.prompt >= task.minPromptTokens;
}

/// Class for calls that no task class matches: conservative defaults; services run at most once.
static TaskClass defaultClass(const RequestTraits &traits)
{
    TaskClass task;
    task.name = "default";
    task.lane = traits.isService ? Lane::Short : Lane::Long;
    task.expectedOutput = 256;
    task.isIdempotent = !traits.isService;
    return task;
}

static TaskClass classOf(const Contract &contract, const RequestTraits &traits)
{
    for (const TaskClass &task : contract.classes) {
        if (matches(task, traits)) {
            return task;
        }
    }
    return defaultClass(traits);
}

Classification classify(Instant now, const Contract &contract, const RequestTraits &traits)
{
    Classification result;
    if (!isAllowed(contract, traits)) {
        result.reason = Reason::NotAllowed;
        return result;
    }
    const TaskClass task = classOf(contract, traits);
    Call &call = result.call;
    call.customer = contract.customer;
    call.pool = traits.pool;
    call.chat = traits.chat;
    call.hint = traits.hint;
    call.taskClass = task.name;
    call.lane = task.lane;
    call.priority = contract.priority + (task.lane == Lane::Long ? longLanePriorityOffset : 0);
    call.isIdempotent = task.isIdempotent && !traits.hasIdempotencyKey;
    call.isResumable = call.isIdempotent && traits.isStream && !traits.isService;
    call.isStream = traits.isStream;
    call.prompt = traits.prompt;
    call.output = traits.maxOutput > 0 ? std::min(traits.maxOutput, task.expectedOutput) : task.expectedOutput;
    call.arrival = now;
    call.deadline = now + task.timeout;
    return result;
}

} // namespace galenafold
