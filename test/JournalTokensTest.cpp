#include "daemon/JournalTokens.h"
#include "peer/generated/Messages.pb.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(JournalTokens)
{
    TokenTexts sent;
    TokenTexts received;

    // The tokens of one stream as the receiver decodes them: "handle:", then the id and text of each token.
    std::string encodeAndDecode(const std::vector<Token>& tokens, std::size_t* bytes = nullptr)
    {
        wire::JournalBatch batch;
        addTokens(batch, sent, 7, tokens.data(), tokens.size());
        if (bytes)
            *bytes = batch.ByteSizeLong();
        std::string arrived;
        readTokens(batch, received, [&arrived](std::uint32_t handle, const std::vector<Token>& decoded) {
            arrived += std::to_string(handle) + ":";
            for (const auto& token : decoded)
                arrived += std::to_string(token.id) + token.text + " ";
        });
        return arrived;
    }
};

TEST(JournalTokens, TransmitsIdsAndTexts)
{
    STRCMP_EQUAL("7:1 the 2 rain 3 ", encodeAndDecode({ { 1, " the" }, { 2, " rain" }, { 3, "" } }).c_str());
}

TEST(JournalTokens, SendsAnUnchangedTextOfAnIdOnlyOnce)
{
    std::size_t first = 0;
    std::size_t second = 0;
    encodeAndDecode({ { 1, " thunderstorm" } }, &first);
    STRCMP_EQUAL("7:1 thunderstorm ", encodeAndDecode({ { 1, " thunderstorm" } }, &second).c_str());
    CHECK(second + 13 <= first);
}

TEST(JournalTokens, SendsAChangedTextOfAnIdAgain)
{
    encodeAndDecode({ { 1, " the" } });
    STRCMP_EQUAL("7:1The ", encodeAndDecode({ { 1, "The" } }).c_str());
    STRCMP_EQUAL("7:1The ", encodeAndDecode({ { 1, "The" } }).c_str());
}

TEST(JournalTokens, RejectsInconsistentColumns)
{
    wire::JournalBatch batch;
    batch.add_token_handles(1);
    batch.add_token_counts(2);
    batch.add_token_ids(5);
    batch.add_text_lengths(100);
    CHECK_FALSE(readTokens(batch, received, [](std::uint32_t, const std::vector<Token>&) {}));
}
