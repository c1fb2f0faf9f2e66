// Gzip, by zlib.
#include "net/gzip.h"

#include <array>
#include <zlib.h>

namespace galenafold
{

constexpr int gzipWindowBits = 15 + 16;     // the largest window, in the format of gzip
constexpr int memoryLevel = 8;              // zlib's usual one
constexpr std::size_t stepBytes = 16 << 10; // unpacked at a time, before the limit on the text is checked

static Bytef *bytesOf(const std::string &text)
{
    return reinterpret_cast<Bytef *>(const_cast<char *>(text.data())); // zlib does not write to its input
}

std::string gzip(const std::string &text)
{
    z_stream stream{};
    if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, gzipWindowBits, memoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
        return "";
    }
    std::string out(deflateBound(&stream, text.size()), '\0');
    stream.next_in = bytesOf(text);
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = bytesOf(out);
    stream.avail_out = static_cast<uInt>(out.size());
    const int status = deflate(&stream, Z_FINISH);
    out.resize(status == Z_STREAM_END ? stream.total_out : 0);
    deflateEnd(&stream);
    return out;
}

/// Appends the text of all members. @return false if they are malformed or the text is too long
static bool inflateAll(z_stream &stream, std::string &text, std::size_t maxBytes)
{
    std::array<char, stepBytes> step{};
    while (true) {
        stream.next_out = reinterpret_cast<Bytef *>(step.data());
        stream.avail_out = static_cast<uInt>(step.size());
        const int status = inflate(&stream, Z_NO_FLUSH);
        text.append(step.data(), step.size() - stream.avail_out);
        const bool isSound = status == Z_OK || status == Z_STREAM_END;
        if (!isSound || text.size() > maxBytes) {
            return false;
        }
        if (status == Z_STREAM_END && stream.avail_in == 0) {
            return true;
        }
        if (status == Z_STREAM_END && inflateReset(&stream) != Z_OK) {
            return false;
        }
    }
}

std::optional<std::string> gunzip(const std::string &bytes, std::size_t maxBytes)
{
    z_stream stream{};
    stream.next_in = bytesOf(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    if (inflateInit2(&stream, gzipWindowBits) != Z_OK) {
        return std::nullopt;
    }
    std::string text;
    const bool isSound = inflateAll(stream, text, maxBytes);
    inflateEnd(&stream);
    return isSound ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace galenafold
