/// Tests that a record of any call can be explained.

#include <snipeplank/gateway/decision_log.hpp>

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace snipeplank::gateway;

TEST_GROUP(decision_log){};

// Fails when a record cannot be read because a header of its caller was not UTF-8.
TEST(decision_log, records_with_any_bytes_are_explained)
{
    decision_log log;
    call_record record;
    record.request_id = "id1";
    record.home = "salz\xff\nkammer";
    log.add(record);
    const auto explained = log.explain("id1");
    CHECK_TRUE(explained.has_value());
    CHECK_TRUE(nlohmann::json::accept(explained.value_or("")));
}
