// Matches a call with the task classes of its contract.
#include "filters/classify.h"

#include <algorithm>

namespace galenafold
{

constexpr int longLanePriority = 10; // behind all short work; engines take 0 first
constexpr int samplesToTrust = 8;
constexpr double learningRate = 0.05;
constexpr std::size_t maxLengths = 16384; // 640 customers with some 25 classes each

static std::string lengthKey(const CustomerId &customer, const std::string &taskClass)
{
    return customer.text + '/' + taskClass;
}

void OutputLengthEstimator::addSample(const CustomerId &customer, const std::string &taskClass, Tokens output)
{
    if (m_lengths.size() >= maxLengths) {
        m_lengths.clear();
    }
    Length &length = m_lengths[lengthKey(customer, taskClass)];
    ++length.samples;
    const double rate = std::max(learningRate, 1.0 / length.samples);
    length.mean += rate * (output - length.mean);
}

Tokens OutputLengthEstimator::expected(const CustomerId &customer, const std::string &taskClass, Tokens fallback) const
{
    const auto length = m_lengths.find(lengthKey(customer, taskClass));
    const bool isTrusted = length != m_lengths.end() && length->second.samples >= samplesToTrust;
    return isTrusted ? length->second.mean : fallback;
}

static bool isAllowed(const Contract &contract, const RequestTraits &shape)
{
    const std::vector<PoolId> &allowed = shape.isService ? contract.services : contract.models;
    return std::find(allowed.begin(), allowed.end(), shape.pool) != allowed.end();
}

static bool matches(const TaskClass &task, const RequestTraits &shape)
{
    const bool taskFits = task.task.empty() || task.task == shape.task;
    const bool operationFits = task.operation.empty() || task.operation == shape.operation;
    return taskFits && operationFits && shape.prompt >= task.minPromptTokens;
}

/// A call that no class matches: careful defaults, at most once for services.
static TaskClass unnamedClass(const RequestTraits &shape)
{
    TaskClass task;
    task.name = "default";
    task.lane = shape.isService ? Lane::Short : Lane::Long;
    task.expectedOutput = 256;
    task.isIdempotent = !shape.isService;
    return task;
}

static TaskClass classOf(const Contract &contract, const RequestTraits &shape)
{
    for (const TaskClass &task : contract.classes) {
        if (matches(task, shape)) {
            return task;
        }
    }
    return unnamedClass(shape);
}

Classification classify(Instant now, const Contract &contract, const RequestTraits &shape)
{
    Classification result;
    if (!isAllowed(contract, shape)) {
        result.reason = Reason::NotAllowed;
        return result;
    }
    const TaskClass task = classOf(contract, shape);
    Call &call = result.call;
    call.customer = contract.customer;
    call.pool = shape.pool;
    call.chat = shape.chat;
    call.hint = shape.hint;
    call.taskClass = task.name;
    call.lane = task.lane;
    call.priority = contract.priority + (task.lane == Lane::Long ? longLanePriority : 0);
    call.isIdempotent = task.isIdempotent && !shape.hasKey;
    call.isResumable = call.isIdempotent && shape.isStream && !shape.isService;
    call.isStream = shape.isStream;
    call.prompt = shape.prompt;
    call.output = shape.maxOutput > 0 ? std::min(shape.maxOutput, task.expectedOutput) : task.expectedOutput;
    call.arrival = now;
    call.deadline = now + task.timeout;
    return result;
}

} // namespace galenafold
