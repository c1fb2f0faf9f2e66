// HTTP statuses that the router gives or looks for.
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
inline constexpr int statusContentTooLarge = 413;
inline constexpr int statusMisdirectedRequest = 421;
inline constexpr int statusHeadTooLarge = 431;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusGatewayTimeout = 504;

inline constexpr int firstFinalStatus = 200; // lower ones are interim answers
inline constexpr int firstStatusOfErrors = 300;
inline constexpr int firstStatusOfServerErrors = 500;

} // namespace galenafold
