// The body of a request that is being received, for Boost.Beast's parser.
//
// Beast's own string body reserves the announced length at once, which costs a caller nothing but a header. This one
// grows with the bytes that arrive.
#pragma once

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <limits>
#include <string>

namespace lupinknot::internal {

// Meets Beast's requirements of a Body; the names are Beast's.
struct RequestBody {
    using value_type = std::string;

    class reader { // NOLINT(readability-identifier-naming): Beast's name.
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& error)
        {
            if (length)
                m_announced = static_cast<std::size_t>(*length);
            error = {};
        }

        template <class Buffers> std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
        {
            const auto size = boost::beast::buffer_bytes(buffers);
            const auto needed = m_body.size() + size;
            if (needed > m_body.capacity())
                m_body.reserve(std::min(needed + needed / 2, std::max(needed, m_announced)));
            for (const auto buffer : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
            error = {};
            return size;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& m_body;
        std::size_t m_announced { std::numeric_limits<std::size_t>::max() };
    };
};

} // namespace lupinknot::internal
