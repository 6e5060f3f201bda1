#include "copies/HandleRelease.h"

#include "http/HttpRoundTrip.h"
#include "relay/CallProtocol.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

HandleRelease::HandleRelease(RelayContext& context)
    : m_lifetime(context.ioContext)
{
}

void HandleRelease::send(RelayContext& context, const std::shared_ptr<RelayEndpoint>& source, const std::string& handle)
{
    const std::shared_ptr<HandleRelease> release(new HandleRelease(context));
    const auto timeout = context.settings.copies.handleReleaseTimeout;
    release->m_request = HttpRoundTrip::ask(context.ioContext, source->openConnection(),
        context.protocol.encodeReleaseHandle(handle), timeout, [weak = release->weak_from_this()](const auto&) {
            if (const auto self = weak.lock())
                self->m_lifetime.cancel();
        });
    release->m_lifetime.expires_after(timeout);
    release->m_lifetime.async_wait([release](boost::system::error_code) {});
}

} // namespace lupinknot::internal
