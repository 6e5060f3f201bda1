#include "quarantine/RequestDigest.h"
#include "http/HttpRequest.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(RequestDigest)
{
    const HttpRequest request { "POST", "/plan/7", { { "Host", "h" }, { "X-Request-Id", "r1" } }, "body" };

    void checkDiffers(const HttpRequest& other, const char* what)
    {
        CHECK_TEXT(digestOf(request, "o") != digestOf(other, "o"), what);
    }
};

TEST(RequestDigest, IsSameForEachAttemptOfACaller)
{
    auto again = request;
    again.headers = { { "X-Request-Id", "r2" }, { "Last-Event-Id", "3" }, { "Host", "h" } };
    STRCMP_EQUAL(digestOf(request, "o").c_str(), digestOf(again, "o").c_str());
    LONGS_EQUAL(48, digestOf(request, "o").size());
}

TEST(RequestDigest, DiffersIfContentDiffers)
{
    checkDiffers({ "GET", "/plan/7", { { "Host", "h" } }, "body" }, "different method");
    checkDiffers({ "POST", "/plan/8", { { "Host", "h" } }, "body" }, "different target");
    checkDiffers({ "POST", "/plan/7", { { "Host", "g" } }, "body" }, "different host");
    checkDiffers({ "POST", "/plan/7", { { "Host", "h" } }, "Body" }, "different body");
    checkDiffers({ "POST", "/plan/7b", { { "Host", "h" } }, "ody" }, "a moved boundary between target and body");
}

TEST(RequestDigest, DiffersBetweenOrganisations)
{
    const auto one = digestOf(request, "o");
    const auto other = digestOf(request, "p");
    CHECK(one != other);
    CHECK_TEXT(one.substr(0, 16) != other.substr(0, 16), "the organisation part must not depend on the body");
    STRCMP_EQUAL_TEXT(one.substr(16).c_str(), other.substr(16).c_str(), "the rest must depend on the content only");
}
