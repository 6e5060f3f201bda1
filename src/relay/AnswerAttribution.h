// Which delivery of a request an endpoint's answer belongs to.
//
// An answer names a request, not a delivery. An endpoint may send an answer a second time, in place of the next one on
// the connection, or bytes that belong to no request.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>
#include <string_view>

namespace lupinknot::internal {

enum class AnswerAttribution {
    ThisDelivery, // It names the request, which the connection has carried only once.
    EarlierDelivery, // It names the request, but may answer an earlier delivery on the same connection.
    OtherRequest, // It names another request.
    NoRequest, // It names none.
};

inline constexpr std::array<EnumName<AnswerAttribution>, 4> answerAttributionNames { {
    { AnswerAttribution::ThisDelivery, "this-delivery" },
    { AnswerAttribution::EarlierDelivery, "earlier-delivery" },
    { AnswerAttribution::OtherRequest, "other-request" },
    { AnswerAttribution::NoRequest, "no-request" },
} };

constexpr AnswerAttribution attributionOf(
    std::string_view requestId, std::string_view answeredId, bool hasEarlierDelivery)
{
    if (answeredId.empty())
        return AnswerAttribution::NoRequest;
    if (answeredId != requestId)
        return AnswerAttribution::OtherRequest;
    return hasEarlierDelivery ? AnswerAttribution::EarlierDelivery : AnswerAttribution::ThisDelivery;
}

} // namespace lupinknot::internal
