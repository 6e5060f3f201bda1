// Answers that an endpoint cuts off.
#pragma once

#include "ScriptedEndpoint.h"
#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

// How the endpoint ends the connection.
enum class Close {
    Orderly,
    Reset,
};

inline constexpr std::array<EnumName<Close>, 2> closeNames { {
    { Close::Orderly, "orderly close" },
    { Close::Reset, "reset" },
} };

// One way to mark the end of an answer. The text of the answer, without the fields that name its request.
struct Framing {
    const char* name;
    std::string beforeFields;
    std::string afterFields;
    std::string body;
    // The end of the connection is the end of the answer.
    bool endsWithConnection { false };

    std::string head(const std::string& fields) const { return beforeFields + fields + afterFields; }
    std::string text(const std::string& fields) const { return head(fields) + body; }
    // An answer with fewer bytes than these is not complete after the given end of its connection.
    std::size_t minBytes(const std::string& fields, Close close) const
    {
        const auto whole = text(fields).size();
        if (!endsWithConnection)
            return whole;
        return close == Close::Orderly ? head(fields).size() : whole + 1;
    }
};

// The status line of a success.
inline const std::string okLine = "HTTP/1.1 200 OK\r\n";

// Describes a cut for the message of a failed check.
inline std::string caseName(const char* framing, Close close, std::size_t cut)
{
    return std::string(framing) + ", " + std::string(nameIn(closeNames, close)) + " after " + std::to_string(cut)
        + " bytes";
}

// Sends these bytes to each request and ends the connection.
inline ScriptedConnection::OnRequest sendsAndEnds(const std::string& bytes, Close close)
{
    return [bytes, close](ScriptedConnection& connection, const std::string&) {
        connection.send(bytes);
        close == Close::Orderly ? connection.close() : connection.reset();
    };
}

} // namespace lupinknot::internal
