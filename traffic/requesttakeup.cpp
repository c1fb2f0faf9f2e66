// How a stream goes on: only at replicas with the version of the software that began it, also where its caller takes it
// up at another router.
#include "traffic/requesthandler.h"

namespace galenafold
{

void RequestHandler::findOrigin(Instant now)
{
    const auto onAnswer = [self = shared_from_this()](const OriginAnswer &answer) {
        if (!self->m_isFinished) {
            self->onOrigin(answer);
        }
    };
    if (m_fields.resumedRequest.isEmpty()) {
        onAnswer({});
    } else {
        m_state.origins.find(now, m_selection.service, m_fields.resumedRequest, onAnswer);
    }
}

/// A stream whose version is not known goes on only where all streams of its service began at the same one.
void RequestHandler::onOrigin(const OriginAnswer &answer)
{
    const Instant now = clockNow();
    const SoftwareVersions &versions = m_state.softwareVersions;
    const auto only = versions.isCurrent(now) ? versions.only(now, m_selection.service) : std::nullopt;
    LogLine line("taken_up");
    line.text("request", m_fields.request.text).text("resumes", m_fields.resumedRequest.text);
    line.number("after", m_fields.resumeAfter.value_or(0));
    line.text("origin", answer.version ? text(answer.source) : only ? "only_version" : "unknown");
    line.flag("is_only_version", only.has_value());
    m_state.log.write(line, LogPriority::Notable);
    if (!answer.version && !only) {
        giveUp(EndReason::UnknownOrigin);
        return;
    }
    fixVersion(answer.version ? *answer.version : *only);
    dispatch(now);
}

/// A replica that broke a stream off may be back under its name as another version, before the registry tells of it.
/// @return true if an attempt may go to a replica that failed before
bool RequestHandler::mayReturn(Instant now) const
{
    return !m_attempts.isStreaming || m_state.softwareVersions.only(now, m_selection.service);
}

/// From now on the request is sent only to replicas with this version.
void RequestHandler::fixVersion(VersionHash version)
{
    m_version = version;
    m_versionOf = m_selection.service;
    m_selection.version = version;
}

/// A caller that takes up a stream again names the request that brought its first event.
void RequestHandler::noteOrigin(Instant now)
{
    if (!m_route->isRetryable()) {
        return;
    }
    m_state.origins.note(now, m_selection.service, m_fields.firstRequest(), m_replicaVersion);
}

} // namespace galenafold
