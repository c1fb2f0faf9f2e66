// HTTP status codes that the router sends or checks, and the limits of their classes.
#pragma once

namespace galenafold
{

inline constexpr int statusOk = 200;
inline constexpr int statusNoContent = 204;
inline constexpr int statusNotModified = 304;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusUnauthorized = 401;
inline constexpr int statusNotFound = 404;
inline constexpr int statusRequestTimeout = 408;
inline constexpr int statusGone = 410;
inline constexpr int statusPreconditionFailed = 412;
inline constexpr int statusContentTooLarge = 413;
inline constexpr int statusMisdirectedRequest = 421;
inline constexpr int statusFieldsTooLarge = 431;
inline constexpr int statusInternalError = 500;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusGatewayTimeout = 504;

inline constexpr int firstStatus = 100;      // lower codes are no responses
inline constexpr int firstFinalStatus = 200; // lower codes are interim (1xx) responses
inline constexpr int firstNonSuccessStatus = 300;
inline constexpr int firstServerErrorStatus = 500;

} // namespace galenafold
